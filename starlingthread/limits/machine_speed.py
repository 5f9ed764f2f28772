"""Relative speeds of the machine kinds, learned from their response times.

The endpoint list may give the same weight to two kinds of which one is 1.5 times as fast as the other. With many
servers and many routers, the responses of a single server are too few for an estimate. The responses of a kind are
enough for all routers to get the same speeds, and so to compute the same owners.
"""

from __future__ import annotations

import math

# Weight of one response in the mean of its kind; the weight of the first responses is greater.
MIN_GAIN = 0.005
# Ratio of the new to the old speed of a kind at which all speeds are updated, so that owners seldom change.
UPDATE_RATIO = 1.1
# Responses of a kind before its speed is used.
MIN_RESPONSES = 50
# Shorter times are raised to this value: a coarse clock can measure 0, which has no logarithm.
MIN_RELATIVE_TIME = 1e-3


class MachineSpeeds:
    """The mean log of the relative response time of each machine kind, and its speed relative to the fastest kind."""

    def __init__(self) -> None:
        self._mean_log_time: dict[int, float] = {}
        self._response_count: dict[int, int] = {}
        self._speeds: dict[int, float] = {}

    def observe(self, kind: int, relative_time: float) -> bool:
        """Record a response time relative to the expected one; return whether the speeds have been updated."""
        self._record(kind, relative_time)
        known = {k: time for k, time in self._mean_log_time.items() if self._response_count[k] >= MIN_RESPONSES}
        fastest = min(known.values(), default=0.0)
        speeds = {k: math.exp(fastest - time) for k, time in known.items()}
        if all(1 / UPDATE_RATIO < speed / self._speeds.get(k, 1.0) < UPDATE_RATIO for k, speed in speeds.items()):
            return False
        self._speeds = speeds
        return True

    def _record(self, kind: int, relative_time: float) -> None:
        # Logarithms are averaged because response times have long tails, and one router has too few responses to
        # average these out.
        self._response_count[kind] = self._response_count.get(kind, 0) + 1
        gain = max(MIN_GAIN, 1.0 / self._response_count[kind])
        mean = self._mean_log_time.get(kind, 0.0)
        self._mean_log_time[kind] = mean + (math.log(max(relative_time, MIN_RELATIVE_TIME)) - mean) * gain

    def speed(self, kind: int) -> float:
        """Return the speed of a machine kind relative to the fastest one; 1 if it is not known yet."""
        return self._speeds.get(kind, 1.0)
