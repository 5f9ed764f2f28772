"""A test harness for the router's actor without sockets, and a clock that tests control."""

from __future__ import annotations

from starlingthread.core.clock import Clock
from starlingthread.core.counters import Counters
from starlingthread.core.deadlines import Deadlines
from starlingthread.core.messages import Answer, Attempt, EndpointsReceived, Message, PendingRequest
from starlingthread.core.router import Router
from starlingthread.events import EndpointList, EndpointListKind
from starlingthread.settings import Settings

from .balancer_driver import READ, THROUGH, make_endpoints


class ManualClock(Clock):
    """A clock whose time is set by tests, in ms."""

    time = 1000.0

    def now(self) -> float:
        """Return the time that the test has set."""
        return self.time


class RouterHarness:
    """A router whose clients, cache servers, discovery and peers are replaced by this object, which records calls."""

    def __init__(self, settings: Settings = THROUGH) -> None:
        """Create a router that has received a cached endpoint list."""
        self.clock = ManualClock()
        self.router = Router(settings, 1, self.clock, Deadlines(), Counters())
        self.router.fleet = self.router.discovery = self.router.peers = self  # type: ignore[assignment]
        self.started: list[Attempt] = []
        self.abandoned: list[Attempt] = []
        self.answers: list[tuple[PendingRequest, Answer]] = []
        endpoints = tuple(endpoint for endpoint in make_endpoints(4) if endpoint.kind != 3)
        self.deliver(EndpointsReceived(EndpointList(EndpointListKind.CACHED, 1, endpoints), {}))

    def answer(self, request: PendingRequest, answer: Answer) -> None:
        """Record an answer to a client."""
        self.answers.append((request, answer))

    def may_start_attempt(self) -> bool:
        """Let attempts start."""
        return True

    def apply_endpoint_list(self, listing: EndpointsReceived, now: float) -> None:
        """Ignore the endpoint list, as there are no actors of cache servers."""

    def start(self, attempt: Attempt) -> None:
        """Record the start of an attempt at a cache server."""
        self.started.append(attempt)

    def abandon(self, attempt: Attempt) -> None:
        """Record that the router abandoned an attempt."""
        self.abandoned.append(attempt)

    def run_until_idle(self) -> None:
        """Run turns of the router until its mailbox is empty."""
        while len(self.router.mailbox):
            self.router.turn()

    def deliver(self, message: Message) -> None:
        """Deliver a message to the router, and process it with all messages that result from it."""
        self.router.mailbox.force_put(message)
        self.run_until_idle()

    def submit_request(self, class_index: int = READ, deadline_in: float = 900.0) -> PendingRequest:
        """Submit a request of the class with an index; its deadline is ``deadline_in`` ms from now."""
        now = self.clock.time
        request_class = self.router.settings.classes[class_index]
        is_write = class_index != READ
        request = PendingRequest(self, request_class, 7, now + deadline_in, b"payload", now, is_write=is_write)
        self.router.submit(request)
        self.run_until_idle()
        return request

    def advance_time(self, duration: float) -> None:
        """Advance the clock by a duration in ms, and run a turn of the router at each deadline."""
        until = self.clock.time + duration
        while (first := self.router.deadlines.first()) is not None and first <= until:
            self.clock.time = max(self.clock.time, first)
            self.router.turn()
            self.run_until_idle()
        self.clock.time = until
