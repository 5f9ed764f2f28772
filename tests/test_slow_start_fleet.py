"""What all routers together send to servers in slow start stays below the overload budget plus random variation."""

from __future__ import annotations

import math
from bisect import bisect_right
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random
from typing import NamedTuple

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

OVERLOAD_WINDOW_MS = 2000.0  # window over which a server in slow start is overloaded
OVERLOAD_FACTOR = 4.0  # a server in slow start fails at this multiple of its reduced capacity
INITIAL_CAPACITY_SHARE = 0.15
SLOW_START_DURATION_MS = 22000.0
CAPACITY_REQUESTS_PER_MS = 0.015  # full capacity of a server
MEAN_RESPONSE_TIME_MS = 60.0
MAX_NOTIFICATION_DELAY_MS = 2000.0  # longest time until a router is notified of a restarted server
DEADLINE_MS = 4000.0
KEYS = 3000
KEY_MULTIPLIER = 0x9E3779B97F4A7C15  # spreads small key numbers over 64 bits
POPULARITY = list(accumulate(1 / rank for rank in range(5, KEYS + 5)))
SETTINGS = Settings(
    classes=(RequestClass("read", Idempotency.IDEMPOTENT, latency_objective=1200.0, deadline=DEADLINE_MS),),
    max_attempts=4,
    hedging_allowed=True,
    drain_grace=400.0,
    initial_capacity_share=INITIAL_CAPACITY_SHARE,
    slow_start_duration=SLOW_START_DURATION_MS,
    overload_window=OVERLOAD_WINDOW_MS,
    overload_factor=OVERLOAD_FACTOR,
)


class RequestArrival(NamedTuple):
    """A client's request arrives at a random router."""


class ListArrival(NamedTuple):
    """The endpoint list with the restarted servers arrives at a router."""

    router_index: int


class TimerExpiry(NamedTuple):
    """A timer that a router set."""

    router_index: int
    router: Balancer
    label: int


class AttemptCompletion(NamedTuple):
    """The result of an attempt arrives at the router that sent it."""

    router_index: int
    router: Balancer
    send: Send
    attempt: int
    result: AttemptResult
    elapsed: float


ScheduledEvent = RequestArrival | ListArrival | TimerExpiry | AttemptCompletion


