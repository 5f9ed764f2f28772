"""Affinity of keys to servers: decayed counts of this router's requests, and the owners of each key."""

from __future__ import annotations

import math
from collections import OrderedDict

from ..balance.rendezvous import Candidate, Owner, Rendezvous
from ..events import Request
from ..state.records import AffinityCount, KeyState, OwnerGroup, Server
from .load_estimate import HALF_LIFE, LoadEstimate

OWNER_COUNT = 3  # owners of a key by rendezvous hashing, in the fleet and again in this router's zone
PRIOR_HIT_PROBABILITY = (0.8, 0.5)  # first estimates for an uncounted owner, by OwnerGroup: FLEET, ZONE
PRIOR_GAIN = 0.05  # weight of one outcome in these
MAX_KEYS = 20000  # keys with counts; bounds memory, far above what one router sees in a cache's lifetime
KEY_LIFETIME = 35000.0  # ms; the counts of a key without requests for so long have faded
MAX_EVICTIONS = 2  # for each new key: the table shrinks again after a crowd of keys
MIN_COUNT = 0.1  # a lower count has faded
HIT_BIAS_GAIN = 0.5  # how far one observed hit or miss moves the hit bias


class Affinity:
    """This router's counts, and the owners of the keys that it has not counted."""

    def __init__(self, load: LoadEstimate) -> None:
        self.fleet = load.fleet
        self.load = load
        self.keys: OrderedDict[int, KeyState] = OrderedDict()  # by key, the least recently used one first
        self.rendezvous = Rendezvous(self.fleet.settings.router_index, OWNER_COUNT)
        self.rendezvous_version = -1  # of the servers and speeds that it was updated with
        self.prior_hit_probability = list(PRIOR_HIT_PROBABILITY)

    def key_state(self, now: float, key: int) -> KeyState:
        """Return the state of a key that is requested now, a new one if it has none."""
        state = self.keys.get(key)
        if state is None:
            state = self.keys[key] = KeyState()
            self._evict(now)
        else:
            self.keys.move_to_end(key)
        state.used_at = now
        return state

    def _evict(self, now: float) -> None:
        for _ in range(MAX_EVICTIONS):
            key, state = next(iter(self.keys.items()))
            is_expired = len(self.keys) > MAX_KEYS or now - state.used_at > KEY_LIFETIME
            if not is_expired or state.waiting or state.fetching_request:
                break
            del self.keys[key]

    def current_counts(self, now: float, state: KeyState) -> dict[int, AffinityCount]:
        """Return a key's counts by server, decayed up to now; drop those that faded or whose server is out of use."""
        current: dict[int, AffinityCount] = {}
        servers = self.fleet.servers
        in_maintenance = self.fleet.in_maintenance
        for number, (count, updated_at, hit_bias) in list(state.counts.items()):
            count *= math.exp2((updated_at - now) / HALF_LIFE)
            if count < MIN_COUNT or number not in servers or number in in_maintenance or servers[number].unavailable:
                del state.counts[number]
            else:
                current[number] = AffinityCount(count, now, hit_bias)
        return current

    def count_request(self, now: float, state: KeyState, server: int) -> None:
        """Count a request for a key that was sent to a server."""
        self._update(now, state, server, 1.0, 0.0)

    def count_hit(self, now: float, state: KeyState, server: int) -> None:
        """Note that a server has a key cached, or is about to."""
        self._update(now, state, server, 0.0, 1.0)

    def count_miss(self, now: float, state: KeyState, server: int, fetch_failed: bool) -> None:
        """Note that a server did not have a key cached; take back its count if the fetch failed as well."""
        self._update(now, state, server, -1.0 if fetch_failed else 0.0, -1.0)

    def _update(self, now: float, state: KeyState, server: int, added: float, observed: float) -> None:
        """Add to a count, and move the hit bias towards what was observed (0: nothing)."""
        count, updated_at, hit_bias = state.counts.get(server) or (0.0, now, 0.0)
        count = max(0.0, count * math.exp2((updated_at - now) / HALF_LIFE) + added)
        if observed:
            hit_bias += (observed - hit_bias) * HIT_BIAS_GAIN
        state.counts[server] = AffinityCount(count, now, hit_bias)

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
