"""How many owners a key has: many while the origin has room, few while it has none.

A key that is kept at several servers is fetched several times, so under overload the copies themselves jam the origin,
what is refused for that is cached nowhere, and the fetches never end: a feedback loop that holds after its cause has
gone (docs/design/copies.md). So the number of copies follows what the origin can't take. It moves key by
key, in an order that is the same at every router, so that two routers whose shares differ a little disagree on few.
"""

from __future__ import annotations

import math

HIGH, LOW = 0.1, 0.02  # share of fetches refused above which copies are given up, and below which they come back
DOWN = 1000.0  # ms in which all keys give up one tier of copies
UP = 20000.0  # ms in which they get it back: slower, as each copy that comes back is a fetch
TIERS = 2.0  # first the copies inside the zone, then those beyond the first owner


class ReplicaLimit:
    """The level of thrift: 0 all owners; 1 none of the zone's own; 2 the first owner alone."""

    __slots__ = ("updated_at", "level")

    def __init__(self) -> None:
        self.level, self.updated_at = 0.0, math.inf

    def observe(self, now: float, pressure: float) -> None:
        """Take in the share of fetches refused lately at a time in ms; times that go back count for nothing."""
        passed, self.updated_at = max(0.0, now - self.updated_at), now
        if pressure > HIGH:
            self.level = min(TIERS, self.level + passed / DOWN)
        elif pressure < LOW:
            self.level = max(0.0, self.level - passed / UP)

    def allows(self, key: int, rank: int, near: bool) -> bool:
        """Tell whether a key (a 64-bit hash) may live at its owner of this rank, in its zone (near) or the fleet."""
        if self.level <= 0.0 or (rank == 0 and not near):
            return True
        # The key's own place in the order: the low bits, as the high ones chose its owners.
        place = (key & 0xFFFF) / 65536.0
        return self.level <= place + (0.0 if near else 1.0)
