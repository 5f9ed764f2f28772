"""How fast the kinds of machine are beside each other, learned from their answers.

A list may give the same weight to machines of which one kind is half as fast again as the other. A server's own
answers are too few to tell, where there are many servers and many routers; those of a kind are many, so all routers
come to the same figures and go on to name the same owners.
"""

from __future__ import annotations

import math

GAIN = 0.005  # how far one answer moves a kind's figure; more while there were few
STEP = 1.1  # figures are used when one has moved this far, so that owners seldom move
ENOUGH = 50  # answers of a kind before it counts


class MachineSpeeds:
    """A time for each kind, as the logarithm of ms of the same work; speeds are those beside the quickest kind."""

    def __init__(self) -> None:
        self._time: dict[int, float] = {}
        self._seen: dict[int, int] = {}
        self._used: dict[int, float] = {}

    def observe(self, kind: int, elapsed: float) -> bool:
        """Take in the time of an answer; tell whether the speeds have changed by a step."""
        self._seen[kind] = self._seen.get(kind, 0) + 1
        time = self._time.get(kind, 0.0)
        # The mean of logarithms: times have long tails, which the few answers of one router would not even out.
        self._time[kind] = time + (math.log(max(elapsed, 1e-3)) - time) * max(GAIN, 1.0 / self._seen[kind])
        known = {k: t for k, t in self._time.items() if self._seen[k] >= ENOUGH}
        least = min(known.values(), default=0.0)
        speeds = {k: math.exp(least - t) for k, t in known.items()}
        if all(1 / STEP < speeds[k] / self._used.get(k, 1.0) < STEP for k in speeds):
            return False
        self._used = speeds
        return True

    def speed(self, kind: int) -> float:
        """Return the speed of a kind beside the quickest one's; 1 as long as nothing is known."""
        return self._used.get(kind, 1.0)
