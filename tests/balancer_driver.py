"""Driver for tests of the decision module: the tests supply events and time, and a rule checker verifies each step."""

from __future__ import annotations

from starlingthread import Balancer
from starlingthread.actions import Action, Fail, Reject, Send, SetTimer
from starlingthread.events import (
    AttemptResult,
    CacheStatus,
    Endpoint,
    EndpointList,
    EndpointListKind,
    Event,
    Outcome,
    Request,
    Timer,
)
from starlingthread.settings import Idempotency, RequestClass, Settings

from .rule_checker import RuleChecker

READ, IDEMPOTENCY_KEY, NOT_IDEMPOTENT = 0, 1, 2
ORIGIN = 99
CLASSES = (
    RequestClass("read", Idempotency.IDEMPOTENT, latency_objective=500.0, deadline=1000.0),
    RequestClass(
        "keyed",
        Idempotency.IDEMPOTENCY_KEY,
        latency_objective=500.0,
        deadline=2000.0,
        priority_weight=5.0,
        idempotency_window=1500.0,
    ),
    RequestClass("unsafe", Idempotency.NOT_IDEMPOTENT, latency_objective=500.0, deadline=2000.0, priority_weight=5.0),
)
ASIDE = Settings(
    classes=CLASSES,
    mode="aside",
    origin_kind=3,
    router_count=4,
    max_attempts=4,
    can_cancel=True,
    drain_grace=500.0,
    answer_slack=20.0,
    initial_capacity_share=0.3,
    slow_start_duration=8000.0,
    load_report_fields=("util", "inflight"),
    load_report_delivery="piggyback",
)
THROUGH = ASIDE._replace(mode="through", origin_kind=-1)
HEDGED = THROUGH._replace(hedging_allowed=True)


def make_endpoints(count: int = 4, *, zones: int = 1, started: float = 0.0) -> tuple[Endpoint, ...]:
    """Return the endpoints of count cache servers and of the origin."""
    caches = tuple(Endpoint(n, zone=n % zones, started=started) for n in range(1, count + 1))
    return (*caches, Endpoint(ORIGIN, kind=3))


class BalancerDriver:
    """One balancer under test, with its clock, its timers and a rule checker."""

    def __init__(self, settings: Settings = ASIDE, endpoints: tuple[Endpoint, ...] | None = None, seed: int = 1):
        self.settings = settings
        self.checker = RuleChecker(settings)
        self.balancer = Balancer(settings, seed)
        self.now = 1000.0
        self.next_id = 1
        self.timers: list[SetTimer] = []
        self._record_actions(self.balancer.start(self.now))
        listed = make_endpoints() if endpoints is None else endpoints
        if settings.mode == "through":
            listed = tuple(endpoint for endpoint in listed if endpoint.server != ORIGIN)
        self.handle_event(EndpointList(EndpointListKind.FULL, 1, listed))

    def _record_actions(self, actions: list[Action]) -> list[Action]:
        self.checker.check_actions(self.now, actions)
        self.timers += [a for a in actions if isinstance(a, SetTimer)]
        return actions

    def handle_event(self, event: Event) -> list[Action]:
        """Pass an event to the balancer at the current time, and return its actions."""
        self.checker.observe_event(self.now, event)
        return self._record_actions(self.balancer.handle(self.now, event))

    def submit_request(
        self, key: int = 7, class_index: int = READ, budget: float = 1000.0, cost: float = 40.0
    ) -> list[Action]:
        """Submit a client's request, whose id is next_id - 1 afterwards, and return the actions."""
        self.next_id += 1
        is_write = class_index != READ
        return self.handle_event(
            Request(self.next_id - 1, class_index, budget, key=key, cost_hint=cost, is_write=is_write)
        )

    def end_attempt(
        self,
        send: Send,
        result: AttemptResult,
        attempt: int = 0,
        *,
        elapsed: float = 30.0,
        report: tuple[float, ...] = (),
    ) -> list[Action]:
        """Report the outcome of an attempt, and return the actions."""
        history = self.checker.requests[send.id]
        finished = history.is_over or result == AttemptResult.OK
        return self.handle_event(Outcome(send.id, attempt, send.server, result, elapsed, finished, load_report=report))

    def complete_as_hit(self, send: Send, elapsed: float) -> None:
        """Report that a request's first attempt was served as a cache hit in elapsed ms."""
        self.handle_event(Outcome(send.id, 0, send.server, AttemptResult.OK, elapsed, True, CacheStatus.HIT))

    def read(self, key: int = 7) -> int:
        """Submit a read that is served after 30 ms; return its server."""
        send = only_send(self.submit_request(key))
        self.now += 30
        self.end_attempt(send, AttemptResult.OK)
        return send.server

    def advance_time(self, span: float) -> list[Action]:
        """Advance the clock by span ms, fire the timers that are due, and return the actions."""
        until, actions = self.now + span, []
        while due := [t for t in self.timers if t.at <= until]:
            first = min(due, key=lambda t: t.at)
            self.timers.remove(first)
            self.now = max(self.now, first.at)
            actions += self.handle_event(Timer(first.label))
        self.now = until
        return actions


def sends(actions: list[Action]) -> list[Send]:
    """Return the Send actions among actions."""
    return [a for a in actions if isinstance(a, Send)]


def only_send(actions: list[Action]) -> Send:
    """Return the only Send among actions; fail if there is none, or more than one."""
    (send,) = sends(actions)
    return send


def answers(actions: list[Action]) -> list[Reject | Fail]:
    """Return the final answers among actions."""
    return [a for a in actions if isinstance(a, Reject | Fail)]


def serve_reads(driver: BalancerDriver, count: int, elapsed: float) -> None:
    """Submit reads of count different keys, each answered after elapsed ms."""
    for key in range(count):
        driver.now += 20.0
        for send in sends(driver.submit_request(1000 + key, cost=0.0)):
            driver.end_attempt(send, AttemptResult.OK, elapsed=elapsed)


def warm_up_key(driver: BalancerDriver) -> int:
    """Read one key until its server has a count and the hedge budget has tokens; return the server."""
    return [driver.read(7) for _ in range(40)][-1]


def complete_fetches(driver: BalancerDriver, count: int, result: AttemptResult, elapsed: float = 60.0) -> None:
    """Submit count reads of keys that no server has cached, each with the given result."""
    for _ in range(count):
        driver.now += 20.0
        for send in sends(driver.submit_request(100000 + int(driver.now))):
            driver.handle_event(
                Outcome(
                    send.id,
                    0,
                    send.server,
                    result,
                    elapsed,
                    result == AttemptResult.OK,
                    cache_status=CacheStatus.MISS if result == AttemptResult.OK else CacheStatus.NONE,
                )
            )
