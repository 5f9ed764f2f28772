"""The choice of a server: least (load + expected cost) / affinity, floored, of a bounded set."""

from __future__ import annotations

import math

from ..balance.load import CORES
from ..settings import RequestClass
from ..state.records import Key, RequestState, Server
from .affinity import Affinity
from .attempts import Attempts

FLOOR = 0.1  # affinity of a server without a count; far under one count's log(N)
OWNER_FLOOR = 1.0  # affinity of an uncounted key's first owners, halved for each rank on; under one count's
SAMPLED = 2  # servers scored besides owners and counted ones, a way out when all of those are loaded


class Choice:
    """Scores the servers that a request may go to."""

    def __init__(self, affinity: Affinity, attempts: Attempts) -> None:
        self.affinity, self.attempts = affinity, attempts
        self.fleet, self.load = affinity.fleet, affinity.load

    def _crossing(self, server: Server, cls: RequestClass) -> float:
        """What leaving the zone costs, in ms: its price in worth, and a request's worth is its aim."""
        rules, there, zones = self.fleet.settings, server.endpoint.zone, self.fleet.zones
        far = zones.extra_latency(rules.zone, there) if zones else 0.0
        return far + rules.price_cross_zone * cls.latency_objective if there != rules.zone else 0.0

    def _miss_cost(self, now: float, cls: RequestClass) -> float:
        """What a fetch from the origin costs, in ms: its usual time, its prices, and its scarcity."""
        throttle, origin = self.load.throttle, self.fleet.origin
        cost = (
            throttle.typical_fetch_time
            + (self.fleet.settings.price_origin + 2 * throttle.pressure(now)) * cls.latency_objective
        )
        return cost + (self._crossing(origin, cls) if origin else 0.0)

    def choose(self, now: float, tracked: RequestState, entry: Key | None) -> Server | None:
        """Return the server with the least score, None if none may be asked now."""
        fleet, load, affinity, cls = self.fleet, self.load, self.affinity, tracked.request_class
        counted = affinity.counted(now, entry) if entry else {}
        owners = affinity.owners_of(now, entry, tracked.request) if entry else []
        if entry and entry.owners.spread:  # back to our part of its owners alone
            counted = {owner.number: counted[owner.number] for owner in owners if owner.number in counted}
        idf = math.log(max(1.0, len(fleet.ready) / len(counted))) if counted else 0.0
        total = sum(count for count, _ in counted.values())
        floors: dict[int, tuple[float, int]] = {}
        saves = (total + 1) * fleet.demand.routers_per_zone * fleet.settings.price_cross_zone * cls.latency_objective
        for number, rank, near in owners:
            # A copy more is a fetch more; it pays once not leaving the zone saves its routers as much.
            allowed = load.fetches.replicas.allows(tracked.request.key, rank, near)
            if not allowed or (near and saves < load.throttle.typical_fetch_time):
                continue
            floor = max(OWNER_FLOOR, total * idf if near else 0.0) * 0.5**rank
            floors.setdefault(number, (floor, int(near)))
        sampled = (fleet.rng.choice(fleet.ready).endpoint.server for _ in range(SAMPLED if fleet.ready else 0))
        for number in (*counted, *sampled):
            floors.setdefault(number, (FLOOR, -1))
        miss_cost, best, least = self._miss_cost(now, cls), None, (True, math.inf)
        limit = load.limit(now, tracked)
        for number, (floor, role) in floors.items():
            server = fleet.servers[number]
            if (
                server.outliers.ejected_until > now
                or number in tracked.failed_servers
                or number in tracked.missed_servers
                or (server.cold_since > 0 and not self.attempts.is_warm_enough(now, server, tracked))
                or (fleet.zones and not fleet.zones.is_open(now, server.endpoint.zone, tracked.request.key))
            ):
                continue
            count, nudge = counted.get(number, (0.0, 0.0))
            chance = count / (count + 1) if role < 0 else max(count / (count + 1), affinity.prior[role])
            chance += nudge * (1 - chance if nudge > 0 else chance)
            cost = tracked.expected_cost + self._crossing(server, cls) + (1 - chance) * miss_cost
            # Incident i952281: a crowded zone's owners drew all and refused it while other servers idled, so
            # a server that would be late comes after every one that would not, be it by what it has from us:
            # its last answers tell only of what was sent before a crowd.
            lag = load.lag(now, server)
            wait = lag if server.concurrency.is_learned else max(lag, server.cost_in_flight / CORES)
            score = (
                not server.concurrency.allows(server.attempts_in_flight) or wait + load.cost(tracked, server) > limit,
                (load.load(now, server, lag) + cost) / max(floor, count * idf),
            )
            if score < least:
                best, least, tracked.hit_probability = server, score, chance
                tracked.owner_group = role if not count else -1
        return best
