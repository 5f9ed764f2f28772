"""Limits: figures that the decision module asks for. No I/O, no clock: the time is handed in, in ms."""
