"""Scheduling of full garbage collections by the router itself, because a full collection delays every answer."""

from __future__ import annotations

import gc
import math

from ..core.clock import Clock
from ..core.counters import Counters
from ..core.deadlines import Deadlines

FULL_COLLECTION_PERIOD_MS = 10000.0
CHECK_PERIOD_MS = 250.0
# A full collection runs after this many accepted connections, as each one leaves some kilobytes of garbage.
MAX_ACCEPTED_CONNECTIONS = 500
# The net number of allocations between two collections of the youngest generation.
YOUNGEST_THRESHOLD_ALLOCATIONS = 5000
# The number of collections of the youngest generation between two collections of the middle one.
MIDDLE_THRESHOLD_COLLECTIONS = 20
# A number so high that the interpreter never collects the oldest generation by itself.
OLDEST_THRESHOLD_COLLECTIONS = 1 << 30


class GarbageCollector:
    """Runs full collections periodically, and earlier if many connections were accepted.

    The interpreter still collects the younger generations itself, in small steps. Connections leave reference cycles
    behind, which would accumulate without full collections. When many connections are rejected in a burst, the cycles
    would take tens of megabytes within one period; the interpreter does not return that memory to the system, and the
    collection would take longer.
    """

    def __init__(self, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        self._clock = clock
        self._deadlines = deadlines
        self._counters = counters
        self._accepted_before = 0  # The number of connections accepted before the last full collection.
        self._due_at = 0.0  # The clock time of the next periodic full collection.

    def start(self) -> None:
        """Exempt all objects that exist now from collection, and start the periodic collections."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(YOUNGEST_THRESHOLD_ALLOCATIONS, MIDDLE_THRESHOLD_COLLECTIONS, OLDEST_THRESHOLD_COLLECTIONS)
        self._collect()
        self._check()

    def _collect(self) -> None:
        """Run a full collection and record the longest duration of any."""
        began_at = self._clock.now()
        gc.collect()
        ended_at = self._clock.now()
        elapsed = math.ceil(ended_at - began_at)
        self._counters["gc.longest_ms"] = max(self._counters["gc.longest_ms"], elapsed)
        self._accepted_before = self._counters["clients.accepted"]
        self._due_at = ended_at + FULL_COLLECTION_PERIOD_MS

    def _check(self) -> None:
        """Run a full collection if one is due, and schedule the next check."""
        accepted = self._counters["clients.accepted"] - self._accepted_before
        if accepted >= MAX_ACCEPTED_CONNECTIONS or self._clock.now() >= self._due_at:
            self._collect()
        self._deadlines.set(self._clock.now() + CHECK_PERIOD_MS, self._check)
