"""State of the decision module: servers, keys and open requests. No I/O, no clock, no decisions; times are ms."""
