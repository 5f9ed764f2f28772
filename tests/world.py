"""A hand-driven balancer: tests say what happens, the checker watches every step."""

from __future__ import annotations

from starlingthread import Balancer
from starlingthread.interface import (
    Action,
    Effect,
    Event,
    Fail,
    ListKind,
    Member,
    MemberList,
    Note,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    SetTimer,
    Settings,
    Timer,
)

from .checker import Checker

READ, KEYED, UNSAFE = 0, 1, 2
ORIGIN = 99
CLASSES = (
    RequestClass("read", Effect.REPEATABLE, aim=500.0, deadline=1000.0),
    RequestClass("keyed", Effect.KEYED, aim=500.0, deadline=2000.0, worth=5.0, memory_span=1500.0),
    RequestClass("unsafe", Effect.UNSAFE, aim=500.0, deadline=2000.0, worth=5.0),
)
ASIDE = Settings(
    classes=CLASSES,
    mode="aside",
    origin_kind=3,
    balancers=4,
    max_attempts=4,
    can_cancel=True,
    drain_grace=500.0,
    answer_slack=20.0,
    cold_from=0.3,
    cold_time=8000.0,
    report_fields=("util", "inflight"),
    report_how="piggyback",
)
THROUGH = ASIDE._replace(mode="through", origin_kind=-1)
COPIES = THROUGH._replace(second_copies=True)


def members(count: int = 4, *, zones: int = 1, started: float = 0.0) -> tuple[Member, ...]:
    """Return some cache servers and the origin."""
    caches = tuple(Member(n, zone=n % zones, started=started) for n in range(1, count + 1))
    return (*caches, Member(ORIGIN, kind=3))


class World:
    """One balancer under test, and the clock."""

    def __init__(self, settings: Settings = ASIDE, fleet: tuple[Member, ...] | None = None, seed: int = 1):
        self.set = settings
        self.checker = Checker(settings)
        self.balancer = Balancer(settings, seed)
        self.now = 1000.0
        self.next_id = 1
        self.timers: list[SetTimer] = []
        self._note(self.balancer.start(self.now))
        lines = members() if fleet is None else fleet
        if settings.mode == "through":
            lines = tuple(m for m in lines if m.server != ORIGIN)
        self.do(MemberList(ListKind.FULL, 1, lines))

    def _note(self, actions: list[Action]) -> list[Action]:
        self.checker.actions(self.now, actions)
        self.timers += [a for a in actions if isinstance(a, SetTimer)]
        return actions

    def do(self, event: Event) -> list[Action]:
        """Let one event happen now."""
        self.checker.event(self.now, event)
        return self._note(self.balancer.handle(self.now, event))

    def ask(self, key: int = 7, cls: int = READ, budget: float = 1000.0, cost: float = 40.0) -> list[Action]:
        """Let a client ask; its id is next_id - 1 afterwards."""
        self.next_id += 1
        write = cls != READ
        return self.do(Request(self.next_id - 1, cls, budget, key=key, cost=cost, is_write=write))

    def end(
        self, send: Send, result: Result, attempt: int = 0, *, elapsed: float = 30.0, report: tuple[float, ...] = ()
    ) -> list[Action]:
        """End an attempt."""
        seen = self.checker.seen[send.id]
        ended = seen.over or result == Result.OK
        return self.do(Outcome(send.id, attempt, send.server, result, elapsed, ended, report=report))

    def finish(self, send: Send, elapsed: float) -> None:
        """Let an attempt be served as a hit in so many ms."""
        self.do(Outcome(send.id, 0, send.server, Result.OK, elapsed, True, Note.HIT))

    def read(self, key: int = 7) -> int:
        """Let a read be asked for and served; return the server."""
        send = only_send(self.ask(key))
        self.now += 30
        self.end(send, Result.OK)
        return send.server

    def pass_time(self, span: float) -> list[Action]:
        """Let time pass, with the timers that come due."""
        until, done = self.now + span, []
        while due := [t for t in self.timers if t.at <= until]:
            first = min(due, key=lambda t: t.at)
            self.timers.remove(first)
            self.now = max(self.now, first.at)
            done += self.do(Timer(first.label))
        self.now = until
        return done


def sends(actions: list[Action]) -> list[Send]:
    """Return the Sends among some actions."""
    return [a for a in actions if isinstance(a, Send)]


def only_send(actions: list[Action]) -> Send:
    """Return the one Send among some actions."""
    (send,) = sends(actions)
    return send


def answers(actions: list[Action]) -> list[Refuse | Fail]:
    """Return the final answers among some actions."""
    return [a for a in actions if isinstance(a, Refuse | Fail)]


def late_reads(world: World, count: int, elapsed: float) -> None:
    """Let some reads of many keys be answered after a long wait."""
    for key in range(count):
        world.now += 20.0
        for send in sends(world.ask(1000 + key, cost=0.0)):
            world.end(send, Result.OK, elapsed=elapsed)


def warmed_up(world: World) -> int:
    """Let one key be read until its owner is counted and second copies are saved up; return the owner."""
    return [world.read(7) for _ in range(40)][-1]


def fetch_many(world: World, count: int, result: Result, took: float = 60.0) -> None:
    """Let reads of keys that are cached nowhere end in some way."""
    for _ in range(count):
        world.now += 20.0
        for send in sends(world.ask(100000 + int(world.now))):
            world.do(
                Outcome(
                    send.id,
                    0,
                    send.server,
                    result,
                    took,
                    result == Result.OK,
                    note=Note.MISS if result == Result.OK else Note.NONE,
                )
            )
