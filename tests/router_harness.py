"""A router without sockets whose clients, cache servers and discovery only record what it does."""

from __future__ import annotations

from starlingthread.core.clock import Clock
from starlingthread.core.counters import Counters
from starlingthread.core.deadlines import Deadlines
from starlingthread.core.messages import Answer, Attempt, EndpointsReceived, Message, PendingRequest
from starlingthread.core.router import Router
from starlingthread.events import EndpointList, EndpointListKind
from starlingthread.settings import Settings

from .world import READ, THROUGH, members


class ManualClock(Clock):
    """A clock that tests set."""

    time = 1000.0

    def now(self) -> float:
        return self.time


class RouterHarness:
    """A router whose clients, cache servers and discovery only record what it does."""

    def __init__(self, settings: Settings = THROUGH) -> None:
        self.clock = ManualClock()
        self.router = Router(settings, 1, self.clock, Deadlines(), Counters())
        self.router.fleet = self.router.discovery = self.router.peers = self  # type: ignore[assignment]
        self.started: list[Attempt] = []
        self.abandoned: list[Attempt] = []
        self.answers: list[tuple[PendingRequest, Answer]] = []
        fleet = tuple(m for m in members(4) if m.kind != 3)
        self.deliver(EndpointsReceived(EndpointList(EndpointListKind.CACHED, 1, fleet), {}))

    def answer(self, request: PendingRequest, answer: Answer) -> None:
        self.answers.append((request, answer))

    def apply_endpoint_list(self, listing: EndpointsReceived, now: float) -> None:
        pass

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)

    def abandon(self, attempt: Attempt) -> None:
        self.abandoned.append(attempt)

    def run_until_idle(self) -> None:
        """Take turns until the mailbox is empty."""
        while len(self.router.mailbox):
            self.router.turn()

    def deliver(self, message: Message) -> None:
        """Deliver a message and run what follows from it."""
        self.router.mailbox.must_put(message)
        self.run_until_idle()

    def submit_request(self, cls: int = READ, wait: float = 900.0) -> PendingRequest:
        """Submit a request with a deadline after so many ms."""
        now = self.clock.time
        request = PendingRequest(
            self, self.router.settings.classes[cls], 7, now + wait, b"payload", now, is_write=cls != READ
        )
        self.router.submit(request)
        self.run_until_idle()
        return request

    def advance_time(self, span: float) -> None:
        """Advance the clock, in ms, and run each deadline at its time."""
        until = self.clock.time + span
        while (first := self.router.deadlines.first()) is not None and first <= until:
            self.clock.time = max(self.clock.time, first)
            self.router.turn()
            self.run_until_idle()
        self.clock.time = until
