"""An independent checker of the four rules, based on events and actions alone and not on the module's state."""

from __future__ import annotations

from dataclasses import dataclass, field

from starlingthread.actions import Action, Cancel, Fail, Reject, Send
from starlingthread.events import (
    NEVER_EXECUTED,
    EndpointList,
    EndpointListKind,
    Event,
    Outcome,
    Request,
    RequestCancelled,
    ServerState,
)
from starlingthread.settings import Idempotency, Settings


@dataclass
class Attempt:
    """An attempt that the module sent."""

    server: int
    sent_at: float
    in_flight: bool = True
    never_executed: bool = False


@dataclass
class RequestHistory:
    """A request with its attempts and its number of answers."""

    request: Request
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    is_over: bool = False
    answers: int = 0


class RuleChecker:
    """Asserts the rules on the events passed to the decision module and on the resulting actions."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.requests: dict[int, RequestHistory] = {}
        self.unavailable_since: dict[int, float] = {}
        self.location: dict[int, tuple[int, int]] = {}

    def observe_event(self, now: float, event: Event) -> None:
        """Record an event before the module handles it."""
        if isinstance(event, Request):
            self.requests[event.id] = RequestHistory(event, now + event.budget)
        elif isinstance(event, Outcome):
            history = self.requests[event.id]
            attempt = history.attempts[event.attempt]
            attempt.in_flight = False
            attempt.never_executed = event.result in NEVER_EXECUTED
            if event.request_finished and not history.is_over:
                history.is_over = True
                history.answers += 1
        elif isinstance(event, RequestCancelled):
            self.requests[event.id].is_over = True
        elif isinstance(event, EndpointList) and event.kind != EndpointListKind.FAILED:
            listed = {endpoint.server for endpoint in event.endpoints}
            if event.kind != EndpointListKind.DELTA:
                for server in self.location:
                    if server not in listed:
                        self.unavailable_since.setdefault(server, now)
            for endpoint in event.endpoints:
                self.location[endpoint.server] = (endpoint.zone, endpoint.cell)
                if endpoint.state == ServerState.READY:
                    self.unavailable_since.pop(endpoint.server, None)
                else:
                    self.unavailable_since.setdefault(endpoint.server, now)

    def check_actions(self, now: float, actions: list[Action]) -> None:
        """Assert that the actions resulting from an event keep the rules."""
        for action in actions:
            if isinstance(action, Send):
                self._check_send(now, action)
            elif isinstance(action, Reject | Fail):
                self._check_answer(now, action)
            elif isinstance(action, Cancel):
                assert self.settings.can_cancel
                assert action.attempt < len(self.requests[action.id].attempts)

    def _check_send(self, now: float, send: Send) -> None:
        history = self.requests[send.id]
        idempotency = self.settings.classes[history.request.class_index].idempotency
        assert not history.is_over, "sent for a request that is over"
        assert now < history.deadline, "sent after the deadline"
        assert len(history.attempts) < self.settings.max_attempts, "too many attempts"
        assert send.server in self.location, "sent to a server that no endpoint list contained"
        assert now <= self.unavailable_since.get(send.server, now) + self.settings.drain_grace, (
            "sent to a draining server after its grace"
        )
        if not self.settings.hedging_allowed or idempotency == Idempotency.NOT_IDEMPOTENT:
            assert not any(a.in_flight for a in history.attempts), "two attempts at once"
        possible_executions = [a for a in history.attempts if a.in_flight or not a.never_executed]
        if idempotency == Idempotency.NOT_IDEMPOTENT:
            assert not possible_executions, "a non-idempotent request was sent again"
        elif idempotency == Idempotency.IDEMPOTENCY_KEY and possible_executions:
            request_class = self.settings.classes[history.request.class_index]
            assert now - possible_executions[0].sent_at < request_class.idempotency_window, (
                "sent after the idempotency window"
            )
            if request_class.deduplication_scope != "all":
                location_index = 0 if request_class.deduplication_scope == "zone" else 1
                assert (
                    self.location[possible_executions[0].server][location_index]
                    == self.location[send.server][location_index]
                ), "left the deduplication scope"
        history.attempts.append(Attempt(send.server, now))

    def _check_answer(self, now: float, action: Reject | Fail) -> None:
        history = self.requests[action.id]
        assert not history.is_over, "a second answer"
        history.is_over = True
        history.answers += 1
        assert now <= history.deadline + self.settings.answer_slack, "answered too late"
        if isinstance(action, Reject):
            request_class = self.settings.classes[history.request.class_index]
            possible_executions = any(a.in_flight or not a.never_executed for a in history.attempts)
            if request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
                assert not possible_executions, "rejected a non-idempotent request that may have been executed"
            elif request_class.idempotency == Idempotency.IDEMPOTENCY_KEY and possible_executions:
                assert request_class.deduplication_scope == "all", (
                    "rejected a keyed request that may have been executed"
                )

    def check_all_answered(self) -> None:
        """Assert that each request got an answer, and no more than one."""
        for history in self.requests.values():
            assert history.is_over, f"request {history.request.id} was never answered"
            assert history.answers <= 1
