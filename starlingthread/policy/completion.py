"""Completion of requests: rejects, fails and removes them, and resumes the requests that waited for their fetch."""

from __future__ import annotations

from ..actions import Cancel, Fail, Reject
from ..balance.rendezvous import HASH_MASK, mix
from ..settings import Idempotency
from ..state.records import RequestState
from .affinity import Affinity
from .attempt_gate import AttemptGate
from .waiting import WaitingRequests

# Mean Retry-After of a rejection as a share of the latency objective; the retry can still be in time.
RETRY_AFTER_SHARE = 0.2


class Completion:
    """Rejects, fails and closes requests."""

    def __init__(self, affinity: Affinity, gate: AttemptGate, waiting: WaitingRequests) -> None:
        self.affinity = affinity
        self.gate = gate
        self.fleet = affinity.fleet
        self.waiting = waiting

    def reject_or_fail(self, now: float, state: RequestState) -> None:
        """Answer a request that cannot be served: reject it if the client may safely retry it, else fail it."""
        if self._is_safe_to_retry(now, state):
            self.fleet.actions.append(Reject(state.request.id, self._retry_after(state)))
        else:
            self.fleet.actions.append(Fail(state.request.id))
        self.close(now, state)

    def _is_safe_to_retry(self, now: float, state: RequestState) -> bool:
        request_class = state.request_class
        if request_class.idempotency == Idempotency.IDEMPOTENT:
            return True
        if not state.possible_executions:
            return state.attempts_in_flight == 0
        return (
            request_class.idempotency == Idempotency.IDEMPOTENCY_KEY
            and request_class.deduplication_scope == "all"
            and now - state.possible_executions[0].sent_at < request_class.idempotency_window
        )

    def _retry_after(self, state: RequestState) -> float:
        """Return the Retry-After (ms), varied by the request's id so that clients do not retry at the same time."""
        spread = 0.5 + mix(state.request.id) / HASH_MASK
        retry_after = RETRY_AFTER_SHARE * state.request_class.latency_objective * spread
        return min(self.fleet.settings.max_retry_after, retry_after)

    def close(self, now: float, state: RequestState) -> None:
        """Mark a request as finished, and remove its state once its last attempt has ended."""
        if not state.finished:
            state.finished = True
            self.waiting.remove(state.request.id)
            self._cancel_attempts(state)
        if state.attempts_in_flight == 0:
            self.fleet.requests.pop(state.request.id, None)
            self.fleet.executions.close(now, state.request.identity, self.fleet.retention)
        self._resume_fetch_waiters(now, state)

    def _cancel_attempts(self, state: RequestState) -> None:
        if not self.fleet.settings.can_cancel or state.streaming:
            return
        for number, attempt in enumerate(state.attempts):
            if attempt is not None:
                self.fleet.actions.append(Cancel(state.request.id, number))

    def _resume_fetch_waiters(self, now: float, state: RequestState) -> None:
        """Send the requests that waited for this request's fetch to the server where the value was stored."""
        key_state = self.affinity.keys.get(state.request.key)
        if key_state is None or key_state.fetching_request != state.request.id:
            return
        key_state.fetching_request = 0
        waiters = key_state.waiting
        key_state.waiting = []
        for waiter in waiters:
            if not self.waiting.remove(waiter.request.id):
                continue
            server = self.fleet.servers[waiter.missed_servers[0]]
            if not self.gate.send(now, waiter, server):
                self.reject_or_fail(now, waiter)
