"""What all routers together send to cold servers, against the budget at which one falls over, and chance."""

from __future__ import annotations

import math
from bisect import bisect_right
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random

import pytest

from starlingthread import Balancer
from starlingthread.actions import Action, Send, SetTimer
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

WINDOW, FACTOR = 2000.0, 4.0  # ms in which a cold server falls, and at how many times what it can do
COLD_FROM, COLD_TIME = 0.15, 22000.0
PER_SERVER = 0.015  # requests a ms that a warm server can do
KEYS = 3000
POPULARITY = list(accumulate(1 / rank for rank in range(5, KEYS + 5)))
SETTINGS = Settings(
    classes=(RequestClass("read", Idempotency.IDEMPOTENT, latency_objective=1200.0, deadline=4000.0),),
    max_attempts=4,
    hedging_allowed=True,
    drain_grace=400.0,
    initial_capacity_share=COLD_FROM,
    slow_start_duration=COLD_TIME,
    overload_window=WINDOW,
    overload_factor=FACTOR,
)


class Fleet:
    """Routers under one clock, some of them five times as busy as the others. All that happens is drawn from a seed."""

    def __init__(self, routers: int, servers: int, load: float, seed: int) -> None:
        self.rng, self.now, self.ids = Random(seed), 1e6, count(1)
        self.load, self.settings = load, SETTINGS._replace(router_count=routers)
        self.members = [Endpoint(1000 + n * 7919, zone=n % 3) for n in range(servers)]
        self.due: list[tuple[float, int, object]] = []
        self.sends: list[tuple[float, int]] = []  # from routers that were told of the starts
        self.busy = list(accumulate(5.0 if n < max(1, routers // 10) else 1.0 for n in range(routers)))
        self.keys = list(range(1, KEYS + 1))
        self.told: set[int] = set()
        self.failing: set[int] = set()  # servers that fail what they get, so that it is sent again
        self.routers: list[Balancer] = []
        for number in range(routers):
            self.routers.append(self.new(number))

    def new(self, number: int) -> Balancer:
        """Return a router that begins with nothing but the list."""
        router = Balancer(self.settings._replace(router_index=number, zone=number % 3), self.rng.randrange(1 << 30))
        self.carry_out(number, router, router.start(self.now))
        self.carry_out(
            number, router, router.handle(self.now, EndpointList(EndpointListKind.FULL, 1, tuple(self.members)))
        )
        return router

    def later(self, span: float, what: object) -> None:
        heappush(self.due, (self.now + span, next(self.ids), what))

    def carry_out(self, number: int, router: Balancer, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                if number in self.told:
                    self.sends.append((self.now, action.server))
                attempt = len(router.fleet.requests[action.id].attempts) - 1
                result = AttemptResult.RESET if action.server in self.failing else AttemptResult.OK
                span = self.rng.expovariate(1 / 60.0)
                self.later(span, (number, router, action, attempt, result, span))
            elif isinstance(action, SetTimer):
                self.later(action.at - self.now, (number, router, action.label))

    def start_cold(self, servers: list[int]) -> None:
        """Let servers start anew; each router is told at a moment of its own."""
        self.members = [m._replace(started=self.now) if m.server in servers else m for m in self.members]
        for number in range(len(self.routers)):
            self.later(self.rng.uniform(0.0, 2000.0), number)

    def tell(self, number: int) -> None:
        self.told.add(number)
        listing = EndpointList(EndpointListKind.FULL, 2, tuple(self.members))
        self.carry_out(number, self.routers[number], self.routers[number].handle(self.now, listing))

    def restart(self, part: range) -> None:
        """Start some routers anew: each draws what it has saved up once more, and knows nothing of what it sent."""
        self.told.update(part)
        for number in part:
            self.routers[number] = self.new(number)

    def play(self, span: float, times: float = 1.0) -> None:
        """Let clients ask for a while, so many times as often as usual."""
        until, at = self.now + span, 0.0
        per_ms = PER_SERVER * len(self.members) * self.load * times
        while (at := at + self.rng.expovariate(per_ms)) < span:
            self.later(at, None)
        while self.due and self.due[0][0] < until:
            self.now, _, what = heappop(self.due)
            if what is None:
                number = self.rng.choices(range(len(self.routers)), cum_weights=self.busy)[0]
                key = self.keys[self.rng.choices(range(KEYS), cum_weights=POPULARITY)[0]]
                request = Request(next(self.ids), 0, 4000.0, key=key * 0x9E3779B97F4A7C15 % 2**64)
                self.carry_out(number, self.routers[number], self.routers[number].handle(self.now, request))
            elif isinstance(what, int):
                self.tell(what)
            elif isinstance(what, tuple) and self.routers[what[0]] is what[1]:
                number, router, *rest = what
                if len(rest) == 1:
                    event: Timer | Outcome = Timer(rest[0])
                else:
                    send, attempt, result, took = rest
                    event = Outcome(
                        send.id, attempt, send.server, result, took, result == AttemptResult.OK, CacheStatus.HIT
                    )
                self.carry_out(number, router, router.handle(self.now, event))
        self.now = until


def worst(fleet: Fleet, cold: list[int], began: float) -> float:
    """Return by how much a cold server got more than its budget and chance in any window, in requests."""
    most = -math.inf
    for server in cold:
        times = [at for at, to in fleet.sends if to == server]
        for last, at in enumerate(times):
            first = bisect_right(times, at - WINDOW)
            share = COLD_FROM + (1 - COLD_FROM) * (times[first] - began) / COLD_TIME
            budget = FACTOR * share * PER_SERVER * WINDOW
            most = max(most, last + 1 - first - (budget + 2 * math.sqrt(budget) + 2))
    return most


def played(routers: int, servers: int, load: float, seed: int) -> tuple[float, int]:
    """Play a third of the servers' start, with all that may add to what they get; return the worst and the sends."""
    fleet = Fleet(routers, servers, load, seed)
    fleet.play(4000.0)
    cold, began = [m.server for m in fleet.members[: servers // 3]], fleet.now
    fleet.start_cold(cold)
    for turn in range(5):
        fleet.rng.shuffle(fleet.keys)  # other keys are hot: all routers ask for them at once
        fleet.failing = {m.server for m in fleet.members if fleet.rng.random() < 0.1}
        fleet.restart(range(turn, routers, 5))
        fleet.play(1600.0, times=1.5 if turn % 2 else 1.0)
    return worst(fleet, cold, began), len([1 for _, server in fleet.sends if server in cold])


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("routers", "servers", "load"), [(3, 12, 0.8), (20, 20, 0.8), (30, 20, 0.8), (200, 30, 0.6)])
def test_no_cold_server_gets_more_than_its_budget_and_chance_from_all_together(
    routers: int, servers: int, load: float, seed: int
) -> None:
    over, sent = played(routers, servers, load, seed)
    assert over < 0.0
    assert sent > servers // 3  # they do get something
