"""The relative speed of the kinds of machine, learned from their response times.

The endpoint list may give the same weight to kinds of which one is half as fast again as the other. The responses of
one server are too few to tell where there are many servers and many routers; those of a kind are many, so all routers
come to the same figures and keep computing the same owners.
"""

from __future__ import annotations

import math

MIN_GAIN = 0.005  # weight of one response in a kind's mean; greater while there are few
UPDATE_RATIO = 1.1  # change of a speed at which all are updated, so that owners seldom move
MIN_RESPONSES = 50  # of a kind before its speed is used
MIN_RESPONSE_TIME_MS = 1e-3  # ms


class MachineSpeeds:
    """The mean logarithm of the response time (ms) of each kind, and the speeds relative to the fastest kind."""

    def __init__(self) -> None:
        self._mean_log_time: dict[int, float] = {}
        self._response_count: dict[int, int] = {}
        self._speeds: dict[int, float] = {}

    def observe(self, kind: int, elapsed: float) -> bool:
        """Record a response time in ms; tell whether the speeds have been updated."""
        self._record(kind, elapsed)
        known = {k: time for k, time in self._mean_log_time.items() if self._response_count[k] >= MIN_RESPONSES}
        fastest = min(known.values(), default=0.0)
        speeds = {k: math.exp(fastest - time) for k, time in known.items()}
        if all(1 / UPDATE_RATIO < speed / self._speeds.get(k, 1.0) < UPDATE_RATIO for k, speed in speeds.items()):
            return False
        self._speeds = speeds
        return True

    def _record(self, kind: int, elapsed: float) -> None:
        # The mean of logarithms: times have long tails, which the few responses of one router would not even out.
        self._response_count[kind] = self._response_count.get(kind, 0) + 1
        gain = max(MIN_GAIN, 1.0 / self._response_count[kind])
        mean = self._mean_log_time.get(kind, 0.0)
        self._mean_log_time[kind] = mean + (math.log(max(elapsed, MIN_RESPONSE_TIME_MS)) - mean) * gain

    def speed(self, kind: int) -> float:
        """Return the speed of a kind relative to the fastest one; 1 if it is not known yet."""
        return self._speeds.get(kind, 1.0)
