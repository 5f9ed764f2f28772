"""Where a request goes first and next: fetches, retries, second copies."""

from __future__ import annotations

import math
from heapq import heappop, heappush

from ..actions import SetTimer
from ..events import NEVER_EXECUTED, AttemptResult
from ..limits.hedging import HedgeBudget
from ..settings import Idempotency
from ..state.records import Key, RequestState, Server
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

    def route(self, now: float, tracked: RequestState) -> None:
        """Send a request where its next attempt belongs, or give it up."""
        fleet, refusal, key = self.fleet, self.refusal, tracked.request.key
        if self._is_origin_work(tracked):
            if not (fleet.origin and self.attempts.send(now, tracked, fleet.origin)):
                refusal.give_up(now, tracked)
            return
        entry = self.affinity.entry(now, key) if key else None
        server = None if tracked.missed_servers else self.choice.choose(now, tracked, entry)
        if tracked.missed_servers or (server is None and not tracked.failed_servers):
            self._fetch(now, tracked, entry)
        elif (
            server is None
            or refusal.is_hopeless(now, tracked, server)
            or len(tracked.failed_servers) >= MAX_TURNED
            or (self.fleet.read_through and refusal.is_too_much(now, tracked))
        ):
            refusal.give_up(now, tracked)
        elif self.attempts.send(now, tracked, server):
            self._watch(now, tracked, tracked.owner_group < 0)
            if entry is not None:
                self.affinity.count(now, entry, server.endpoint.server, 1.0, 0.0)
        else:
            refusal.give_up(now, tracked)

    def go_on(self, now: float, tracked: RequestState, server: Server, result: AttemptResult) -> None:
        """Decide what follows an attempt that did not answer the client."""
        if result == AttemptResult.MISS:
            tracked.missed_servers.append(server.endpoint.server)
        elif (
            result not in (AttemptResult.ERROR, AttemptResult.RESET)
            or server.outliers.is_faulty
            or tracked.last_failed_server == server.endpoint.server
        ):
            tracked.failed_servers.append(server.endpoint.server)
        # One broken connection or spoilt answer is no reason to go where the key is not cached.
        tracked.last_failed_server = server.endpoint.server
        if server is self.fleet.origin and result in NEVER_EXECUTED and self._is_origin_work(tracked):
            self._wait(now, tracked)
        elif server is self.fleet.origin or (result == AttemptResult.ERROR and self.load.fetch_chance(tracked) > 0.5):
            self.refusal.give_up(now, tracked)  # no unguarded retries at the origin
        else:
            self.route(now, tracked)

    def _is_origin_work(self, tracked: RequestState) -> bool:
        return self.fleet.settings.mode == "aside" and (
            tracked.request.is_write or tracked.request_class.idempotency != Idempotency.IDEMPOTENT
        )

    def wake(self, now: float, number: int) -> None:
        """Go on with a held request, if it is time."""
        if (tracked := self.refusal.held.get(number)) and now >= tracked.resume_at - 0.01:
            del self.refusal.held[number]
            late = now >= tracked.deadline - EARLY - 0.01
            self.refusal.give_up(now, tracked) if late else self.route(now, tracked)

    # the origin

    def _fetch(self, now: float, tracked: RequestState, entry: Key | None) -> None:
        """Ask the origin for what the caches lack: once for each key, the rest wait for that answer."""
        origin = self.fleet.origin
        if self.fleet.settings.mode != "aside" or origin is None:
            self.refusal.give_up(now, tracked)
        elif entry is not None and entry.fetching_request not in (0, tracked.request.id) and tracked.missed_servers:
            entry.waiting.append(tracked)
            self.refusal.hold(tracked, tracked.deadline - EARLY)
        elif self.refusal.is_too_much(now, tracked) or not self.attempts.send(now, tracked, origin):
            self.refusal.give_up(now, tracked)
        elif entry is not None:
            entry.fetching_request = tracked.request.id
            for number in tracked.missed_servers[:2]:
                self.affinity.count(now, entry, number, 0.0, 1.0)

    def _wait(self, now: float, tracked: RequestState) -> None:
        """Let a write wait out a full origin, while there is time; guards against retries in step."""
        usual = self.load.throttle.typical_fetch_time
        pause = 2 * usual * (1 << tracked.origin_waits) * self.fleet.rng.uniform(0.5, 1.5)
        tracked.origin_waits += 1
        if tracked.origin_waits > MAX_WAITS or now + pause + usual > tracked.deadline:
            self.refusal.give_up(now, tracked)
        else:
            self.refusal.hold(tracked, now + pause)

    # second copies

    def _watch(self, now: float, tracked: RequestState, counted: bool) -> None:
        """Have a first attempt looked at again, if its answer might then be made up for."""
        if (
            not self.fleet.settings.hedging_allowed
            or len(tracked.attempts) > 1
            or (tracked.request_class.idempotency == Idempotency.NOT_IDEMPOTENT or tracked.request.single_use)
        ):
            return
        due = now + self.hedging.on_first_attempt(tracked.request_class.latency_objective, counted)
        if due < tracked.deadline:
            heappush(self.slow, (due, tracked.request.id))
            self._look_again()

    def _look_again(self) -> None:
        if self.slow and self.slow[0][0] < self.look_at:
            self.look_at = self.slow[0][0]
            self.fleet.actions.append(SetTimer(self.look_at, LOOK))

    def look(self, now: float) -> None:
        """Send second copies of what should have been answered by now.

        Where all are slow, more work would only add to it.
        """
        if now < self.look_at - 0.01:
            return
        self.look_at, load = math.inf, self.load
        while self.slow and self.slow[0][0] <= now + 0.01:
            tracked = self.fleet.requests.get(heappop(self.slow)[1])
            if tracked is None or tracked.finished or tracked.attempts_in_flight != 1 or len(tracked.attempts) > 1:
                continue
            number, sent_at, *_ = next(filter(None, tracked.attempts))
            first = self.fleet.servers[number]
            if sent_at > first.outliers.last_answered_sent_at:  # nothing sent later was: it is not the connection alone
                load.views.on_wait(now, first.load, max(load.lag(now, first), now - sent_at), False)
                self.attempts.failed(now, first, AttemptResult.TIMEOUT, sent_at)
                if self.fleet.zones and first.outliers.last_response_at < sent_at:
                    self.fleet.zones.on_no_response(now, first.endpoint.zone, number, sent_at)
            crowded = self.refusal.shedder.share or load.views.mean_wait > 0.4 * tracked.request_class.latency_objective
            tracked.checked_for_hedge = first.outliers.last_response_at > sent_at
            over = (now - sent_at) / (load.cost(tracked, first) + load.throttle.typical_fetch_time)
            draw = self.fleet.rng.random()
            if crowded or not self.hedging.is_worthwhile(sent_at, first.outliers, tracked.hit_probability, over, draw):
                continue
            tracked.failed_servers.append(number)
            key = tracked.request.key
            server = self.choice.choose(now, tracked, self.affinity.entry(now, key) if key else None)
            if server is not None and self.attempts.send(now, tracked, server):
                self.hedging.tokens, tracked.checked_for_hedge = self.hedging.tokens - 1, False
            else:
                tracked.failed_servers.remove(number)
        self._look_again()
