"""What the decision module knows: servers, keys and open requests. No I/O, no clock, no decisions; times are ms."""
