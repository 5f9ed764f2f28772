"""Limits and estimates that the decision module consults.

The modules do no I/O and read no clock: callers pass the times, in ms.
"""
