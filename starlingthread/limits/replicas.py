"""The limit on the owners of a key: many while the origin has spare capacity, few while it is overloaded.

A key that is cached at several servers is fetched several times, so replicas add to an overload of the origin. Fetches
that are rejected for the overload leave their keys uncached, so requests for them keep causing fetches: a feedback loop
that persists after its cause (docs/design/replicas.md). The number of replicas therefore follows the share of fetches
that the origin cannot serve. It changes key by key, in an order that is the same at every router, so that two routers
whose levels differ slightly disagree on few keys.
"""

from __future__ import annotations

import math

# Share of rejected fetches above which the number of replicas is reduced.
HIGH_PRESSURE = 0.1
# Share of rejected fetches below which the number of replicas is restored.
LOW_PRESSURE = 0.02
# Time in which one tier of replicas is removed for all keys.
TIER_REDUCTION_TIME_MS = 1000.0
# Time in which one tier is restored for all keys; longer than the reduction, as each restored replica costs a fetch.
TIER_RESTORATION_TIME_MS = 20000.0
# Tiers in the order of their removal: the owners in the zone, then the owners in the fleet except for the first one.
TIER_COUNT = 2.0
KEY_ORDER_BITS = 16


class ReplicaLimit:
    """The reduction level: 0: all owners; 1: no owners of the zone; 2: only the first owner of the fleet."""

    __slots__ = ("level", "updated_at")

    def __init__(self) -> None:
        self.level = 0.0
        self.updated_at = math.inf

    def observe(self, now: float, pressure: float) -> None:
        """Record the share of recent fetches that were rejected; a time (ms) before the last one changes nothing."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        if pressure > HIGH_PRESSURE:
            self.level = min(TIER_COUNT, self.level + elapsed / TIER_REDUCTION_TIME_MS)
        elif pressure < LOW_PRESSURE:
            self.level = max(0.0, self.level - elapsed / TIER_RESTORATION_TIME_MS)

    def allows(self, key: int, rank: int, in_zone: bool) -> bool:
        """Return whether a key (a 64-bit hash) may be cached at its owner of a rank, in the zone or in the fleet."""
        if self.level <= 0.0 or (rank == 0 and not in_zone):
            return True
        # The low bits give the key's position in the order of reduction, as the high ones select its owners.
        position = (key & ((1 << KEY_ORDER_BITS) - 1)) / float(1 << KEY_ORDER_BITS)
        return self.level <= position + (0.0 if in_zone else 1.0)
