"""The gate to the wire, and the book of what is out."""

from __future__ import annotations

import math

from ..actions import Send
from ..balance.rendezvous import MASK, mix
from ..events import NEVER_EXECUTED, AttemptResult, Outcome
from ..limits.slow_start import MARGIN, WARM_LIFE, slow_start_rate, warm_share
from ..settings import Idempotency
from ..state.records import RequestState, Server
from .load import LoadEstimate


class Attempts:
    """Sends what the four rules allow, whatever the caller wants."""

    def __init__(self, load: LoadEstimate) -> None:
        self.fleet, self.load = load.fleet, load
        # What all can do now, in quick warm servers; when that was summed up, and of which list.
        self.warm, self.warm_at, self.warm_list = 0.0, -math.inf, -1

    def send(self, now: float, tracked: RequestState, server: Server) -> bool:
        fleet, load, number, effect = self.fleet, self.load, server.endpoint.server, tracked.request_class.idempotency
        most = 1 if tracked.request.single_use else fleet.settings.max_attempts
        if tracked.finished or tracked.streaming or tracked.deadline <= now or len(tracked.attempts) >= most:
            return False  # rule 1: nothing goes out for what is over
        if server.unavailable or number in fleet.in_maintenance:
            return False  # rule 3: drained, gone or in maintenance; we use none of the grace
        if tracked.attempts_in_flight and (not fleet.settings.hedging_allowed or effect == Idempotency.NOT_IDEMPOTENT):
            return False  # rule 2
        before = math.inf
        if effect != Idempotency.IDEMPOTENT and tracked.may_have_run_at >= 0:  # rule 2: an earlier one may have run
            if effect == Idempotency.NOT_IDEMPOTENT or not self._drops_repeat(now, tracked, server):
                return False
            before = tracked.may_have_run_at + tracked.request_class.idempotency_window
        if server is not fleet.origin and not self.is_warm_enough(now, server, tracked):
            return False  # rule 4
        cost, fetch = load.cost(tracked, server), load.fetches.on_sent(load.fetch_chance(tracked))
        tracked.attempts_in_flight, server.attempts_in_flight, server.cost_in_flight = (
            tracked.attempts_in_flight + 1,
            server.attempts_in_flight + 1,
            server.cost_in_flight + cost,
        )
        tracked.attempts.append((number, now, cost, server.attempts_in_flight, fetch))
        if fleet.zones:
            fleet.zones.on_sent(now, server.endpoint.zone, number)
        server.slow_start.spend(load.heavy(tracked))
        if effect == Idempotency.IDEMPOTENCY_KEY and tracked.may_have_run_at < 0:
            tracked.may_have_run_at, tracked.may_have_run_on, tracked.may_have_run_attempt = (
                now,
                number,
                len(tracked.attempts) - 1,
            )
        fleet.actions.append(Send(tracked.request.id, number, 0.0, before))
        return True

    def over(self, tracked: RequestState, event: Outcome) -> tuple[int, float, float, int, float] | None:
        """Take an attempt off the book and note whether it may have run; None if it is not there."""
        if not event.attempt < len(tracked.attempts) or (attempt := tracked.attempts[event.attempt]) is None:
            return None
        tracked.attempts[event.attempt], tracked.attempts_in_flight = None, tracked.attempts_in_flight - 1
        number, sent_at, cost, *_ = attempt
        server = self.fleet.servers[number]
        server.cost_in_flight, server.attempts_in_flight = (
            max(0.0, server.cost_in_flight - cost),
            max(0, server.attempts_in_flight - 1),
        )
        if event.result in NEVER_EXECUTED:
            # By its number: another one may have gone to the same server at the same time, and have run.
            if tracked.may_have_run_at >= 0 and tracked.may_have_run_attempt == event.attempt:
                tracked.may_have_run_at = -1.0
        elif tracked.may_have_run_at < 0:
            tracked.may_have_run_at, tracked.may_have_run_on, tracked.may_have_run_attempt = (
                sent_at,
                number,
                event.attempt,
            )
        return attempt

    def failed(self, now: float, server: Server, result: AttemptResult, sent_at: float) -> None:
        if server is not self.fleet.origin:
            spread = self.fleet.rng.uniform(0.7, 1.3)
            server.outliers.on_failure(now, sent_at, result == AttemptResult.CONNECT_FAILED, spread)

    def _drops_repeat(self, now: float, tracked: RequestState, server: Server) -> bool:
        first, group = self.fleet.servers[tracked.may_have_run_on].endpoint, tracked.request_class.deduplication_scope
        same = group == "all" or (
            first.zone == server.endpoint.zone if group == "zone" else first.cell == server.endpoint.cell
        )
        return same and now - tracked.may_have_run_at < tracked.request_class.idempotency_window

    def is_warm_enough(self, now: float, server: Server, tracked: RequestState) -> bool:
        """A cold server takes the share of keys that its ramp can bear; all balancers agree on which."""
        rules, load = self.fleet.settings, self.load
        share = warm_share(now, server.cold_since, rules.initial_capacity_share, rules.slow_start_duration)
        if share >= 1:
            return True
        share *= MARGIN
        key = tracked.request.key or tracked.request.id
        # Hashed once more: a key's owners are the servers with the greatest of its hashes, and of those none
        # would be under a share.
        if mix(mix(key ^ server.salt) ^ server.salt) >= share * MASK:
            return False
        # Guards against retries, bursts and hot keys that meet at a cold server, in any window in which it
        # could fall over.
        if now - self.warm_at > WARM_LIFE or self.warm_list != self.fleet.list_version:
            self.warm_at, self.warm_list, self.warm = (
                now,
                self.fleet.list_version,
                sum(
                    load.speed(s)
                    * warm_share(now, s.cold_since, rules.initial_capacity_share, rules.slow_start_duration)
                    for s in self.fleet.ready
                ),
            )
        rate = slow_start_rate(share * load.speed(server), load.pace.per_ms(now), self.warm, rules)
        return server.slow_start.allows(now, rate, rules.overload_window, load.heavy(tracked))
