"""Carries out the steps that routing decides: sends attempts, makes requests wait, and rejects or fails them."""

from __future__ import annotations

from ..state.records import RequestState, Server
from .attempt_gate import AttemptGate
from .completion import Completion
from .hedging import Hedging
from .routing import FetchFromOrigin, NextStep, RejectOrFail, SendToCache, SendToOrigin, WaitForFetch, WaitForOrigin
from .waiting import WaitingRequests

# Number of servers that missed a key and are then assumed to store the fetched value.
MAX_FILLED_SERVERS = 2


class Dispatcher:
    """Carries out the next step of a request."""

    def __init__(
        self,
        gate: AttemptGate,
        hedging: Hedging,
        completion: Completion,
        waiting: WaitingRequests,
    ) -> None:
        self.gate = gate
        self.hedging = hedging
        self.completion = completion
        self.waiting = waiting

    def dispatch(self, now: float, state: RequestState, step: NextStep) -> None:
        """Carry out a step; a request whose attempt the gate does not allow is rejected or fails."""
        match step:
            case SendToCache():
                self._send_to_cache(now, state, step)
            case FetchFromOrigin():
                self._fetch(now, state, step)
            case SendToOrigin():
                self._send(now, state, step.origin)
            case WaitForFetch():
                step.key_state.waiting.append(state)
                self.waiting.add(state, step.until)
            case WaitForOrigin():
                self.waiting.add(state, step.until)
            case RejectOrFail():
                self.completion.reject_or_fail(now, state)

    def _send(self, now: float, state: RequestState, server: Server) -> bool:
        if self.gate.send(now, state, server):
            return True
        self.completion.reject_or_fail(now, state)
        return False

    def _send_to_cache(self, now: float, state: RequestState, step: SendToCache) -> None:
        if not self._send(now, state, step.server):
            return
        self.hedging.schedule_check(now, state, state.owner_group is None)
        if step.key_state is not None:
            step.key_state.count_request(now, step.server.endpoint.server)

    def _fetch(self, now: float, state: RequestState, step: FetchFromOrigin) -> None:
        key_state = step.key_state
        if not self._send(now, state, step.origin) or key_state is None:
            return
        key_state.fetching_request = state.request.id
        for number in state.missed_servers[:MAX_FILLED_SERVERS]:
            key_state.count_hit(now, number)
