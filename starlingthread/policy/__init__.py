"""All decisions of one balancer. The types it takes and gives are in starlingthread/interface.py.
Parts: load, affinity (counts), choice, attempts (the gate to the wire), refusal, retries (and second copies).
"""

from __future__ import annotations

import math

from ..interface import (
    Action,
    Event,
    FirstByte,
    ListKind,
    Maintenance,
    MemberList,
    Note,
    Outcome,
    PeerMessage,
    ProbeResult,
    Request,
    Result,
    Retuned,
    SetTimer,
    Settings,
    Timer,
    Watch,
    Withdrawn,
)
from ..limits.feedback import adjust_limits
from ..state.fleet import Fleet
from ..state.records import Server, Tracked
from .affinity import Affinity
from .attempts import Attempts
from .choice import Choice
from .load import LoadEstimate
from .refusal import Refusal
from .retries import LOOK, Retries

ASK_BACK_OFF = 500.0  # ms; first pause after a failed call for the list, doubled each time, jittered
MAX_ASK_DOUBLED = 1  # times that it is doubled: a refused call between two pauses is over within 6 s
ASK = 0  # timer label; that of a held request is 1 + its id


class Balancer:
    """Every read a cache serves goes to the server with the least (load + expected cost) / affinity."""

    choice_part: type[Choice] = Choice  # lab/ sets others beside them
    load_part: type[LoadEstimate] = LoadEstimate

    def __init__(self, settings: Settings, seed: int) -> None:
        self.fleet = Fleet(settings, seed)
        self.load = self.load_part(self.fleet)
        self.affinity, self.attempts = Affinity(self.load), Attempts(self.load)
        self.choice = self.choice_part(self.affinity, self.attempts)
        self.refusal = Refusal(self.affinity, self.attempts)
        self.retries = Retries(self.choice, self.refusal)
        self.ask_fails, self.subscribed = 0, not settings.must_ask

    def start(self, now: float) -> list[Action]:
        """Begin: where the list must be asked for, do so at a random moment, that a fleet is no herd."""
        self.load.pace.begin(now)
        if self.fleet.set.must_ask:
            self._ask_at(now + self.fleet.rng.uniform(0, self.fleet.set.ask_within * 0.3))
        return self._flush()

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in one event and return the actions it calls for."""
        if isinstance(event, Request):
            self._on_request(now, event)
        elif isinstance(event, Outcome):
            self._on_outcome(now, event)
        elif isinstance(event, MemberList):
            self._on_list(now, event)
        elif isinstance(event, Timer):
            self._on_timer(now, event.label)
        elif isinstance(event, Withdrawn):
            if tracked := self.fleet.live.get(event.id):
                self.refusal.close(now, tracked)
        elif isinstance(event, FirstByte):
            if tracked := self.fleet.live.get(event.id):
                tracked.streaming = True
        elif isinstance(event, ProbeResult):
            if server := self.fleet.servers.get(event.server):
                self.load.hear(now, server, event.report)
        elif isinstance(event, Maintenance):
            self.fleet.maintain(now, event)
        elif isinstance(event, Retuned):
            self.fleet.tune(event.settings)
            self.load.tune()
            self.fleet.sort_out()
        elif not isinstance(event, PeerMessage):
            raise TypeError(f"not an event: {event!r}")
        return self._flush()

    def _flush(self) -> list[Action]:
        done, self.fleet.todo = self.fleet.todo, []
        return done

    def avoided(self, now: float) -> list[int]:
        """Return the listed servers that are left out now, by operators or by choice."""
        return [
            n
            for n, s in self.fleet.servers.items()
            if not s.unavailable and (n in self.fleet.in_maintenance or s.outliers.ejected_until > now)
        ]

    def _ask_at(self, at: float) -> None:
        self.fleet.todo.append(SetTimer(at, ASK))

    def _on_list(self, now: float, event: MemberList) -> None:
        if event.kind == ListKind.FAILED:
            self.subscribed = not self.fleet.set.must_ask
            if self.fleet.set.must_ask:
                doubled = float(1 << min(self.ask_fails, MAX_ASK_DOUBLED))
                self._ask_at(now + ASK_BACK_OFF * doubled * self.fleet.rng.uniform(0.5, 1.5))
                self.ask_fails += 1
            return
        if event.kind != ListKind.CACHED:
            self.subscribed, self.ask_fails = True, 0
        self.fleet.listed(now, event)

    def _on_timer(self, now: float, label: int) -> None:
        if label == LOOK:
            self.retries.look(now)
        elif label != ASK:
            self.retries.wake(now, label - 1)
        elif not self.subscribed:
            self.fleet.todo.append(Watch(True))

    def _on_request(self, now: float, req: Request) -> None:
        fleet = self.fleet
        if req.id in fleet.live or not 0 <= req.cls < len(fleet.set.classes):
            return
        cls = fleet.set.classes[req.cls]
        tracked = Tracked(req, cls, now, self.load.work[cls.name].expected(req.cost))
        fleet.live[req.id] = tracked
        if len(fleet.live) >= fleet.set.max_open or self.refusal.is_beyond_us(now, tracked):
            self.refusal.give_up(now, tracked)
        else:
            self.retries.route(now, tracked)

    def _on_outcome(self, now: float, event: Outcome) -> None:
        tracked = self.fleet.live.get(event.id)
        if tracked is None or (over := self.attempts.over(tracked, event)) is None:
            return
        number, sent_at, cost, out, fetch = over
        server, result = self.fleet.servers[number], event.result
        load, hedging = self.load, self.retries.hedging
        load.hear(now, server, event.report)
        self._learn(now, tracked, server, event, cost)
        usual = load.throttle.usual if server.outliers.heard(now, sent_at, result) else math.inf
        if self.fleet.zones:
            self.fleet.zones.ended(now, server.line.zone, server.line.server, result, sent_at)
        if not hedging.lost(result, sent_at, server.outliers):
            adjust_limits(server.limit, load.fetches, event, out, fetch, cost, tracked.cls.aim, usual)
        load.fetches.over(fetch)
        if tracked.looked:
            hedging.ended(result, tracked.chance)
        if event.ended or tracked.ended:
            self.refusal.close(now, tracked)
        elif tracked.out == 0:
            self.retries.go_on(now, tracked, server, result)

    def _learn(self, now: float, tracked: Tracked, server: Server, event: Outcome, cost: float) -> None:
        """Take from an outcome what it tells of the server, the origin, the class and the key."""
        result, sent_at = event.result, now - event.elapsed
        failed = self.load.waited(now, tracked, server, event, cost)
        if result in (Result.CONNECT_FAILED, Result.RESET, Result.ERROR, Result.TIMEOUT):
            self.attempts.failed(now, server, result, sent_at)
        elif result in (Result.OK, Result.MISS):
            server.outliers.well(sent_at)
        if server is self.fleet.origin:
            return self.load.throttle.answered(now, result, event.elapsed)
        if result == Result.OK:
            self.load.served(now, tracked, server, event)
        if tracked.req.key and (failed or result in (Result.OK, Result.MISS)):
            hit = result == Result.OK and event.note != Note.MISS
            if tracked.role >= 0:
                prior = self.affinity.prior
                prior[tracked.role] += (hit - prior[tracked.role]) * 0.05
            entry = self.affinity.entry(now, tracked.req.key)
            self.affinity.count(now, entry, server.line.server, -1.0 if failed else 0.0, 1.0 if hit else -1.0)
