"""Affinity of keys to servers: which of this router's counts of requests are in use, and the owners of each key."""

from __future__ import annotations

from ..balance.rendezvous import Candidate, Owner, Rendezvous
from ..events import Request
from ..state.records import AffinityCount, KeyState, KeyTable, OwnerGroup, Server
from .load_estimate import LoadEstimate

OWNER_COUNT = 3  # owners of a key by rendezvous hashing, in the fleet and again in this router's zone
PRIOR_HIT_PROBABILITY = (0.8, 0.5)  # first estimates for an uncounted owner, by OwnerGroup: FLEET, ZONE
PRIOR_GAIN = 0.05  # weight of one outcome in these
MIN_COUNT = 0.1  # a lower count has faded


class Affinity:
    """This router's counts, and the owners of the keys that it has not counted."""

    def __init__(self, load: LoadEstimate) -> None:
        self.fleet = load.fleet
        self.load = load
        self.keys = KeyTable()
        self.rendezvous = Rendezvous(self.fleet.settings.router_index, OWNER_COUNT)
        self.rendezvous_version = -1  # of the servers and speeds that it was updated with
        self.prior_hit_probability = list(PRIOR_HIT_PROBABILITY)

    def current_counts(self, now: float, state: KeyState) -> dict[int, AffinityCount]:
        """Return a key's counts by server, decayed up to now; drop those that faded or whose server is out of use."""
        current: dict[int, AffinityCount] = {}
        servers = self.fleet.servers
        in_maintenance = self.fleet.in_maintenance
        for number, affinity_count in list(state.counts.items()):
            decayed = affinity_count.at(now)
            is_faded = decayed.request_count < MIN_COUNT
            if is_faded or number not in servers or number in in_maintenance or servers[number].unavailable:
                del state.counts[number]
            else:
                current[number] = decayed
        return current

    def update_prior(self, owner_group: OwnerGroup, is_hit: bool) -> None:
        """Learn the prior hit probability of a group of owners from an outcome at one that had no count."""
        prior = self.prior_hit_probability
        prior[owner_group] += (is_hit - prior[owner_group]) * PRIOR_GAIN

    def owners(self, now: float, state: KeyState, request: Request) -> list[Owner]:
        """Return the owners of the key requested now, which are the same at every router with the same list."""
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
