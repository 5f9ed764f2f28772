"""Which zones the fleet as a whole leaves alone. No I/O, no clock: times are handed in, in ms."""
