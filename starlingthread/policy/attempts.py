"""The gate to the wire, and the book of what is out."""

from __future__ import annotations

import math

from ..balance.rendezvous import MASK, mix
from ..interface import NEVER_RAN, Effect, Outcome, Result, Send
from ..limits.slow_start import MARGIN, WARM_LIFE, slow_start_rate, warm_share
from ..state.records import Server, Tracked
from .load import LoadEstimate


class Attempts:
    """Sends what the four rules allow, whatever the caller wants."""

    def __init__(self, load: LoadEstimate) -> None:
        self.fleet, self.load = load.fleet, load
        # What all can do now, in quick warm servers; when that was summed up, and of which list.
        self.warm, self.warm_at, self.warm_list = 0.0, -math.inf, -1

    def send(self, now: float, tracked: Tracked, server: Server) -> bool:
        fleet, load, number, effect = self.fleet, self.load, server.line.server, tracked.cls.effect
        most = 1 if tracked.req.single else fleet.set.max_attempts
        if tracked.ended or tracked.streaming or tracked.deadline <= now or len(tracked.tries) >= most:
            return False  # rule 1: nothing goes out for what is over
        if server.unavailable or number in fleet.in_maintenance:
            return False  # rule 3: drained, gone or in maintenance; we use none of the grace
        if tracked.out and (not fleet.set.second_copies or effect == Effect.UNSAFE):
            return False  # rule 2
        before = math.inf
        if effect != Effect.REPEATABLE and tracked.ran_at >= 0:  # rule 2: an earlier one may have run
            if effect == Effect.UNSAFE or not self._drops_repeat(now, tracked, server):
                return False
            before = tracked.ran_at + tracked.cls.memory_span
        if server is not fleet.origin and not self.is_warm_enough(now, server, tracked):
            return False  # rule 4
        cost, fetch = load.cost(tracked, server), load.fetches.sent(load.fetch_chance(tracked))
        tracked.out, server.out, server.tally = tracked.out + 1, server.out + 1, server.tally + cost
        tracked.tries.append((number, now, cost, server.out, fetch))
        if fleet.zones:
            fleet.zones.sent(now, server.line.zone, number)
        server.budget.spend(load.heavy(tracked))
        if effect == Effect.KEYED and tracked.ran_at < 0:
            tracked.ran_at, tracked.ran_on, tracked.ran_by = now, number, len(tracked.tries) - 1
        fleet.todo.append(Send(tracked.req.id, number, 0.0, before))
        return True

    def over(self, tracked: Tracked, event: Outcome) -> tuple[int, float, float, int, float] | None:
        """Take an attempt off the book and note whether it may have run; None if it is not there."""
        if not event.attempt < len(tracked.tries) or (attempt := tracked.tries[event.attempt]) is None:
            return None
        tracked.tries[event.attempt], tracked.out = None, tracked.out - 1
        number, sent_at, cost, *_ = attempt
        server = self.fleet.servers[number]
        server.tally, server.out = max(0.0, server.tally - cost), max(0, server.out - 1)
        if event.result in NEVER_RAN:
            # By its number: another one may have gone to the same server at the same time, and have run.
            if tracked.ran_at >= 0 and tracked.ran_by == event.attempt:
                tracked.ran_at = -1.0
        elif tracked.ran_at < 0:
            tracked.ran_at, tracked.ran_on, tracked.ran_by = sent_at, number, event.attempt
        return attempt

    def failed(self, now: float, server: Server, result: Result, sent_at: float) -> None:
        if server is not self.fleet.origin:
            spread = self.fleet.rng.uniform(0.7, 1.3)
            server.outliers.failed(now, sent_at, result == Result.CONNECT_FAILED, spread)

    def _drops_repeat(self, now: float, tracked: Tracked, server: Server) -> bool:
        first, group = self.fleet.servers[tracked.ran_on].line, tracked.cls.group
        same = group == "all" or (first.zone == server.line.zone if group == "zone" else first.cell == server.line.cell)
        return same and now - tracked.ran_at < tracked.cls.memory_span

    def is_warm_enough(self, now: float, server: Server, tracked: Tracked) -> bool:
        """A cold server takes the share of keys that its ramp can bear; all balancers agree on which."""
        rules, load = self.fleet.set, self.load
        share = warm_share(now, server.since, rules.cold_from, rules.cold_time)
        if share >= 1:
            return True
        share *= MARGIN
        key = tracked.req.key or tracked.req.id
        # Hashed once more: a key's owners are the servers with the greatest of its hashes, and of those none
        # would be under a share.
        if mix(mix(key ^ server.salt) ^ server.salt) >= share * MASK:
            return False
        # Guards against retries, bursts and hot keys that meet at a cold server, in any window in which it
        # could fall over.
        if now - self.warm_at > WARM_LIFE or self.warm_list != self.fleet.list_count:
            self.warm_at, self.warm_list, self.warm = (
                now,
                self.fleet.list_count,
                sum(
                    load.speed(s) * warm_share(now, s.since, rules.cold_from, rules.cold_time) for s in self.fleet.ready
                ),
            )
        rate = slow_start_rate(share * load.speed(server), load.pace.per_ms(now), self.warm, rules)
        return server.budget.allows(now, rate, rules.tip_after, load.heavy(tracked))
