"""The number of owners of a key, from how often this router receives requests for it.

One key of a Zipf distribution can get a tenth of all requests: with one owner that is a tenth of the load on one server
of sixty. A further owner is worth its cost as long as each owner gets enough requests before it loses the key, either
to a write, which invalidates all replicas, or to an eviction for lack of requests: each loss costs one more fetch at
every owner.

One router of hundreds sees only a few requests for a hot key. It therefore keeps two decaying counts, a short one that
follows sudden surges and a long one that distinguishes rare keys, and uses the lower bound of a count: the count less
its standard deviation as a Poisson variable.
"""

from __future__ import annotations

import math

# Half-life of the count that follows sudden surges.
SHORT_HALF_LIFE_MS = 5000.0
# Half-life of the count that distinguishes rare keys.
LONG_HALF_LIFE_MS = 60000.0
SHORT_MEAN_LIFE_MS = SHORT_HALF_LIFE_MS / math.log(2)
LONG_MEAN_LIFE_MS = LONG_HALF_LIFE_MS / math.log(2)
# Approximate time for which a cache keeps a value without requests (COUNT_HALF_LIFE_MS in state/records.py).
CACHED_TIME_MS = 10000.0
# Requests of all routers to one owner, before the owner loses the key, that justify the owner's fetch.
MIN_REQUESTS_PER_OWNER = 4.0
# A wanted number of owners below this share of the current number reduces it; the share is below 1 for hysteresis.
RELEASE_SHARE = 0.5
# Weight, in reads, of the write share over all keys in the write share of one key.
PRIOR_READ_COUNT = 10.0
# Weight of one request in the write share over all keys.
WRITE_SHARE_GAIN = 0.01


class FleetDemand:
    """The size of the fleet, and the share of writes over all keys."""

    __slots__ = ("routers", "routers_per_zone", "servers", "write_share")

    def __init__(self) -> None:
        self.set_fleet_size(1, 1, 1)
        self.write_share = 0.0  # share of writes in all requests

    def set_fleet_size(self, routers: int, servers: int, zones: int) -> None:
        """Set the numbers of routers, of servers and of zones."""
        self.routers = routers
        self.servers = servers
        # Number of routers that share the owners of a zone.
        self.routers_per_zone = max(1.0, routers / max(1, zones))

    def record(self, is_write: bool) -> None:
        """Record a request for any key."""
        self.write_share += (is_write - self.write_share) * WRITE_SHARE_GAIN


class Popularity:
    """The decaying counts of requests for one key, and the number of owners derived from them."""

    __slots__ = ("_long_reads", "_long_writes", "_short_reads", "_updated_at", "owner_count")

    def __init__(self) -> None:
        self._updated_at = -math.inf  # ms
        self._short_reads = 0.0
        self._long_reads = 0.0
        self._long_writes = 0.0
        self.owner_count = 0  # a power of two for a hot key; 0: the default owners

    def record(self, now: float, is_write: bool, demand: FleetDemand) -> bool:
        """Record a request for the key; return whether its number of owners changes."""
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
        read_rate = self._min_read_rate() * demand.routers  # all routers get equal parts of the traffic
        writes = self._long_writes + PRIOR_READ_COUNT * demand.write_share
        write_rate = read_rate * writes / (self._long_reads + PRIOR_READ_COUNT)
        return min(demand.servers, read_rate / (1.0 / CACHED_TIME_MS + write_rate) / MIN_REQUESTS_PER_OWNER)

    def _min_read_rate(self) -> float:
        """Return a lower bound of the reads per ms at this router."""
        return max(
            _lower_bound(self._short_reads) / SHORT_MEAN_LIFE_MS, _lower_bound(self._long_reads) / LONG_MEAN_LIFE_MS
        )


def _lower_bound(count: float) -> float:
    return count - math.sqrt(count)
