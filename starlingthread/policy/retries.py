"""Where a request goes first and next: fetches, retries, second copies."""

from __future__ import annotations

import math
from heapq import heappop, heappush

from ..interface import NEVER_RAN, Effect, Result, SetTimer
from ..limits.hedging import HedgeBudget
from ..state.records import Key, Server, Tracked
from .choice import Choice
from .refusal import Refusal

MAX_TURNED = 3  # servers that may fail a request before it is given up; more only adds to a crowd
MAX_WAITS = 2  # times that a write waits for a full origin before it is given up
EARLY = 5.0  # ms; a held request is answered this long before its client gives up
LOOK = 1 << 60  # timer label


class Retries:
    """Routes requests, and decides what follows an attempt."""

    def __init__(self, choice: Choice, refusal: Refusal) -> None:
        self.choice, self.refusal, self.hedging = choice, refusal, HedgeBudget()
        self.fleet, self.load, self.affinity, self.attempts = (
            choice.fleet,
            choice.load,
            choice.affinity,
            choice.attempts,
        )
        self.slow: list[tuple[float, int]] = []  # a heap: when to look if a request is still out, and its id
        self.look_at = math.inf  # when the next of these looks is due

    def route(self, now: float, tracked: Tracked) -> None:
        """Send a request where its next attempt belongs, or give it up."""
        fleet, refusal, key = self.fleet, self.refusal, tracked.req.key
        if self._is_origin_work(tracked):
            if not (fleet.origin and self.attempts.send(now, tracked, fleet.origin)):
                refusal.give_up(now, tracked)
            return
        entry = self.affinity.entry(now, key) if key else None
        server = None if tracked.missed else self.choice.choose(now, tracked, entry)
        if tracked.missed or (server is None and not tracked.bad):
            self._fetch(now, tracked, entry)
        elif (
            server is None
            or refusal.is_hopeless(now, tracked, server)
            or len(tracked.bad) >= MAX_TURNED
            or (self.fleet.through and refusal.is_too_much(now, tracked))
        ):
            refusal.give_up(now, tracked)
        elif self.attempts.send(now, tracked, server):
            self._watch(now, tracked, tracked.role < 0)
            if entry is not None:
                self.affinity.count(now, entry, server.line.server, 1.0, 0.0)
        else:
            refusal.give_up(now, tracked)

    def go_on(self, now: float, tracked: Tracked, server: Server, result: Result) -> None:
        """Decide what follows an attempt that did not answer the client."""
        if result == Result.MISS:
            tracked.missed.append(server.line.server)
        elif (
            result not in (Result.ERROR, Result.RESET)
            or server.outliers.spoilt
            or tracked.failed_on == server.line.server
        ):
            tracked.bad.append(server.line.server)
        # One broken connection or spoilt answer is no reason to go where the key is not cached.
        tracked.failed_on = server.line.server
        if server is self.fleet.origin and result in NEVER_RAN and self._is_origin_work(tracked):
            self._wait(now, tracked)
        elif server is self.fleet.origin or (result == Result.ERROR and self.load.fetch_chance(tracked) > 0.5):
            self.refusal.give_up(now, tracked)  # no unguarded retries at the origin
        else:
            self.route(now, tracked)

    def _is_origin_work(self, tracked: Tracked) -> bool:
        return self.fleet.set.mode == "aside" and (tracked.req.is_write or tracked.cls.effect != Effect.REPEATABLE)

    def wake(self, now: float, number: int) -> None:
        """Go on with a held request, if it is time."""
        if (tracked := self.refusal.held.get(number)) and now >= tracked.wake - 0.01:
            del self.refusal.held[number]
            late = now >= tracked.deadline - EARLY - 0.01
            self.refusal.give_up(now, tracked) if late else self.route(now, tracked)

    # the origin

    def _fetch(self, now: float, tracked: Tracked, entry: Key | None) -> None:
        """Ask the origin for what the caches lack: once for each key, the rest wait for that answer."""
        origin = self.fleet.origin
        if self.fleet.set.mode != "aside" or origin is None:
            self.refusal.give_up(now, tracked)
        elif entry is not None and entry.fetcher not in (0, tracked.req.id) and tracked.missed:
            entry.waiting.append(tracked)
            self.refusal.hold(tracked, tracked.deadline - EARLY)
        elif self.refusal.is_too_much(now, tracked) or not self.attempts.send(now, tracked, origin):
            self.refusal.give_up(now, tracked)
        elif entry is not None:
            entry.fetcher = tracked.req.id
            for number in tracked.missed[:2]:
                self.affinity.count(now, entry, number, 0.0, 1.0)

    def _wait(self, now: float, tracked: Tracked) -> None:
        """Let a write wait out a full origin, while there is time; guards against retries in step."""
        usual = self.load.throttle.usual
        pause = 2 * usual * (1 << tracked.waits) * self.fleet.rng.uniform(0.5, 1.5)
        tracked.waits += 1
        if tracked.waits > MAX_WAITS or now + pause + usual > tracked.deadline:
            self.refusal.give_up(now, tracked)
        else:
            self.refusal.hold(tracked, now + pause)

    # second copies

    def _watch(self, now: float, tracked: Tracked, counted: bool) -> None:
        """Have a first attempt looked at again, if its answer might then be made up for."""
        if (
            not self.fleet.set.second_copies
            or len(tracked.tries) > 1
            or (tracked.cls.effect == Effect.UNSAFE or tracked.req.single)
        ):
            return
        due = now + self.hedging.sent(tracked.cls.aim, counted)
        if due < tracked.deadline:
            heappush(self.slow, (due, tracked.req.id))
            self._look_again()

    def _look_again(self) -> None:
        if self.slow and self.slow[0][0] < self.look_at:
            self.look_at = self.slow[0][0]
            self.fleet.todo.append(SetTimer(self.look_at, LOOK))

    def look(self, now: float) -> None:
        """Send second copies of what should have been answered by now.

        Where all are slow, more work would only add to it.
        """
        if now < self.look_at - 0.01:
            return
        self.look_at, load = math.inf, self.load
        while self.slow and self.slow[0][0] <= now + 0.01:
            tracked = self.fleet.live.get(heappop(self.slow)[1])
            if tracked is None or tracked.ended or tracked.out != 1 or len(tracked.tries) > 1:
                continue
            number, sent_at, *_ = next(filter(None, tracked.tries))
            first = self.fleet.servers[number]
            if sent_at > first.outliers.answered:  # nothing sent later was: it is not the connection alone
                load.views.met(now, first.seen, max(load.lag(now, first), now - sent_at), False)
                self.attempts.failed(now, first, Result.TIMEOUT, sent_at)
                if self.fleet.zones and first.outliers.heard_at < sent_at:
                    self.fleet.zones.owes(now, first.line.zone, number, sent_at)
            crowded = self.refusal.shedder.shed or load.views.mean_lag > 0.4 * tracked.cls.aim
            tracked.looked = first.outliers.heard_at > sent_at
            over = (now - sent_at) / (load.cost(tracked, first) + load.throttle.usual)
            draw = self.fleet.rng.random()
            if crowded or not self.hedging.pays(sent_at, first.outliers, tracked.chance, over, draw):
                continue
            tracked.bad.append(number)
            key = tracked.req.key
            server = self.choice.choose(now, tracked, self.affinity.entry(now, key) if key else None)
            if server is not None and self.attempts.send(now, tracked, server):
                self.hedging.saved, tracked.looked = self.hedging.saved - 1, False
            else:
                tracked.bad.remove(number)
        self._look_again()
