"""Checks every attempt against the rules for sending before it is sent, and records the attempts in flight."""

from __future__ import annotations

import math

from ..actions import Send
from ..balance.rendezvous import is_key_in_share
from ..events import NEVER_EXECUTED, AttemptResult, Outcome
from ..limits.slow_start import WARM_SHARE_FACTOR, WarmCapacity, slow_start_rate, warm_share
from ..settings import Idempotency
from ..state.executions import PossibleExecution
from ..state.records import AttemptRecord, RequestState, Server
from .load_estimate import LoadEstimate

# Range of the random factor on an outlier's ejection time, so that routers do not return to the server together.
EJECTION_JITTER = (0.7, 1.3)


class AttemptGate:
    """Sends only the attempts that the four rules allow, whichever part of the module requests them.

    Rule 1: nothing is sent for a request that is over. Rule 2: a request that is not idempotent is not executed
    twice. Rule 3: nothing is sent to a server that is draining, gone or in maintenance. Rule 4: a server that warms
    up gets no more than its slow start allows.
    """

    def __init__(self, load: LoadEstimate) -> None:
        self.fleet = load.fleet
        self.load = load
        self._warm_capacity = WarmCapacity()

    def send(self, now: float, state: RequestState, server: Server) -> bool:
        """Send an attempt to a server and return True, or return False if a rule forbids it."""
        if self._is_over(now, state):  # rule 1
            return False
        # Rule 3; the drain grace of the settings is not used.
        if server.unavailable or server.endpoint.server in self.fleet.in_maintenance:
            return False
        if state.attempts_in_flight and not self._allows_concurrent_attempts(state):  # rule 2
            return False
        write_deadline = math.inf
        if state.possible_executions and state.request_class.idempotency != Idempotency.IDEMPOTENT:
            first = state.possible_executions[0]
            if not self._is_deduplicated(now, state, server, first):  # rule 2
                return False
            write_deadline = first.sent_at + state.request_class.idempotency_window
        if server is not self.fleet.origin and not self.allows_slow_start(now, server, state):  # rule 4
            return False
        self._record(now, state, server)
        self.fleet.actions.append(Send(state.request.id, server.endpoint.server, 0.0, write_deadline))
        return True

    def _is_over(self, now: float, state: RequestState) -> bool:
        max_attempts = 1 if state.request.single_use else self.fleet.settings.max_attempts
        return state.finished or state.streaming or state.deadline <= now or len(state.attempts) >= max_attempts

    def _allows_concurrent_attempts(self, state: RequestState) -> bool:
        idempotency = state.request_class.idempotency
        return self.fleet.settings.hedging_allowed and idempotency != Idempotency.NOT_IDEMPOTENT

    def _is_deduplicated(self, now: float, state: RequestState, server: Server, execution: PossibleExecution) -> bool:
        """Return whether a server drops a duplicate of what it or another server may have executed."""
        request_class = state.request_class
        if request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
            return False
        if now - execution.sent_at >= request_class.idempotency_window:
            return False
        if request_class.deduplication_scope == "all":
            return True
        executed_at = self.fleet.servers.get(execution.server)
        if executed_at is None:
            return False
        if request_class.deduplication_scope == "zone":
            return executed_at.endpoint.zone == server.endpoint.zone
        return executed_at.endpoint.cell == server.endpoint.cell

    def _record(self, now: float, state: RequestState, server: Server) -> None:
        load = self.load
        number = server.endpoint.server
        expected_time = load.expected_service_time(state, server)
        fetch_probability = load.origin_limit.on_sent(load.fetch_probability(state))
        server.attempts_in_flight += 1
        server.cost_in_flight += expected_time
        state.attempts_in_flight += 1
        state.attempts.append(AttemptRecord(number, now, expected_time, server.attempts_in_flight, fetch_probability))
        if self.fleet.zones:
            self.fleet.zones.on_sent(now, server.endpoint.zone, number)
        server.slow_start.spend(load.relative_cost(state))
        if state.request_class.idempotency != Idempotency.IDEMPOTENT:
            execution = PossibleExecution(number, now, len(state.attempts) - 1, state.request.id)
            self.fleet.executions.add(state.request.identity, state.possible_executions, execution)

    def on_outcome(self, state: RequestState, event: Outcome) -> AttemptRecord | None:
        """Remove an ended attempt from the record and return it, or return None if it was not in flight."""
        if event.attempt >= len(state.attempts):
            return None
        attempt = state.attempts[event.attempt]
        if attempt is None:
            return None
        state.attempts[event.attempt] = None
        state.attempts_in_flight -= 1
        server = self.fleet.servers[attempt.server]
        server.cost_in_flight = max(0.0, server.cost_in_flight - attempt.expected_time)
        server.attempts_in_flight = max(0, server.attempts_in_flight - 1)
        if event.result in NEVER_EXECUTED:
            request = state.request
            self.fleet.executions.disprove(request.identity, state.possible_executions, request.id, event.attempt)
        return attempt

    def on_failure(self, now: float, server: Server, result: AttemptResult, sent_at: float) -> None:
        """Record a failure of a cache server, which may eject it as an outlier."""
        if server is not self.fleet.origin:
            jitter = self.fleet.rng.uniform(*EJECTION_JITTER)
            server.outliers.on_failure(now, sent_at, result == AttemptResult.CONNECT_FAILED, jitter)

    def allows_slow_start(self, now: float, server: Server, state: RequestState) -> bool:
        """Return whether a server is warm, or may get this request while it warms up.

        While it warms up, it serves a share of the keys that grows with its capacity; these keys are the same for
        all routers.
        """
        settings = self.fleet.settings
        share = self._warm_share(now, server)
        if share >= 1:
            return True
        share *= WARM_SHARE_FACTOR
        if not is_key_in_share(state.request.key or state.request.id, server.salt, share):
            return False
        # The rate limit guards against retries, bursts and hot keys that coincide at a warming server and would
        # overload it within one overload window.
        speed = self.load.speed(server)
        served_per_ms = self.load.served_rate.per_ms(now)
        warm_capacity = self._warm_capacity.at(now, self.fleet.list_version, lambda: self._sum_warm_capacity(now))
        rate = slow_start_rate(share * speed, served_per_ms, warm_capacity, settings)
        return server.slow_start.allows(now, rate, settings.overload_window, self.load.relative_cost(state))

    def _warm_share(self, now: float, server: Server) -> float:
        settings = self.fleet.settings
        return warm_share(now, server.warming_since, settings.initial_capacity_share, settings.slow_start_duration)

    def _sum_warm_capacity(self, now: float) -> float:
        return sum(self.load.speed(server) * self._warm_share(now, server) for server in self.fleet.ready)
