"""Updates the estimates of the server, the origin, the request's class and its key after each attempt."""

from __future__ import annotations

import math

from ..events import AttemptResult, CacheStatus, Outcome
from ..limits.hedging import HedgeBudget
from ..limits.limit_adjustment import adjust_limits
from ..state.records import AttemptRecord, RequestState, Server
from .affinity import Affinity
from .attempt_gate import AttemptGate

FAILURES = frozenset((AttemptResult.CONNECT_FAILED, AttemptResult.RESET, AttemptResult.ERROR, AttemptResult.TIMEOUT))
SUCCESSES = frozenset((AttemptResult.OK, AttemptResult.MISS))
# A time-out after less than this share of the latency objective shows only that the client waits for a short time.
MIN_TIMEOUT_SHARE = 0.1


class OutcomeLearning:
    """Passes each outcome to the load estimates, the limits and the affinity counts."""

    def __init__(self, affinity: Affinity, gate: AttemptGate, hedge_budget: HedgeBudget) -> None:
        self.affinity = affinity
        self.gate = gate
        self.hedge_budget = hedge_budget
        self.fleet = affinity.fleet
        self.load = affinity.load

    def learn(self, now: float, state: RequestState, server: Server, event: Outcome, attempt: AttemptRecord) -> None:
        """Learn from the outcome of an attempt that was in flight at a server."""
        self.load.on_load_report(now, server, event.load_report)
        if self._is_client_too_hasty(state, event, attempt):
            self.load.origin_limit.on_finished(attempt.fetch_probability)
            return
        fetch_failed = self._update_server_estimates(now, state, server, event, attempt)
        if server is self.fleet.origin:
            self.load.origin_throttle.on_outcome(now, event.result, event.response_time)
        else:
            self._update_key_state(now, state, server, event, fetch_failed)
        self._adjust_limits(now, state, server, event, attempt)
        if state.is_loss_sample:
            self.hedge_budget.on_outcome(event.result, state.hit_probability)

    @staticmethod
    def _is_client_too_hasty(state: RequestState, event: Outcome, attempt: AttemptRecord) -> bool:
        """Return whether an attempt timed out so early that this is no evidence about its server.

        Otherwise a client whose requests have hardly any time would have all servers ejected for all clients.
        """
        if event.result != AttemptResult.TIMEOUT:
            return False
        shortest_time = max(attempt.expected_time, MIN_TIMEOUT_SHARE * state.request_class.latency_objective)
        return event.response_time < shortest_time

    def _update_server_estimates(
        self, now: float, state: RequestState, server: Server, event: Outcome, attempt: AttemptRecord
    ) -> bool:
        """Update a server's waits, service times and failures; return whether its fetch from the origin failed."""
        sent_at = now - event.elapsed
        fetch_failed = self.load.on_attempt_ended(now, state, server, event, attempt.expected_time)
        if event.result in FAILURES and not event.is_local_timeout:
            self.gate.on_failure(now, server, event.result, sent_at)
        elif event.result in SUCCESSES:
            server.outliers.on_success(sent_at)
        if event.result == AttemptResult.OK and server is not self.fleet.origin:
            self.load.on_served(now, state, server, event)
        return fetch_failed

    def _update_key_state(
        self, now: float, state: RequestState, server: Server, event: Outcome, fetch_failed: bool
    ) -> None:
        """Record whether a cache server had the request's key cached."""
        key = state.request.key
        if not key or not (fetch_failed or event.result in SUCCESSES):
            return
        is_hit = event.result == AttemptResult.OK and event.cache_status != CacheStatus.MISS
        if state.owner_group is not None:
            self.affinity.update_prior(state.owner_group, is_hit)
        key_state = self.affinity.keys.get_or_add(now, key)
        if is_hit:
            key_state.count_hit(now, server.endpoint.server)
        else:
            key_state.count_miss(now, server.endpoint.server, fetch_failed)

    def _adjust_limits(
        self, now: float, state: RequestState, server: Server, event: Outcome, attempt: AttemptRecord
    ) -> None:
        load = self.load
        result = event.result
        has_responded = server.outliers.on_outcome(now, attempt.sent_at, result)
        if self.fleet.zones:
            self.fleet.zones.on_outcome(now, server.endpoint.zone, server.endpoint.server, result, attempt.sent_at)
        if not (event.is_local_timeout or self.hedge_budget.is_lost(result, attempt.sent_at, server.outliers)):
            adjust_limits(
                server.concurrency,
                load.origin_limit,
                event,
                attempt.in_flight_at_server,
                attempt.fetch_probability,
                load.time_without_wait(state, server, event, attempt.expected_time),
                state.request_class.latency_objective,
                load.origin_throttle.typical_fetch_time if has_responded else math.inf,
            )
        load.origin_limit.on_finished(attempt.fetch_probability)
