"""What the decision module knows: no I/O, no clock, no choice. Times are ms."""
