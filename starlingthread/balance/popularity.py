"""How many owners a key should have, from how often this router receives requests for it.

One key of a Zipf distribution can take a tenth of all requests: with one owner that is a tenth of the load on one
server of sixty. A further owner pays as long as each owner is requested often enough before it loses the key, be it to
a write, which invalidates all replicas, or to a lack of requests: each loss is one more fetch, at every owner. A router
of hundreds sees a hot key a few times only, so it keeps two decaying counts, a short one that follows a sudden crowd
and a long one that tells rare keys apart, and uses the lower bound of a count: the count less its standard deviation as
that of a Poisson variable.
"""

from __future__ import annotations

import math

SHORT_HALF_LIFE_MS = 5000.0  # ms; of the count that follows a sudden crowd
LONG_HALF_LIFE_MS = 60000.0  # ms; of the count that tells rare keys apart
SHORT_MEAN_LIFE_MS = SHORT_HALF_LIFE_MS / math.log(2)  # ms; mean life
LONG_MEAN_LIFE_MS = LONG_HALF_LIFE_MS / math.log(2)
CACHED_TIME_MS = (
    10000.0  # ms; about as long as a cache keeps an unrequested value (COUNT_HALF_LIFE_MS in state/records.py)
)
MIN_REQUESTS_PER_OWNER = 4.0  # by all routers to one owner, before it loses the key, that justify the owner's fetch
RELEASE_SHARE = 0.5  # of the present number of owners; a lower wanted number reduces it (hysteresis)
PRIOR_READ_COUNT = 10.0  # reads of a key that weigh as much in its share of writes as the share over all keys
WRITE_SHARE_GAIN = 0.01  # weight of one request in the share of writes over all keys


class FleetDemand:
    """What this router knows of the fleet and of all its keys together."""

    __slots__ = ("routers", "routers_per_zone", "servers", "write_share")

    def __init__(self) -> None:
        self.set_fleet_size(1, 1, 1)
        self.write_share = 0.0  # of all requests

    def set_fleet_size(self, routers: int, servers: int, zones: int) -> None:
        """Set the size of the fleet."""
        self.routers = routers
        self.servers = servers
        self.routers_per_zone = max(1.0, routers / max(1, zones))  # routers that share the owners of a zone

    def record(self, is_write: bool) -> None:
        """Record a request for any key."""
        self.write_share += (is_write - self.write_share) * WRITE_SHARE_GAIN


class Popularity:
    """The decaying counts of requests for one key, and the number of owners that follows from them."""

    __slots__ = ("_long_reads", "_long_writes", "_short_reads", "_updated_at", "owner_count")

    def __init__(self) -> None:
        self._updated_at = -math.inf  # ms
        self._short_reads = 0.0
        self._long_reads = 0.0
        self._long_writes = 0.0
        self.owner_count = 0  # a power of two for a hot key; 0: the default owners

    def record(self, now: float, is_write: bool, demand: FleetDemand) -> bool:
        """Record a request for the key; tell whether its number of owners changes."""
        self._count(now, is_write)
        demand.record(is_write)
        wanted = self._wanted_owners(demand)
        if wanted >= max(2, 2 * self.owner_count):
            self.owner_count = 1 << int(math.log2(wanted))
        elif self.owner_count and wanted < self.owner_count * RELEASE_SHARE:
            self.owner_count = 1 << int(math.log2(wanted)) if wanted >= 2 else 0
        else:
            return False
        return True

    def _count(self, now: float, is_write: bool) -> None:
        elapsed = max(0.0, now - self._updated_at)
        long_decay = math.exp(-elapsed / LONG_MEAN_LIFE_MS)
        self._short_reads = self._short_reads * math.exp(-elapsed / SHORT_MEAN_LIFE_MS) + (not is_write)
        self._long_reads = self._long_reads * long_decay + (not is_write)
        self._long_writes = self._long_writes * long_decay + is_write
        self._updated_at = now

    def _wanted_owners(self, demand: FleetDemand) -> float:
        read_rate = self._min_read_rate() * demand.routers  # all routers get like parts of the traffic
        writes = self._long_writes + PRIOR_READ_COUNT * demand.write_share
        write_rate = read_rate * writes / (self._long_reads + PRIOR_READ_COUNT)
        return min(demand.servers, read_rate / (1.0 / CACHED_TIME_MS + write_rate) / MIN_REQUESTS_PER_OWNER)

    def _min_read_rate(self) -> float:
        """Return the lower bound of the reads per ms at this router."""
        return max(
            _lower_bound(self._short_reads) / SHORT_MEAN_LIFE_MS, _lower_bound(self._long_reads) / LONG_MEAN_LIFE_MS
        )


def _lower_bound(count: float) -> float:
    return count - math.sqrt(count)
