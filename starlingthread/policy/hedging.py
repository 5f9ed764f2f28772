"""Hedged requests: a second attempt at another server if the first one takes too long."""

from __future__ import annotations

import math
from heapq import heappop, heappush
from typing import NamedTuple

from ..actions import SetTimer
from ..events import AttemptResult
from ..limits.hedging import HedgeBudget
from ..settings import Idempotency
from ..state.records import AttemptRecord, RequestState, Server
from .admission import Admission
from .server_choice import ServerChoice
from .timers import CHECK_HEDGES, TIMER_TOLERANCE_MS

# A check that is later than this was delayed by a pause of this process, so responses may have arrived unread.
MAX_CHECK_LATENESS_MS = 50.0
# Share of the latency objective; if the servers' mean wait is longer, hedges only add to the load.
MAX_MEAN_WAIT_SHARE = 0.4


class HedgeCheck(NamedTuple):
    """A scheduled check whether a request's first attempt is still in flight, ordered by its due clock time (ms)."""

    due: float
    request_id: int


class Hedging:
    """Checks slow first attempts, and hedges those for which a second attempt is worthwhile."""

    def __init__(self, choice: ServerChoice, admission: Admission) -> None:
        self.choice = choice
        self.gate = choice.gate
        self.affinity = choice.affinity
        self.fleet = choice.fleet
        self.load = choice.load
        self.core = admission.core
        self.budget = HedgeBudget()
        self._checks: list[HedgeCheck] = []  # a heap ordered by due time
        self._timer_at = math.inf  # clock time (ms) of the timer set for the next check; inf: none is set

    def schedule_check(self, now: float, state: RequestState, is_counted: bool) -> None:
        """Schedule the check of a first attempt, if it may be hedged and the check is due before the deadline.

        is_counted: whether the server has a count for the request's key.
        """
        if not self._may_hedge(state):
            return
        due = now + self.budget.on_first_attempt(state.request_class.latency_objective, is_counted)
        if due < state.deadline:
            heappush(self._checks, HedgeCheck(due, state.request.id))
            self._set_timer()

    def _may_hedge(self, state: RequestState) -> bool:
        if not self.fleet.settings.hedging_allowed or len(state.attempts) > 1:
            return False
        return state.request_class.idempotency != Idempotency.NOT_IDEMPOTENT and not state.request.single_use

    def _set_timer(self) -> None:
        if self._checks and self._checks[0].due < self._timer_at:
            self._timer_at = self._checks[0].due
            self.fleet.actions.append(SetTimer(self._timer_at, CHECK_HEDGES))

    def check(self, now: float) -> None:
        """Check the first attempts that are due."""
        if now < self._timer_at - TIMER_TOLERANCE_MS:
            return
        self._timer_at = math.inf
        while self._checks and self._checks[0].due <= now + TIMER_TOLERANCE_MS:
            due, request_id = heappop(self._checks)
            state = self.fleet.requests.get(request_id)
            if state is None or state.finished or len(state.attempts) > 1:
                continue
            if now - due > MAX_CHECK_LATENESS_MS:
                heappush(self._checks, HedgeCheck(now + MAX_CHECK_LATENESS_MS, request_id))
                continue
            attempt = state.attempts[0]
            if attempt is not None:
                self._check_attempt(now, state, attempt)
        self._set_timer()

    def _check_attempt(self, now: float, state: RequestState, attempt: AttemptRecord) -> None:
        server = self.fleet.servers[attempt.server]
        outliers = server.outliers
        # If the server has answered a later attempt, only this connection may be dead.
        if attempt.sent_at > outliers.last_answered_sent_at:
            self._record_no_response(now, server, attempt)
        state.is_loss_sample = outliers.last_response_at > attempt.sent_at
        if self._should_hedge(now, state, server, attempt):
            self._hedge(now, state, attempt)

    def _record_no_response(self, now: float, server: Server, attempt: AttemptRecord) -> None:
        """Record that a server has answered neither this attempt nor any later one."""
        load = self.load
        wait = max(load.expected_wait(now, server), now - attempt.sent_at)
        load.wait_estimates.on_wait(now, server.load, wait, False)
        self.gate.on_failure(now, server, AttemptResult.TIMEOUT, attempt.sent_at)
        zones = self.fleet.zones
        if zones and server.outliers.last_response_at < attempt.sent_at:
            zones.on_no_response(now, server.endpoint.zone, attempt.server, attempt.sent_at)

    def _should_hedge(self, now: float, state: RequestState, server: Server, attempt: AttemptRecord) -> bool:
        load = self.load
        draw = self.fleet.rng.random()
        if self.core.is_shedding:
            return False
        if load.wait_estimates.mean_wait > MAX_MEAN_WAIT_SHARE * state.request_class.latency_objective:
            return False
        expected_time = load.expected_service_time(state, server) + load.origin_throttle.typical_fetch_time
        overdue_ratio = (now - attempt.sent_at) / expected_time
        return self.budget.should_hedge(attempt.sent_at, server.outliers, state.hit_probability, overdue_ratio, draw)

    def _hedge(self, now: float, state: RequestState, attempt: AttemptRecord) -> None:
        """Send a second attempt to another server, if one is available."""
        state.failed_servers.append(attempt.server)
        key = state.request.key
        key_state = self.affinity.keys.get_or_add(now, key) if key else None
        server = self.choice.choose(now, state, key_state)
        if server is not None and self.gate.send(now, state, server):
            self.budget.tokens -= 1
            state.is_loss_sample = False
        else:
            state.failed_servers.remove(attempt.server)
