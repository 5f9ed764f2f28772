"""How fast the kinds of machine are beside each other, learned from their answers.

A list may give the same weight to machines of which one kind is half as fast again as the other. A server's own
answers are too few to tell, where there are many servers and many routers; those of a kind are many, so all routers
come to the same figures and go on to name the same homes.
"""

from __future__ import annotations

QUICKER, SLOWER = 0.05, 0.015  # how far one answer moves a kind's figure; leans to quick ones: waiting is not work
STEP = 1.1  # figures are used when one has moved this far, so that homes seldom move
ENOUGH = 50  # answers of a kind before it counts


class Speeds:
    """A time for each kind, in ms of the same work; the speed of a kind beside the quickest follows from it."""

    def __init__(self) -> None:
        self._time: dict[int, float] = {}
        self._seen: dict[int, int] = {}
        self._used: dict[int, float] = {}

    def observe(self, kind: int, elapsed: float) -> bool:
        """Take in the time of an answer; tell whether the speeds have changed by a step."""
        time = self._time.get(kind, elapsed)
        self._time[kind] = time + (elapsed - time) * (SLOWER if elapsed > time else QUICKER)
        self._seen[kind] = self._seen.get(kind, 0) + 1
        known = {k: t for k, t in self._time.items() if self._seen[k] >= ENOUGH}
        least = min(known.values(), default=0.0)
        if least <= 0.0:
            return False
        speeds = {k: least / t for k, t in known.items()}
        if all(1 / STEP < speeds[k] / self._used.get(k, 1.0) < STEP for k in speeds):
            return False
        self._used = speeds
        return True

    def of(self, kind: int) -> float:
        """Return the speed of a kind beside the quickest one's; 1 as long as nothing is known."""
        return self._used.get(kind, 1.0)
