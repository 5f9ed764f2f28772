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
    server: int
    at: float
    out: bool = True
    never_ran: bool = False


@dataclass
class Seen:
    req: Request
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False
    answers: int = 0


class Checker:
    """Feed it what goes in and out; it asserts."""

    def __init__(self, settings: Settings) -> None:
        self.set = settings
        self.seen: dict[int, Seen] = {}
        self.shut_at: dict[int, float] = {}
        self.place: dict[int, tuple[int, int]] = {}

    def event(self, now: float, event: Event) -> None:
        if isinstance(event, Request):
            self.seen[event.id] = Seen(event, now + event.budget)
        elif isinstance(event, Outcome):
            seen = self.seen[event.id]
            attempt = seen.attempts[event.attempt]
            attempt.out, attempt.never_ran = False, event.result in NEVER_EXECUTED
            if event.request_finished and not seen.over:
                seen.over = True
                seen.answers += 1
        elif isinstance(event, RequestCancelled):
            self.seen[event.id].over = True
        elif isinstance(event, EndpointList) and event.kind != EndpointListKind.FAILED:
            named = {m.server for m in event.endpoints}
            if event.kind != EndpointListKind.DELTA:
                for server in self.place:
                    if server not in named:
                        self.shut_at.setdefault(server, now)
            for m in event.endpoints:
                self.place[m.server] = (m.zone, m.cell)
                if m.state == ServerState.READY:
                    self.shut_at.pop(m.server, None)
                else:
                    self.shut_at.setdefault(m.server, now)

    def actions(self, now: float, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(now, action)
            elif isinstance(action, Reject | Fail):
                self._answer(now, action)
            elif isinstance(action, Cancel):
                assert self.set.can_cancel
                assert action.attempt < len(self.seen[action.id].attempts)

    def _send(self, now: float, send: Send) -> None:
        seen = self.seen[send.id]
        effect = self.set.classes[seen.req.class_index].idempotency
        assert not seen.over, "sent for a request that is over"
        assert now < seen.deadline, "sent after the deadline"
        assert len(seen.attempts) < self.set.max_attempts, "too many attempts"
        assert send.server in self.place, "sent to a server that no list named"
        assert now <= self.shut_at.get(send.server, now) + self.set.drain_grace, "drain not kept"
        if not self.set.hedging_allowed or effect == Idempotency.NOT_IDEMPOTENT:
            assert not any(a.out for a in seen.attempts), "two attempts at once"
        risky = [a for a in seen.attempts if a.out or not a.never_ran]
        if effect == Idempotency.NOT_IDEMPOTENT:
            assert not risky, "an unsafe request went out again"
        elif effect == Idempotency.IDEMPOTENCY_KEY and risky:
            cls = self.set.classes[seen.req.class_index]
            assert now - risky[0].at < cls.idempotency_window, "sent past the memory of repeats"
            if cls.deduplication_scope != "all":
                part = 0 if cls.deduplication_scope == "zone" else 1
                assert self.place[risky[0].server][part] == self.place[send.server][part], "left the group"
        seen.attempts.append(Attempt(send.server, now))

    def _answer(self, now: float, action: Reject | Fail) -> None:
        seen = self.seen[action.id]
        assert not seen.over, "a second answer"
        seen.over = True
        seen.answers += 1
        assert now <= seen.deadline + self.set.answer_slack, "answered too late"
        if isinstance(action, Reject):
            cls = self.set.classes[seen.req.class_index]
            risky = any(a.out or not a.never_ran for a in seen.attempts)
            if cls.idempotency == Idempotency.NOT_IDEMPOTENT:
                assert not risky, "refused an unsafe request that may have run"
            elif cls.idempotency == Idempotency.IDEMPOTENCY_KEY and risky:
                assert cls.deduplication_scope == "all", "refused a keyed request that may have run"

    def all_answered(self) -> None:
        for seen in self.seen.values():
            assert seen.over, f"request {seen.req.id} was never answered"
            assert seen.answers <= 1
