"""A simulated fleet with one clock: several routers, servers with several cores each, and clients that retry."""

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
ROUND_TRIP_MS = 1.0  # network round trip between a router and a server
CLIENT_TIMEOUT_MS = 1300.0  # time-out of a client's request and of each attempt
MIN_CLIENT_BACKOFF_MS = 84.0
MAX_CLIENT_RETRIES = 2
KEYS = 400
KEY_MULTIPLIER = 0x9E3779B97F4A7C15  # spreads small key numbers over 64 bits


class ReceivedRequest(NamedTuple):
    """A request that reached a server, accepted or not: its time, and its work in ms of one core."""

    at: float
    work_ms: float


class Server:
    """A server with several cores and a short queue; it rejects further requests. Slow start reduces its capacity."""

    def __init__(self, cores: int, work_ms: float, queue_length: int) -> None:
        """Create a server that started long ago; work_ms is the core time of a request of size 1."""
        self.cores = cores
        self.work_ms = work_ms
        self.queue_length = queue_length
        self.slowdown = 1.0
        self.started = 0.0
        self.core_free_at = [0.0] * cores  # clock time at which each core has finished its assigned work
        self.in_progress = 0
        self.received: list[ReceivedRequest] = []

    def capacity_share(self, now: float) -> float:
        """Return the share of its full capacity that the server has reached in its slow start."""
        age = max(0.0, now - self.started)
        if not self.started or age > SETTINGS.slow_start_duration:
            return 1.0
        initial = SETTINGS.initial_capacity_share
        return initial + (1 - initial) * age / SETTINGS.slow_start_duration

    def accept(self, now: float, size: float) -> float | None:
        """Accept a request; return the time at which it is complete, or None if it is rejected."""
        self.received.append(ReceivedRequest(now, self.work_ms * size))
        if self.in_progress >= self.cores + self.queue_length:
            return None
        first_free = min(self.core_free_at)
        completes_at = max(now, first_free) + self.work_ms * size * self.slowdown / self.capacity_share(now)
        self.core_free_at[self.core_free_at.index(first_free)] = completes_at
        self.in_progress += 1
        return completes_at

    def peak_overload(self, window: float) -> float:
        """Return the greatest ratio of received work to the capacity in slow start, in any window (ms)."""
        peak = 0.0
        work_in_window = 0.0
        first = 0
        for index, request in enumerate(self.received):
            work_in_window += request.work_ms
            while self.received[first].at <= request.at - window:
                work_in_window -= self.received[first].work_ms
                first += 1
            since_restart = self.started and self.received[first].at >= self.started
            if since_restart and self.capacity_share(request.at) < 1 and index >= first:
                capacity = window * self.cores * self.capacity_share(request.at - window / 2)
                peak = max(peak, work_in_window / capacity)
        return peak


class ClientRequest(NamedTuple):
    """A client's request, with the number of its retries so far."""

    began_at: float
    key: int
    size: float
    retries: int


class ScheduledTimer(NamedTuple):
    """A timer that a router set."""

    router: Balancer
    label: int


class AttemptCompletion(NamedTuple):
    """The result of an attempt, to be delivered to the router that sent it."""

    router: Balancer
    send: Send
    attempt: int
    result: AttemptResult
    sent_at: float


class RequestResult(NamedTuple):
    """The result of a client's request: served, late or rejected."""

    at: float
    status: str


