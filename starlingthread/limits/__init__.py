"""Limits: the figures that the decision module consults. No I/O, no clock: times are passed in, in ms."""
