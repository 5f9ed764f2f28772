"""An independent checker of the rules: it sees only events and actions, never the module's state."""

from __future__ import annotations

from dataclasses import dataclass, field

from starlingthread.interface import (
    NEVER_RAN,
    Action,
    Cancel,
    Effect,
    Event,
    Fail,
    ListKind,
    MemberList,
    Outcome,
    Refuse,
    Request,
    Send,
    ServerState,
    Settings,
    Withdrawn,
)


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
            attempt.out, attempt.never_ran = False, event.result in NEVER_RAN
            if event.ended and not seen.over:
                seen.over = True
                seen.answers += 1
        elif isinstance(event, Withdrawn):
            self.seen[event.id].over = True
        elif isinstance(event, MemberList) and event.kind != ListKind.FAILED:
            named = {m.server for m in event.members}
            if event.kind != ListKind.DELTA:
                for server in self.place:
                    if server not in named:
                        self.shut_at.setdefault(server, now)
            for m in event.members:
                self.place[m.server] = (m.zone, m.cell)
                if m.state == ServerState.READY:
                    self.shut_at.pop(m.server, None)
                else:
                    self.shut_at.setdefault(m.server, now)

    def actions(self, now: float, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(now, action)
            elif isinstance(action, Refuse | Fail):
                self._answer(now, action)
            elif isinstance(action, Cancel):
                assert self.set.can_cancel
                assert action.attempt < len(self.seen[action.id].attempts)

    def _send(self, now: float, send: Send) -> None:
        seen = self.seen[send.id]
        effect = self.set.classes[seen.req.cls].effect
        assert not seen.over, "sent for a request that is over"
        assert now < seen.deadline, "sent after the deadline"
        assert len(seen.attempts) < self.set.max_attempts, "too many attempts"
        assert send.server in self.place, "sent to a server that no list named"
        assert now <= self.shut_at.get(send.server, now) + self.set.drain_grace, "drain not kept"
        if not self.set.second_copies or effect == Effect.UNSAFE:
            assert not any(a.out for a in seen.attempts), "two attempts at once"
        risky = [a for a in seen.attempts if a.out or not a.never_ran]
        if effect == Effect.UNSAFE:
            assert not risky, "an unsafe request went out again"
        elif effect == Effect.KEYED and risky:
            cls = self.set.classes[seen.req.cls]
            assert now - risky[0].at < cls.memory_span, "sent past the memory of repeats"
            if cls.group != "all":
                part = 0 if cls.group == "zone" else 1
                assert self.place[risky[0].server][part] == self.place[send.server][part], "left the group"
        seen.attempts.append(Attempt(send.server, now))

    def _answer(self, now: float, action: Refuse | Fail) -> None:
        seen = self.seen[action.id]
        assert not seen.over, "a second answer"
        seen.over = True
        seen.answers += 1
        assert now <= seen.deadline + self.set.answer_slack, "answered too late"
        if isinstance(action, Refuse):
            cls = self.set.classes[seen.req.cls]
            risky = any(a.out or not a.never_ran for a in seen.attempts)
            if cls.effect == Effect.UNSAFE:
                assert not risky, "refused an unsafe request that may have run"
            elif cls.effect == Effect.KEYED and risky:
                assert cls.group == "all", "refused a keyed request that may have run"

    def all_answered(self) -> None:
        for seen in self.seen.values():
            assert seen.over, f"request {seen.req.id} was never answered"
            assert seen.answers <= 1
