"""Garbage collection at times of the router's own choosing, as a full collection delays every answer."""

from __future__ import annotations

import gc
import math

from ..core.clock import Clock
from ..core.counters import Counters
from ..core.deadlines import Deadlines

FULL_COLLECTION_PERIOD_MS = 10000.0
YOUNG_THRESHOLD = 5000  # net allocations between collections of the youngest generation
MIDDLE_THRESHOLD = 20  # collections of the youngest generation between those of the middle one
NEVER = 1 << 30  # keeps the interpreter from collecting the oldest generation by itself


class GarbageCollector:
    """Runs full collections periodically.

    The interpreter goes on collecting the young generations in small steps. Connections leave reference cycles behind,
    which would accumulate all day without the full collections.
    """

    def __init__(self, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        self._clock = clock
        self._deadlines = deadlines
        self._counters = counters

    def start(self) -> None:
        """Exempt all objects that exist by now from collections, and begin to collect."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, NEVER)
        self._collect()

    def _collect(self) -> None:
        """Run a full collection, record the longest time taken, and schedule the next one."""
        began_at = self._clock.now()
        gc.collect()
        ended_at = self._clock.now()
        elapsed = math.ceil(ended_at - began_at)
        self._counters["gc.longest_ms"] = max(self._counters["gc.longest_ms"], elapsed)
        self._deadlines.set(ended_at + FULL_COLLECTION_PERIOD_MS, self._collect)
