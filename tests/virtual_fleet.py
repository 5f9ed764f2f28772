"""Servers under one clock: several instances of the module, servers of some cores, clients that ask again."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random
from typing import NamedTuple

from starlingthread import Balancer
from starlingthread.actions import Action, Reject, Send, SetTimer
from starlingthread.events import (
    AttemptResult,
    CacheStatus,
    Endpoint,
    EndpointList,
    EndpointListKind,
    Outcome,
    Request,
    Timer,
)
from starlingthread.settings import Idempotency, RequestClass, Settings

READ = RequestClass("read", Idempotency.IDEMPOTENT, latency_objective=1000.0, deadline=2000.0)
SETTINGS = Settings(
    classes=(READ,),
    router_count=3,
    max_attempts=5,
    hedging_allowed=True,
    max_retry_after=800.0,
    drain_grace=2500.0,
    initial_capacity_share=0.13,
    slow_start_duration=23000.0,
    overload_factor=3.0,
    overload_window=1000.0,
)
HOP = 1.0  # ms to a server that turns a request away, and back


class Server:
    """Cores that work side by side, a short queue, and 'full' beyond it. A cold one is slower."""

    def __init__(self, cores: int, work: float, queue: int) -> None:
        self.cores, self.work_ms, self.queue_length = cores, work, queue
        self.slowdown, self.started = 1.0, 0.0
        self.core_free_at = [0.0] * cores  # when each core has done what it has
        self.in_progress = 0
        self.received: list[tuple[float, float]] = []  # when, and the work in ms of a core

    def capacity_share(self, now: float) -> float:
        age = max(0.0, now - self.started)
        return (
            1.0
            if not self.started or age > SETTINGS.slow_start_duration
            else (
                SETTINGS.initial_capacity_share
                + (1 - SETTINGS.initial_capacity_share) * age / SETTINGS.slow_start_duration
            )
        )

    def accept(self, now: float, size: float) -> float | None:
        """Take a request in; return when it is answered, or None if it is turned away."""
        self.received.append((now, self.work_ms * size))
        if self.in_progress >= self.cores + self.queue_length:
            return None
        at = max(now, min(self.core_free_at))
        done = at + self.work_ms * size * self.slowdown / self.capacity_share(now)
        self.core_free_at[self.core_free_at.index(min(self.core_free_at))] = done
        self.in_progress += 1
        return done

    def peak_overload(self, window: float) -> float:
        """Return the greatest multiple of what it could do while cold that came within a window."""
        most, within, last = 0.0, 0.0, 0
        for number, (at, work) in enumerate(self.received):
            within += work
            while self.received[last][0] <= at - window:
                within -= self.received[last][1]
                last += 1
            if (
                self.started
                and self.received[last][0] >= self.started
                and self.capacity_share(at) < 1
                and number >= last
            ):
                most = max(most, within / (window * self.cores * self.capacity_share(at - window / 2)))
        return most


class Asked(NamedTuple):
    """What a client wants, over its tries."""

    began: float
    key: int
    size: float
    tries: int


class VirtualFleet:
    """Clients ask; whoever is refused, or has waited for 1.3 s, asks again twice at most."""

    def __init__(self, servers: list[Server], settings: Settings = SETTINGS, seed: int = 1, kinds: int = 1) -> None:
        self.servers, self.rng, self.now, self.ids = dict(enumerate(servers, 1)), Random(seed), 1e6, count(1)
        self.routers = [
            Balancer(settings._replace(router_index=n), seed * 100 + n) for n in range(settings.router_count)
        ]
        self.endpoints = [Endpoint(n, kind=n % kinds) for n in self.servers]
        self.scheduled: list[tuple[float, int, object]] = []
        self.requests: dict[int, Asked] = {}
        self.open_requests: set[int] = set()
        self.results: list[tuple[float, str]] = []
        self.popularity = list(accumulate(1 / (5 + rank) for rank in range(400)))
        self.rejected = 0
        for router in self.routers:
            self._carry_out(router, router.start(self.now))
        self.publish_endpoints()

    def publish_endpoints(self) -> None:
        for router in self.routers:
            self._carry_out(
                router, router.handle(self.now, EndpointList(EndpointListKind.FULL, 1, tuple(self.endpoints)))
            )

    def restart(self, number: int) -> None:
        """Let a server start anew, cold; all are told at once."""
        self.servers[number].started = self.now
        self.endpoints = [m._replace(started=self.now) if m.server == number else m for m in self.endpoints]
        self.publish_endpoints()

    def _later(self, at: float, what: object) -> None:
        heappush(self.scheduled, (at, next(self.ids), what))

    def _ask(self, asked: Asked) -> None:
        number, router = next(self.ids), self.rng.choice(self.routers)
        self.requests[number] = asked
        self.open_requests.add(number)
        self._carry_out(
            router,
            router.handle(
                self.now, Request(number, 0, 1300.0, key=asked.key * 0x9E3779B97F4A7C15 % 2**64, cost_hint=asked.size)
            ),
        )

    def _carry_out(self, router: Balancer, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                attempt = len(router.fleet.requests[action.id].attempts) - 1
                server = self.servers[action.server]
                done = server.accept(self.now, self.requests[action.id].size)
                self.rejected += done is None
                late = done is not None and done - self.now > 1300.0
                if done is None or late:
                    result, at = (
                        (AttemptResult.TIMEOUT, self.now + 1300.0) if late else (AttemptResult.FULL, self.now + HOP)
                    )
                else:
                    result, at = AttemptResult.OK, done + HOP
                if done is not None:
                    self._later(done, server)
                self._later(at, (router, action, attempt, result, self.now))
            elif isinstance(action, Reject):
                self._over(action.id, "refused", action.retry_after)
            elif isinstance(action, SetTimer):
                self._later(action.at, (router, action.label))

    def _over(self, number: int, how: str, pause: float = 0.0) -> None:
        if number not in self.open_requests:
            return
        self.open_requests.remove(number)
        asked = self.requests[number]
        if how != "served" and asked.tries < 2 and self.now + pause - asked.began < READ.deadline:
            self._later(self.now + max(pause, 84.0), asked._replace(tries=asked.tries + 1))
        elif how == "served" and self.now - asked.began > READ.latency_objective:
            self.results.append((self.now, "late"))
        else:
            self.results.append((self.now, how))

    def play(self, span: float, per_second: float) -> dict[str, int]:
        """Let clients ask for a while (ms); return how requests ended in it."""
        until, first = self.now + span, len(self.results)
        at = self.now
        while (at := at + self.rng.expovariate(per_second / 1000.0)) < until:
            key = self.rng.choices(range(1, 401), cum_weights=self.popularity)[0]
            self._later(at, Asked(at, key, self.rng.lognormvariate(-0.3, 0.8), 0))
        while self.scheduled and self.scheduled[0][0] < until:
            self.now, _, what = heappop(self.scheduled)
            if isinstance(what, Asked):
                self._ask(what)
            elif isinstance(what, Server):
                what.in_progress -= 1
            elif isinstance(what, tuple) and len(what) == 2:
                self._carry_out(what[0], what[0].handle(self.now, Timer(what[1])))
            elif isinstance(what, tuple):
                self._answer(*what)
        self.now = until
        ends = [how for _, how in self.results[first:]]
        return {how: ends.count(how) for how in ("served", "late", "refused")}

    def _answer(self, router: Balancer, send: Send, attempt: int, result: AttemptResult, sent_at: float) -> None:
        served = result == AttemptResult.OK
        ended = served or result == AttemptResult.TIMEOUT or send.id not in self.open_requests
        if ended:
            self._over(send.id, "served" if served else "late")
        self._carry_out(
            router,
            router.handle(
                self.now,
                Outcome(
                    send.id,
                    attempt,
                    send.server,
                    result,
                    self.now - sent_at,
                    ended,
                    CacheStatus.HIT if served else CacheStatus.NONE,
                ),
            ),
        )