class Fleet:
    """A seeded simulation of routers with one clock; some routers get five times as many requests as the others."""

    def __init__(self, routers: int, servers: int, load: float, seed: int) -> None:
        """Start the routers; load is the offered load as a share of the servers' full capacity."""
        self.rng = Random(seed)
        self.now = 1e6
        self.ids = count(1)
        self.load = load
        self.settings = SETTINGS._replace(router_count=routers)
        self.endpoints = [Endpoint(1000 + n * 7919, zone=n % 3) for n in range(servers)]
        self.scheduled: list[tuple[float, int, ScheduledEvent]] = []
        self.sends: list[tuple[float, int]] = []  # attempts of routers that were notified of the restarts
        self.router_weights = list(accumulate(5.0 if n < max(1, routers // 10) else 1.0 for n in range(routers)))
        self.keys = list(range(1, KEYS + 1))
        self.notified_routers: set[int] = set()
        self.failing_servers: set[int] = set()  # servers that reset each attempt, so that it is retried
        self.routers: list[Balancer] = []
        for index in range(routers):
            self.routers.append(self._start_router(index))

    def restart_servers(self, servers: list[int]) -> None:
        """Restart servers; each router is notified after a random delay."""
        self.endpoints = [e._replace(started=self.now) if e.server in servers else e for e in self.endpoints]
        for index in range(len(self.routers)):
            self._schedule(self.rng.uniform(0.0, MAX_NOTIFICATION_DELAY_MS), ListArrival(index))

    def restart_routers(self, indexes: range) -> None:
        """Restart some routers; each has its initial tokens again and no record of its former attempts."""
        self.notified_routers.update(indexes)
        for index in indexes:
            self.routers[index] = self._start_router(index)

    def run(self, duration: float, rate_factor: float = 1.0) -> None:
        """Simulate clients' requests for a duration (ms), at a multiple of the usual rate."""
        until = self.now + duration
        per_ms = CAPACITY_REQUESTS_PER_MS * len(self.endpoints) * self.load * rate_factor
        delay = 0.0
        while (delay := delay + self.rng.expovariate(per_ms)) < duration:
            self._schedule(delay, RequestArrival())
        while self.scheduled and self.scheduled[0][0] < until:
            self.now, _, scheduled_event = heappop(self.scheduled)
            self._process(scheduled_event)
        self.now = until

    def _start_router(self, index: int) -> Balancer:
        """Return a new router that has received only the endpoint list."""
        router = Balancer(self.settings._replace(router_index=index, zone=index % 3), self.rng.randrange(1 << 30))
        self._apply_actions(index, router, router.start(self.now))
        endpoint_list = EndpointList(EndpointListKind.FULL, 1, tuple(self.endpoints))
        self._apply_actions(index, router, router.handle(self.now, endpoint_list))
        return router

    def _schedule(self, delay: float, scheduled_event: ScheduledEvent) -> None:
        heappush(self.scheduled, (self.now + delay, next(self.ids), scheduled_event))

    def _process(self, scheduled_event: ScheduledEvent) -> None:
        if isinstance(scheduled_event, RequestArrival):
            self._submit_request()
        elif isinstance(scheduled_event, ListArrival):
            self._notify_router(scheduled_event.router_index)
        elif self.routers[scheduled_event.router_index] is scheduled_event.router:
            # Events of a router that was restarted in the meantime are ignored.
            event = (
                Timer(scheduled_event.label)
                if isinstance(scheduled_event, TimerExpiry)
                else outcome_of(scheduled_event)
            )
            router = scheduled_event.router
            self._apply_actions(scheduled_event.router_index, router, router.handle(self.now, event))

    def _submit_request(self) -> None:
        index = self.rng.choices(range(len(self.routers)), cum_weights=self.router_weights)[0]
        key = self.keys[self.rng.choices(range(KEYS), cum_weights=POPULARITY)[0]]
        request = Request(next(self.ids), 0, DEADLINE_MS, key=key * KEY_MULTIPLIER % 2**64)
        self._apply_actions(index, self.routers[index], self.routers[index].handle(self.now, request))

    def _notify_router(self, index: int) -> None:
        self.notified_routers.add(index)
        endpoint_list = EndpointList(EndpointListKind.FULL, 2, tuple(self.endpoints))
        self._apply_actions(index, self.routers[index], self.routers[index].handle(self.now, endpoint_list))

    def _apply_actions(self, index: int, router: Balancer, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                if index in self.notified_routers:
                    self.sends.append((self.now, action.server))
                attempt = len(router.fleet.requests[action.id].attempts) - 1
                result = AttemptResult.RESET if action.server in self.failing_servers else AttemptResult.OK
                elapsed = self.rng.expovariate(1 / MEAN_RESPONSE_TIME_MS)
                self._schedule(elapsed, AttemptCompletion(index, router, action, attempt, result, elapsed))
            elif isinstance(action, SetTimer):
                self._schedule(action.at - self.now, TimerExpiry(index, router, action.label))


def outcome_of(completion: AttemptCompletion) -> Outcome:
    """Return the Outcome event of a completed attempt."""
    send = completion.send
    is_final = completion.result == AttemptResult.OK
    return Outcome(
        send.id, completion.attempt, send.server, completion.result, completion.elapsed, is_final, CacheStatus.HIT
    )


def greatest_excess(fleet: Fleet, restarted: list[int], restarted_at: float) -> float:
    """Return the most requests in any window that a server got above its budget and its random variation."""
    greatest = -math.inf
    for server in restarted:
        times = [at for at, sent_to in fleet.sends if sent_to == server]
        for last, at in enumerate(times):
            first = bisect_right(times, at - OVERLOAD_WINDOW_MS)
            age = times[first] - restarted_at
            share = INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * age / SLOW_START_DURATION_MS
            budget = OVERLOAD_FACTOR * share * CAPACITY_REQUESTS_PER_MS * OVERLOAD_WINDOW_MS
            greatest = max(greatest, last + 1 - first - (budget + 2 * math.sqrt(budget) + 2))
    return greatest


def run_slow_start(routers: int, servers: int, load: float, seed: int) -> tuple[float, int]:
    """Simulate the restart of a third of the servers, with changing hot keys, retries and router restarts.

    Return the greatest excess over the budget, and the number of requests that the restarted servers got.
    """
    fleet = Fleet(routers, servers, load, seed)
    fleet.run(4000.0)
    restarted = [endpoint.server for endpoint in fleet.endpoints[: servers // 3]]
    restarted_at = fleet.now
    fleet.restart_servers(restarted)
    for phase in range(5):
        fleet.rng.shuffle(fleet.keys)  # other keys become hot, and all routers request them at once
        fleet.failing_servers = {e.server for e in fleet.endpoints if fleet.rng.random() < 0.1}
        fleet.restart_routers(range(phase, routers, 5))
        fleet.run(1600.0, rate_factor=1.5 if phase % 2 else 1.0)
    sent_to_restarted = len([1 for _, server in fleet.sends if server in restarted])
    return greatest_excess(fleet, restarted, restarted_at), sent_to_restarted


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("routers", "servers", "load"), [(3, 12, 0.8), (20, 20, 0.8), (30, 20, 0.8), (200, 30, 0.6)])
def test_no_server_in_slow_start_gets_more_than_its_budget_and_chance_from_all_routers_together(
    routers: int, servers: int, load: float, seed: int
) -> None:
    """Retries, changed hot keys and restarted routers do not raise the sum above the budget; some requests arrive."""
    excess, sent = run_slow_start(routers, servers, load, seed)
    assert excess < 0.0
    assert sent > servers // 3  # the restarted servers do get requests


def greatest_excess_of_a_late_burst(routers: int, seed: int, idle_ms: float) -> tuple[float, int]:
    """Let all routers accumulate tokens for a server in slow start, then let each request many keys at once.

    Return the greatest excess over the budget, and the number of requests that the server got.
    """
    fleet = Fleet(routers, 30, 0.8, seed)
    fleet.run(4000.0)
    restarted = [fleet.endpoints[0].server]
    restarted_at = fleet.now
    fleet.restart_servers(restarted)
    all_keys, fleet.keys = fleet.keys, [1] * KEYS  # no client requests the keys of the restarted server
    fleet.run(idle_ms)
    fleet.keys = all_keys
    for index in range(routers):
        for _ in range(10):
            key = fleet.rng.randrange(KEYS) + 1
            request = Request(next(fleet.ids), 0, DEADLINE_MS, key=key * KEY_MULTIPLIER % 2**64)
            fleet._apply_actions(index, fleet.routers[index], fleet.routers[index].handle(fleet.now, request))
    fleet.run(1000.0)
    return greatest_excess(fleet, restarted, restarted_at), sum(server in restarted for _, server in fleet.sends)


@pytest.mark.parametrize("idle_ms", [6000.0, 12000.0, 18000.0])
@pytest.mark.parametrize("routers", [200, 400])
def test_tokens_saved_up_by_hundreds_of_routers_do_not_add_up_to_an_overload(routers: int, idle_ms: float) -> None:
    """Each router may save one token, earned by the requests that it serves, so few routers have one at a time."""
    excess, _ = greatest_excess_of_a_late_burst(routers, 1, idle_ms)
    assert excess < 0.0
