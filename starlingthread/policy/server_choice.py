"""The choice of a server: the least (queueing delay + expected cost) / affinity among a few candidates."""

from __future__ import annotations

import math
from typing import NamedTuple, TypeAlias

from ..balance.load import ASSUMED_CORES
from ..balance.rendezvous import Owner
from ..settings import RequestClass
from ..state.records import NO_COUNT, AffinityCount, KeyState, OwnerGroup, RequestState, Server
from .affinity import OWNER_COUNT, Affinity
from .attempt_gate import AttemptGate

# Minimum affinity of a server without a count; far less than log(N), which one count gives in a fleet of N servers.
SAMPLED_MIN_AFFINITY = 0.1
# Minimum affinity of the first owner of a key without counts, halved for each rank; less than one count gives.
OWNER_MIN_AFFINITY = 1.0
# Number of random candidates besides the owners and the counted servers, as alternatives when all those are loaded.
SAMPLE_SIZE = 2
# Additional price of a fetch at full pressure on the origin, in latency objectives.
ORIGIN_PRESSURE_PRICE_OBJECTIVES = 2.0


class KeyAffinity(NamedTuple):
    """The affinity of a request's key: its counts and its owners."""

    counts: dict[int, AffinityCount]  # request counts by server number
    owners: list[Owner]
    inverse_frequency: float  # log(number of servers / number of servers with a count), as in tf-idf


class Candidate(NamedTuple):
    """The reason for which a server is a candidate."""

    min_affinity: float
    owner_group: OwnerGroup | None  # None: the server is not an owner of the key


Score: TypeAlias = tuple[bool, float]  # whether the answer would be late, and the cost in ms per unit of affinity

SAMPLED = Candidate(SAMPLED_MIN_AFFINITY, None)
FLEET_OWNERS = tuple(Candidate(OWNER_MIN_AFFINITY * 0.5**rank, OwnerGroup.FLEET) for rank in range(OWNER_COUNT))
WORST_SCORE: Score = (True, math.inf)


