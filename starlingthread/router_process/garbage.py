"""Garbage collection at times of the router's own choosing, as a full collection delays every answer."""

from __future__ import annotations

import gc
import math

from ..core.clock import Clock
from ..core.counters import Counters
from ..core.deadlines import Deadlines

FULL_COLLECTION_PERIOD_MS = 10000.0
CHECK_PERIOD_MS = 250.0
MAX_ACCEPTED_CONNECTIONS = 500  # since the last full collection, as each leaves some kilobytes behind
YOUNG_THRESHOLD = 5000  # net allocations between collections of the youngest generation
MIDDLE_THRESHOLD = 20  # collections of the youngest generation between those of the middle one
OLDEST_THRESHOLD = 1 << 30  # keeps the interpreter from collecting the oldest generation by itself


class GarbageCollector:
    """Runs full collections periodically, and earlier where many connections come and go.

    The interpreter goes on collecting the young generations in small steps. Connections leave reference cycles behind,
    which would accumulate all day without the full collections. In a crowd that is turned away they would take tens of
    megabytes within one period, which the interpreter does not give back, and the collection would take longer.
    """

    def __init__(self, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        self._clock = clock
        self._deadlines = deadlines
        self._counters = counters
        self._accepted_before = 0  # connections accepted up to the last full collection
        self._due_at = 0.0  # of the next full collection, by the clock

    def start(self) -> None:
        """Exempt all objects that exist by now from collections, and begin to collect."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLDEST_THRESHOLD)
        self._collect()
        self._check()

    def _collect(self) -> None:
        """Run a full collection and record the longest time taken."""
        began_at = self._clock.now()
        gc.collect()
        ended_at = self._clock.now()
        elapsed = math.ceil(ended_at - began_at)
        self._counters["gc.longest_ms"] = max(self._counters["gc.longest_ms"], elapsed)
        self._accepted_before = self._counters["clients.accepted"]
        self._due_at = ended_at + FULL_COLLECTION_PERIOD_MS

    def _check(self) -> None:
        """Run a full collection if it is due, and check again later."""
        accepted = self._counters["clients.accepted"] - self._accepted_before
        if accepted >= MAX_ACCEPTED_CONNECTIONS or self._clock.now() >= self._due_at:
            self._collect()
        self._deadlines.set(self._clock.now() + CHECK_PERIOD_MS, self._check)
