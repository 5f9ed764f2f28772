"""How many owners a key should have, from how often this router is asked for it.

One key of a Zipf law can be a tenth of all requests: at one owner that is a tenth of the load on one server of sixty. A
further owner pays as long as each owner is asked for the key often enough before it loses it, be it that a write voids
all copies, or that nobody asks: each loss is one more fetch, at every owner. A router of hundreds sees a hot key a few
times only, so it counts in two memories, a short one that follows a sudden crowd and a long one that tells rare keys
apart, and believes what is left of a count when its chance (one standard deviation of a Poisson count) is taken off.
"""

from __future__ import annotations

import math

SHORT, LONG = 5000.0, 60000.0  # ms; half-lives of the two memories
LIVES = (SHORT / math.log(2), LONG / math.log(2))
KEPT = 10000.0  # ms; about as long as a cache keeps what nobody asks for (HALF_LIFE in policy/load.py)
ASKED = 4.0  # times that all routers together must ask an owner for the key before it loses it, to be worth its fetch
DOWN = 0.5  # of what the number of owners asks for: below it they are given back, so that they do not swing
PRIOR = 10.0  # reads of a key that weigh as much as what is known of all keys, in its share of writes
GAIN = 0.01  # weight of one request in the share of writes among all


class FleetDemand:
    """What this router knows of all its keys together."""

    __slots__ = ("routers", "servers", "routers_per_zone", "write_share")

    def __init__(self) -> None:
        self.set_fleet_size(1, 1, 1)
        self.write_share = 0.0  # writes for each request

    def set_fleet_size(self, routers: int, servers: int, zones: int) -> None:
        """Take in how large the fleet is."""
        self.routers, self.servers = routers, servers
        self.routers_per_zone = max(1.0, routers / max(1, zones))  # routers that share the owners of a zone

    def record(self, write: bool) -> None:
        """Take in a request for any key."""
        self.write_share += (write - self.write_share) * GAIN


class Popularity:
    """How often one key is asked for."""

    __slots__ = ("_at", "_long", "_short", "_writes", "owner_count")

    def __init__(self) -> None:
        self._at = -math.inf  # ms
        self._short = self._long = self._writes = 0.0
        self.owner_count = 0  # owners that it has for being hot, a power of two; 0: the usual ones

    def record(self, now: float, write: bool, demand: FleetDemand) -> bool:
        """Take in that this router is asked for it; tell whether its number of owners changes."""
        passed = max(0.0, now - self._at)
        fade = math.exp(-passed / LIVES[1])
        self._short = self._short * math.exp(-passed / LIVES[0]) + (not write)
        self._long = self._long * fade + (not write)
        self._writes = self._writes * fade + write
        self._at = now
        demand.record(write)
        rate = self._per_ms() * demand.routers  # all routers get like parts of the traffic
        writes = rate * (self._writes + PRIOR * demand.write_share) / (self._long + PRIOR)
        wanted = min(demand.servers, rate / (1.0 / KEPT + writes) / ASKED)
        if wanted >= max(2, 2 * self.owner_count):
            self.owner_count = 1 << int(math.log2(wanted))
        elif self.owner_count and wanted < self.owner_count * DOWN:
            self.owner_count = 1 << int(math.log2(wanted)) if wanted >= 2 else 0
        else:
            return False
        return True

    def _per_ms(self) -> float:
        """Return how often it is read at least, as far as counts of this size can tell."""
        return max(
            (count - math.sqrt(count)) / life for count, life in zip((self._short, self._long), LIVES, strict=True)
        )