class ServerChoice:
    """Scores the candidate servers of a request and chooses the best one."""

    def __init__(self, affinity: Affinity, gate: AttemptGate) -> None:
        self.affinity = affinity
        self.gate = gate
        self.fleet = affinity.fleet
        self.load = affinity.load

    def choose(self, now: float, state: RequestState, key_state: KeyState | None) -> Server | None:
        """Return the server with the least score, or None if no server may be used now.

        The hit probability at the server is stored in state. key_state: None for a request without a key.
        """
        counts, owners, inverse_frequency = self._key_affinity(now, state, key_state)
        candidates = self._candidates(state, counts, owners, inverse_frequency)
        miss_cost = self._miss_cost(now, state.request_class)
        time_limit = self.load.time_limit(now, state)
        best: Server | None = None
        best_score = WORST_SCORE
        for number, candidate in candidates.items():
            server = self.fleet.servers[number]
            if not self._is_usable(now, state, server):
                continue
            affinity_count = counts.get(number, NO_COUNT)
            hit_probability = self._hit_probability(affinity_count, candidate.owner_group)
            affinity = max(candidate.min_affinity, affinity_count.request_count * inverse_frequency)
            cross_zone_cost = self._cross_zone_cost(server, state.request_class)
            cost = state.expected_cost + cross_zone_cost + (1 - hit_probability) * miss_cost
            score = self._score(now, state, server, cost, affinity, time_limit)
            if score < best_score:
                best = server
                best_score = score
                state.hit_probability = hit_probability
                state.owner_group = None if affinity_count.request_count else candidate.owner_group
        return best

    def _key_affinity(self, now: float, state: RequestState, key_state: KeyState | None) -> KeyAffinity:
        if key_state is None:
            return KeyAffinity({}, [], 0.0)
        counts = self.affinity.current_counts(now, key_state)
        owners = self.affinity.owners(now, key_state, state.request)
        if key_state.owners.is_spread:  # requests for a hot key go only to this router's part of the owners
            counts = {owner.number: counts[owner.number] for owner in owners if owner.number in counts}
        inverse_frequency = math.log(max(1.0, len(self.fleet.ready) / len(counts))) if counts else 0.0
        return KeyAffinity(counts, owners, inverse_frequency)

    def _candidates(
        self, state: RequestState, counts: dict[int, AffinityCount], owners: list[Owner], inverse_frequency: float
    ) -> dict[int, Candidate]:
        """Return the candidates by server number: the key's owners, the servers with a count, and a random sample."""
        fleet = self.fleet
        candidates: dict[int, Candidate] = {}
        total = sum(affinity_count.request_count for affinity_count in counts.values())
        replicas = self.load.origin_limit.replicas
        is_zone_owner_cheaper = self._is_zone_owner_cheaper(state.request_class, total)
        for number, rank, is_in_zone in owners:
            if not replicas.allows(state.request.key, rank, is_in_zone):
                continue
            if not is_in_zone:
                candidates.setdefault(number, FLEET_OWNERS[rank])
            elif is_zone_owner_cheaper:
                min_affinity = max(OWNER_MIN_AFFINITY, total * inverse_frequency) * 0.5**rank
                candidates.setdefault(number, Candidate(min_affinity, OwnerGroup.ZONE))
        for number in counts:
            candidates.setdefault(number, SAMPLED)
        if fleet.ready:
            for _ in range(SAMPLE_SIZE):
                candidates.setdefault(fleet.rng.choice(fleet.ready).endpoint.server, SAMPLED)
        return candidates

    def _is_zone_owner_cheaper(self, request_class: RequestClass, total_count: float) -> bool:
        """Return whether a replica in the zone saves its routers at least the cost of the additional fetch."""
        fleet = self.fleet
        cross_zone_price = fleet.settings.price_cross_zone * request_class.latency_objective
        savings = (total_count + 1) * fleet.demand.routers_per_zone * cross_zone_price
        return savings >= self.load.origin_throttle.typical_fetch_time

    def _is_usable(self, now: float, state: RequestState, server: Server) -> bool:
        number = server.endpoint.server
        if server.outliers.ejected_until > now:
            return False
        if number in state.failed_servers or number in state.missed_servers:
            return False
        if server.warming_since > 0 and not self.gate.allows_slow_start(now, server, state):
            return False
        zones = self.fleet.zones
        return not zones or zones.is_open(now, server.endpoint.zone, state.request.key)

    def _hit_probability(self, affinity_count: AffinityCount, owner_group: OwnerGroup | None) -> float:
        count = affinity_count.request_count
        probability = count / (count + 1)
        if owner_group is not None:
            probability = max(probability, self.affinity.prior_hit_probability[owner_group])
        hit_bias = affinity_count.hit_bias
        return probability + hit_bias * (1 - probability if hit_bias > 0 else probability)

    def _cross_zone_cost(self, server: Server, request_class: RequestClass) -> float:
        """Return the cost (ms) of a request to another zone: the extra latency, and the cross-zone price in ms."""
        settings = self.fleet.settings
        zone = server.endpoint.zone
        if zone == settings.zone:
            return 0.0
        zones = self.fleet.zones
        distance = zones.extra_latency(settings.zone, zone) if zones else 0.0
        return distance + settings.price_cross_zone * request_class.latency_objective

    def _miss_cost(self, now: float, request_class: RequestClass) -> float:
        """Return the cost (ms) of a fetch: its typical time and its price, which rises with the origin's load."""
        throttle = self.load.origin_throttle
        price = self.fleet.settings.price_origin + ORIGIN_PRESSURE_PRICE_OBJECTIVES * throttle.pressure(now)
        cost = throttle.typical_fetch_time + price * request_class.latency_objective
        origin = self.fleet.origin
        return cost + (self._cross_zone_cost(origin, request_class) if origin else 0.0)

    def _score(
        self, now: float, state: RequestState, server: Server, cost: float, affinity: float, time_limit: float
    ) -> Score:
        """Return the score of a server for a request of this cost (ms); the least is best.

        A server that would be late ranks after every server that would not. Incident i952281: the owners in an
        overloaded zone got all requests and rejected them while other servers were idle. The last answers of a server
        reflect only attempts sent before a burst, so this router's own attempts in flight count as well.
        """
        expected_wait = self.load.expected_wait(now, server)
        wait = expected_wait
        if not server.concurrency.is_learned:
            wait = max(wait, server.cost_in_flight / ASSUMED_CORES)
        is_late = not server.concurrency.allows(server.attempts_in_flight) or self.load.is_late(
            now, state, server, wait
        )
        return is_late, (self.load.queueing_delay(now, server, expected_wait) + cost) / affinity