class VirtualFleet:
    """Simulates clients, routers and servers.

    A client whose request is rejected or times out retries at most MAX_CLIENT_RETRIES times.
    """

    def __init__(self, servers: list[Server], settings: Settings = SETTINGS, seed: int = 1, kinds: int = 1) -> None:
        """Start the routers with the full endpoint list; the servers' machine kinds alternate."""
        self.servers = dict(enumerate(servers, 1))
        self.rng = Random(seed)
        self.now = 1e6
        self.ids = count(1)
        self.routers = [
            Balancer(settings._replace(router_index=index), seed * 100 + index)
            for index in range(settings.router_count)
        ]
        self.endpoints = [Endpoint(number, kind=number % kinds) for number in self.servers]
        self.scheduled: list[tuple[float, int, object]] = []
        self.requests: dict[int, ClientRequest] = {}
        self.open_requests: set[int] = set()
        self.results: list[RequestResult] = []
        self.popularity = list(accumulate(1 / (5 + rank) for rank in range(KEYS)))
        self.rejected = 0
        for router in self.routers:
            self._apply_actions(router, router.start(self.now))
        self.publish_endpoints()

    def publish_endpoints(self) -> None:
        """Send the full endpoint list to all routers."""
        endpoint_list = EndpointList(EndpointListKind.FULL, 1, tuple(self.endpoints))
        for router in self.routers:
            self._apply_actions(router, router.handle(self.now, endpoint_list))

    def restart(self, number: int) -> None:
        """Restart a server, which begins its slow start; all routers are notified immediately."""
        self.servers[number].started = self.now
        self.endpoints = [e._replace(started=self.now) if e.server == number else e for e in self.endpoints]
        self.publish_endpoints()

    def run(self, duration: float, per_second: float) -> dict[str, int]:
        """Simulate clients' requests for a duration (ms); return how many requests ended in that time, by status."""
        until = self.now + duration
        results_before = len(self.results)
        self._schedule_requests(until, per_second)
        while self.scheduled and self.scheduled[0][0] < until:
            self.now, _, item = heappop(self.scheduled)
            self._process(item)
        self.now = until
        statuses = [result.status for result in self.results[results_before:]]
        return {status: statuses.count(status) for status in ("served", "late", "rejected")}

    def _schedule(self, at: float, item: object) -> None:
        heappush(self.scheduled, (at, next(self.ids), item))

    def _schedule_requests(self, until: float, per_second: float) -> None:
        at = self.now
        while (at := at + self.rng.expovariate(per_second / 1000.0)) < until:
            key = self.rng.choices(range(1, KEYS + 1), cum_weights=self.popularity)[0]
            self._schedule(at, ClientRequest(at, key, self.rng.lognormvariate(-0.3, 0.8), 0))

    def _process(self, item: object) -> None:
        if isinstance(item, ClientRequest):
            self._submit(item)
        elif isinstance(item, Server):
            item.in_progress -= 1
        elif isinstance(item, ScheduledTimer):
            self._apply_actions(item.router, item.router.handle(self.now, Timer(item.label)))
        elif isinstance(item, AttemptCompletion):
            self._complete_attempt(item)

    def _submit(self, client_request: ClientRequest) -> None:
        number = next(self.ids)
        router = self.rng.choice(self.routers)
        self.requests[number] = client_request
        self.open_requests.add(number)
        key = client_request.key * KEY_MULTIPLIER % 2**64
        request = Request(number, 0, CLIENT_TIMEOUT_MS, key=key, cost_hint=client_request.size)
        self._apply_actions(router, router.handle(self.now, request))

    def _apply_actions(self, router: Balancer, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(router, action)
            elif isinstance(action, Reject):
                self._finish(action.id, "rejected", action.retry_after)
            elif isinstance(action, SetTimer):
                self._schedule(action.at, ScheduledTimer(router, action.label))

    def _send(self, router: Balancer, send: Send) -> None:
        attempt = len(router.fleet.requests[send.id].attempts) - 1
        server = self.servers[send.server]
        completes_at = server.accept(self.now, self.requests[send.id].size)
        if completes_at is None:
            self.rejected += 1
            result = AttemptResult.FULL
            result_at = self.now + ROUND_TRIP_MS
        else:
            self._schedule(completes_at, server)
            if completes_at - self.now > CLIENT_TIMEOUT_MS:
                result = AttemptResult.TIMEOUT
                result_at = self.now + CLIENT_TIMEOUT_MS
            else:
                result = AttemptResult.OK
                result_at = completes_at + ROUND_TRIP_MS
        self._schedule(result_at, AttemptCompletion(router, send, attempt, result, self.now))

    def _complete_attempt(self, completion: AttemptCompletion) -> None:
        send = completion.send
        served = completion.result == AttemptResult.OK
        is_final = served or completion.result == AttemptResult.TIMEOUT or send.id not in self.open_requests
        if is_final:
            self._finish(send.id, "served" if served else "late")
        outcome = Outcome(
            send.id,
            completion.attempt,
            send.server,
            completion.result,
            self.now - completion.sent_at,
            is_final,
            CacheStatus.HIT if served else CacheStatus.NONE,
        )
        self._apply_actions(completion.router, completion.router.handle(self.now, outcome))

    def _finish(self, number: int, status: str, retry_after: float = 0.0) -> None:
        """End a request: schedule the client's retry, or record the result."""
        if number not in self.open_requests:
            return
        self.open_requests.remove(number)
        request = self.requests[number]
        in_time = self.now + retry_after - request.began_at < READ.deadline
        if status != "served" and request.retries < MAX_CLIENT_RETRIES and in_time:
            retry = request._replace(retries=request.retries + 1)
            self._schedule(self.now + max(retry_after, MIN_CLIENT_BACKOFF_MS), retry)
        elif status == "served" and self.now - request.began_at > READ.latency_objective:
            self.results.append(RequestResult(self.now, "late"))
        else:
            self.results.append(RequestResult(self.now, status))
