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

SAMPLED_AFFINITY = 0.1  # least affinity of a server without a count; far under one count's log(N)
OWNER_AFFINITY = 1.0  # least affinity of an uncounted key's first owners, halved for each rank; under one count's
SAMPLE_SIZE = 2  # random candidates besides the owners and the counted servers, a way out when all those are loaded
ORIGIN_PRESSURE_PRICE = 2.0  # latency objectives that a fetch costs more at full pressure on the origin


class KeyAffinity(NamedTuple):
    """Where a request's key belongs."""

    counts: dict[int, AffinityCount]  # by server
    owners: list[Owner]
    rarity: float  # logarithm of the fleet's size relative to the number of counted servers, as in tf-idf


class Candidate(NamedTuple):
    """How a server became a candidate."""

    min_affinity: float
    owner_group: OwnerGroup | None  # None: it is no owner of the key


Score: TypeAlias = tuple[bool, float]  # whether an answer would be late, and ms for each unit of affinity

SAMPLED = Candidate(SAMPLED_AFFINITY, None)
FLEET_OWNERS = tuple(Candidate(OWNER_AFFINITY * 0.5**rank, OwnerGroup.FLEET) for rank in range(OWNER_COUNT))
WORST_SCORE: Score = (True, math.inf)


class ServerChoice:
    """Scores the servers that a request may go to."""

    def __init__(self, affinity: Affinity, gate: AttemptGate) -> None:
        self.affinity = affinity
        self.gate = gate
        self.fleet = affinity.fleet
        self.load = affinity.load

    def choose(self, now: float, state: RequestState, key_state: KeyState | None) -> Server | None:
        """Return the server with the least score and note its hit probability; None if no server may be used now.

        key_state is that of the request's key, None for a request without a key.
        """
        counts, owners, rarity = self._key_affinity(now, state, key_state)
        candidates = self._candidates(state, counts, owners, rarity)
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
            affinity = max(candidate.min_affinity, affinity_count.request_count * rarity)
            crossing_cost = self._crossing_cost(server, state.request_class)
            cost = state.expected_cost + crossing_cost + (1 - hit_probability) * miss_cost
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
        if key_state.owners.is_spread:  # a hot key stays at this router's part of its owners
            counts = {owner.number: counts[owner.number] for owner in owners if owner.number in counts}
        rarity = math.log(max(1.0, len(self.fleet.ready) / len(counts))) if counts else 0.0
        return KeyAffinity(counts, owners, rarity)

    def _candidates(
        self, state: RequestState, counts: dict[int, AffinityCount], owners: list[Owner], rarity: float
    ) -> dict[int, Candidate]:
        """Return the candidates by server: the key's owners, the counted servers, and a random sample."""
        fleet = self.fleet
        candidates: dict[int, Candidate] = {}
        total = sum(affinity_count.request_count for affinity_count in counts.values())
        replicas = self.load.origin_limit.replicas
        pays_zone_owner = self._pays_zone_owner(state.request_class, total)
        for number, rank, is_near in owners:
            if not replicas.allows(state.request.key, rank, is_near):
                continue
            if not is_near:
                candidates.setdefault(number, FLEET_OWNERS[rank])
            elif pays_zone_owner:
                min_affinity = max(OWNER_AFFINITY, total * rarity) * 0.5**rank
                candidates.setdefault(number, Candidate(min_affinity, OwnerGroup.ZONE))
        for number in counts:
            candidates.setdefault(number, SAMPLED)
        if fleet.ready:
            for _ in range(SAMPLE_SIZE):
                candidates.setdefault(fleet.rng.choice(fleet.ready).endpoint.server, SAMPLED)
        return candidates

    def _pays_zone_owner(self, request_class: RequestClass, total_count: float) -> bool:
        """Return whether the zone's routers save as much by a replica in the zone as its additional fetch costs."""
        fleet = self.fleet
        crossing_price = fleet.settings.price_cross_zone * request_class.latency_objective
        savings = (total_count + 1) * fleet.demand.routers_per_zone * crossing_price
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

    def _crossing_cost(self, server: Server, request_class: RequestClass) -> float:
        """Return the cost (ms) of leaving the zone: the other zone's distance, and the price in latency objectives."""
        settings = self.fleet.settings
        zone = server.endpoint.zone
        if zone == settings.zone:
            return 0.0
        zones = self.fleet.zones
        distance = zones.extra_latency(settings.zone, zone) if zones else 0.0
        return distance + settings.price_cross_zone * request_class.latency_objective

    def _miss_cost(self, now: float, request_class: RequestClass) -> float:
        """Return the cost (ms) of a fetch from the origin: its typical time, its price and its scarcity."""
        throttle = self.load.origin_throttle
        price = self.fleet.settings.price_origin + ORIGIN_PRESSURE_PRICE * throttle.pressure(now)
        cost = throttle.typical_fetch_time + price * request_class.latency_objective
        origin = self.fleet.origin
        return cost + (self._crossing_cost(origin, request_class) if origin else 0.0)

    def _score(
        self, now: float, state: RequestState, server: Server, cost: float, affinity: float, time_limit: float
    ) -> Score:
        """Return the score of a server for a request of this cost (ms); the least is best.

        Incident i952281: a crowded zone's owners drew all requests and rejected them while other servers idled, so a
        server that would be late comes after every one that would not. Its last answers show only what was sent
        before a crowd, so this router's own attempts in flight count as well.
        """
        expected_wait = self.load.expected_wait(now, server)
        wait = expected_wait
        if not server.concurrency.is_learned:
            wait = max(wait, server.cost_in_flight / ASSUMED_CORES)
        is_late = not server.concurrency.allows(server.attempts_in_flight) or self.load.is_late(
            now, state, server, wait
        )
        return is_late, (self.load.queueing_delay(now, server, expected_wait) + cost) / affinity
