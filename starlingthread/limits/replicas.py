"""How many owners a key has: many while the origin has spare capacity, few while it has none.

A key that is cached at several servers is fetched several times, so under overload the replicas themselves overload the
origin, what is rejected for that is cached nowhere, and the fetches never end: a feedback loop that outlasts its cause
(docs/design/replicas.md). So the number of replicas follows the share of fetches that the origin cannot serve. It
changes key by key, in an order that is the same at every router, so that two routers whose levels differ a little
disagree on few keys.
"""

from __future__ import annotations

import math

HIGH_PRESSURE = 0.1  # share of rejected fetches above which replicas are given up
LOW_PRESSURE = 0.02  # share of rejected fetches below which they are restored
TIER_REDUCTION_TIME_MS = 1000.0  # ms in which all keys give up one tier of replicas
TIER_RESTORATION_TIME_MS = 20000.0  # ms in which all keys restore one tier: slower, as each restored replica is a fetch
TIER_COUNT = 2.0  # first the owners inside the zone, then those of the fleet beyond the first one
KEY_ORDER_BITS = 16


class ReplicaLimit:
    """The level of reduction: 0 all owners; 1 none of the zone's; 2 only the first owner of the fleet."""

    __slots__ = ("level", "updated_at")

    def __init__(self) -> None:
        self.level = 0.0
        self.updated_at = math.inf

    def observe(self, now: float, pressure: float) -> None:
        """Record the share of recent fetches that were rejected; a time (ms) that goes back changes nothing."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        if pressure > HIGH_PRESSURE:
            self.level = min(TIER_COUNT, self.level + elapsed / TIER_REDUCTION_TIME_MS)
        elif pressure < LOW_PRESSURE:
            self.level = max(0.0, self.level - elapsed / TIER_RESTORATION_TIME_MS)

    def allows(self, key: int, rank: int, in_zone: bool) -> bool:
        """Tell whether a key (a 64-bit hash) may be cached at its owner of this rank, in its zone or the fleet."""
        if self.level <= 0.0 or (rank == 0 and not in_zone):
            return True
        # The key's position in the order of reduction: the low bits, as the high ones select its owners.
        position = (key & ((1 << KEY_ORDER_BITS) - 1)) / float(1 << KEY_ORDER_BITS)
        return self.level <= position + (0.0 if in_zone else 1.0)
