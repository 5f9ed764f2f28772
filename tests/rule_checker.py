"""An independent checker of the rules: it sees only events and actions, never the module's state."""

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
    """A request, its attempts and its answers."""

    request: Request
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    is_over: bool = False
    answers: int = 0


class RuleChecker:
    """Asserts the rules on the events that go into the module and the actions that come out."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.requests: dict[int, RequestHistory] = {}
        self.unavailable_since: dict[int, float] = {}
        self.location: dict[int, tuple[int, int]] = {}

    def observe_event(self, now: float, event: Event) -> None:
        """Take in an event before the module handles it."""
        if isinstance(event, Request):
            self.requests[event.id] = RequestHistory(event, now + event.budget)
        elif isinstance(event, Outcome):
            seen = self.requests[event.id]
            attempt = seen.attempts[event.attempt]
            attempt.in_flight = False
            attempt.never_executed = event.result in NEVER_EXECUTED
            if event.request_finished and not seen.is_over:
                seen.is_over = True
                seen.answers += 1
        elif isinstance(event, RequestCancelled):
            self.requests[event.id].is_over = True
        elif isinstance(event, EndpointList) and event.kind != EndpointListKind.FAILED:
            listed = {m.server for m in event.endpoints}
            if event.kind != EndpointListKind.DELTA:
                for server in self.location:
                    if server not in listed:
                        self.unavailable_since.setdefault(server, now)
            for m in event.endpoints:
                self.location[m.server] = (m.zone, m.cell)
                if m.state == ServerState.READY:
                    self.unavailable_since.pop(m.server, None)
                else:
                    self.unavailable_since.setdefault(m.server, now)

    def check_actions(self, now: float, actions: list[Action]) -> None:
        """Check the actions that an event called for."""
        for action in actions:
            if isinstance(action, Send):
                self._check_send(now, action)
            elif isinstance(action, Reject | Fail):
                self._check_answer(now, action)
            elif isinstance(action, Cancel):
                assert self.settings.can_cancel
                assert action.attempt < len(self.requests[action.id].attempts)

    def _check_send(self, now: float, send: Send) -> None:
        seen = self.requests[send.id]
        idempotency = self.settings.classes[seen.request.class_index].idempotency
        assert not seen.is_over, "sent for a request that is over"
        assert now < seen.deadline, "sent after the deadline"
        assert len(seen.attempts) < self.settings.max_attempts, "too many attempts"
        assert send.server in self.location, "sent to a server that no list named"
        assert now <= self.unavailable_since.get(send.server, now) + self.settings.drain_grace, (
            "sent to a draining server after its grace"
        )
        if not self.settings.hedging_allowed or idempotency == Idempotency.NOT_IDEMPOTENT:
            assert not any(a.in_flight for a in seen.attempts), "two attempts at once"
        possible_executions = [a for a in seen.attempts if a.in_flight or not a.never_executed]
        if idempotency == Idempotency.NOT_IDEMPOTENT:
            assert not possible_executions, "a not idempotent request was sent again"
        elif idempotency == Idempotency.IDEMPOTENCY_KEY and possible_executions:
            cls = self.settings.classes[seen.request.class_index]
            assert now - possible_executions[0].sent_at < cls.idempotency_window, "sent after the idempotency window"
            if cls.deduplication_scope != "all":
                part = 0 if cls.deduplication_scope == "zone" else 1
                assert self.location[possible_executions[0].server][part] == self.location[send.server][part], (
                    "left the deduplication scope"
                )
        seen.attempts.append(Attempt(send.server, now))

    def _check_answer(self, now: float, action: Reject | Fail) -> None:
        seen = self.requests[action.id]
        assert not seen.is_over, "a second answer"
        seen.is_over = True
        seen.answers += 1
        assert now <= seen.deadline + self.settings.answer_slack, "answered too late"
        if isinstance(action, Reject):
            cls = self.settings.classes[seen.request.class_index]
            possible_executions = any(a.in_flight or not a.never_executed for a in seen.attempts)
            if cls.idempotency == Idempotency.NOT_IDEMPOTENT:
                assert not possible_executions, "rejected a not idempotent request that may have been executed"
            elif cls.idempotency == Idempotency.IDEMPOTENCY_KEY and possible_executions:
                assert cls.deduplication_scope == "all", "rejected a keyed request that may have been executed"

    def check_all_answered(self) -> None:
        """Check that each request got one answer."""
        for seen in self.requests.values():
            assert seen.is_over, f"request {seen.request.id} was never answered"
            assert seen.answers <= 1
