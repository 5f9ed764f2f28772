"""Affinity of keys to servers: this router's request counts by key and server, and the owners of each key."""

from __future__ import annotations

from ..balance.rendezvous import Candidate, Owner, Rendezvous
from ..events import Request
from ..state.records import AffinityCount, KeyState, KeyTable, OwnerGroup, Server
from .load_estimate import LoadEstimate

# Number of owners of a key by rendezvous hashing, in the whole fleet and again in this router's zone.
OWNER_COUNT = 3
# Initial hit probabilities of an owner without a count for the key, indexed by OwnerGroup: FLEET, ZONE.
PRIOR_HIT_PROBABILITY = (0.8, 0.5)
PRIOR_GAIN = 0.05  # weight of one outcome in the prior hit probability
MIN_COUNT = 0.1  # counts that have decayed below this are dropped


class Affinity:
    """Holds the request counts of this router, and determines the owners of keys."""

    def __init__(self, load: LoadEstimate) -> None:
        self.fleet = load.fleet
        self.load = load
        self.keys = KeyTable()
        self.rendezvous = Rendezvous(self.fleet.settings.router_index, OWNER_COUNT)
        self.rendezvous_version = -1  # version of the servers and speeds that the rendezvous hash was updated with
        self.prior_hit_probability = list(PRIOR_HIT_PROBABILITY)

    def current_counts(self, now: float, state: KeyState) -> dict[int, AffinityCount]:
        """Return a key's counts by server, decayed up to now; drop expired ones and those of unused servers."""
        current: dict[int, AffinityCount] = {}
        servers = self.fleet.servers
        in_maintenance = self.fleet.in_maintenance
        for number, affinity_count in list(state.counts.items()):
            decayed = affinity_count.at(now)
            is_expired = decayed.request_count < MIN_COUNT
            if is_expired or number not in servers or number in in_maintenance or servers[number].unavailable:
                del state.counts[number]
            else:
                current[number] = decayed
        return current

    def update_prior(self, owner_group: OwnerGroup, is_hit: bool) -> None:
        """Update the prior hit probability of a group of owners with an outcome at an owner that had no count."""
        prior = self.prior_hit_probability
        prior[owner_group] += (is_hit - prior[owner_group]) * PRIOR_GAIN

    def owners(self, now: float, state: KeyState, request: Request) -> list[Owner]:
        """Return the owners of the key requested now; routers with the same endpoint list get the same owners."""
        version = self.fleet.list_version + self.load.speed_version
        if self.rendezvous_version != version:
            self.rendezvous_version = version
            self._update_rendezvous()
        demand = self.fleet.demand if self.fleet.settings.hot_keys else None
        return state.owners.owners(now, request.key, request.is_write, self.rendezvous, demand)

    def _update_rendezvous(self) -> None:
        ready = self.fleet.ready
        zone = self.fleet.settings.zone
        in_zone = [server for server in ready if server.endpoint.zone == zone]
        self.rendezvous.update([self._candidate(s) for s in ready], [self._candidate(s) for s in in_zone])

    def _candidate(self, server: Server) -> Candidate:
        endpoint = server.endpoint
        return Candidate(server.salt, endpoint.weight * self.load.speed(server), endpoint.server)
