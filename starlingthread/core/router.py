"""The module's actor: events in, actions out; exactly one outcome per attempt, one answer per request.

It knows no dialect: a request's payload and a server's answer pass through it unread.
"""

from __future__ import annotations

import asyncio
import math
import time

from ..actions import (
    Action,
    Cancel,
    CloseConnections,
    Fail,
    FetchEndpoints,
    HealthCheck,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    WatchEndpoints,
)
from ..events import (
    AttemptResult,
    EndpointListKind,
    Event,
    Outcome,
    Request,
    RequestCancelled,
    SettingsChanged,
    Timer,
)
from ..logs import log
from ..policy import Balancer
from ..settings import Settings
from .clock import Clock
from .counters import Counters
from .deadlines import Deadlines
from .mailbox import Mailbox
from .messages import (
    Answer,
    Attempt,
    AttemptEnded,
    BodyReceived,
    ClientDisconnected,
    EndpointsReceived,
    Failed,
    Message,
    PendingRequest,
    Rejected,
    RequestReceived,
    Served,
)
from .ports import CacheServers, Discovery, Peers
from .telemetry import FinalStatus, Telemetry

OVERDUE = 15.0  # ms past a request's end at which we answer for a module that has not
MAILBOX = 20000  # messages; past that new requests are turned away unseen
MAX_ERRORS_LOGGED = 50
WEIGH_EVERY = 250.0  # ms between looks at how much of our core we use
FULL = 0.9  # of it, from which on we count as full


ENDS: dict[type, FinalStatus] = {Served: FinalStatus.SUCCESS, Rejected: FinalStatus.BUSY, Failed: FinalStatus.FAILURE}


class Router:
    """Hosts the one instance of the module."""

    def __init__(self, settings: Settings, seed: int, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        self.settings, self.clock, self.deadlines, self.counters = settings, clock, deadlines, counters
        self.balancer = Balancer(settings, seed)
        self.telemetry = Telemetry(cls.name for cls in settings.classes)
        self._numbers = {cls.name: number for number, cls in enumerate(settings.classes)}
        self.mailbox: Mailbox[Message] = Mailbox(MAILBOX)
        self.requests: dict[int, PendingRequest] = {}
        self.attempts: dict[int, list[Attempt]] = {}
        self.discovery_reached = asyncio.Event()  # discovery itself has told a list, not the configuration alone
        self.listed = False  # a list with at least one line has reached the module
        self.fleet: CacheServers
        self.discovery: Discovery
        self.peers: Peers
        self._last_id = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf
        self.cores = 1.0  # what we may use; one thread uses one at most
        self.full = False  # whether we used all of that lately
        self._weighed = (0.0, 0.0)  # when we looked last, and the seconds used by then

    # turns

    def begin(self) -> None:
        """Start the module."""
        self._carry_out(self.balancer.start(self.clock.now()))
        self._weigh()

    def _weigh(self) -> None:
        """See whether our core is full. Guards against refusing work for short waits on one that is not."""
        now, used = self.clock.now(), time.process_time()
        at, before = self._weighed
        self.full = (used - before) * 1000.0 > FULL * min(1.0, self.cores) * (now - at)
        self._weighed = (now, used)
        self.deadlines.set(now + WEIGH_EVERY, self._weigh)

    async def run(self) -> None:
        """Take turns for ever: take in what has come, then sweep the deadlines."""
        self.deadlines.on_earlier_deadline = self._arm
        while True:
            self.turn()
            self._arm()
            await self.mailbox.wait()

    def turn(self) -> None:
        """One turn. What has come goes first, so that after a pause no answer loses to its limit."""
        for message in self.mailbox.take():
            self._take_in(message)
        self.deadlines.sweep(self.clock.now())

    def _arm(self) -> None:
        """Keep one timer, for the first deadline there is; one that rings early costs less than a new one."""
        first = self.deadlines.first()
        if first is None or first >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = first
        self._timer = asyncio.get_running_loop().call_at(self.clock.to_loop_time(first), self._ring)

    def _ring(self) -> None:
        self._timer, self._timer_at = None, math.inf
        self.mailbox.wake()  # the turn that follows arms it anew

    def _take_in(self, message: Message) -> None:
        now = self.clock.now()
        if isinstance(message, RequestReceived):
            self._asked(now, message.request)
        elif isinstance(message, AttemptEnded):
            self._ended(message)
        elif isinstance(message, BodyReceived):
            self._whole(message.request, message.deadline)
        elif isinstance(message, ClientDisconnected):
            self._withdraw(message.request)
        elif isinstance(message, EndpointsReceived):
            self.listed = self.listed or bool(message.event.endpoints)
            if message.event.kind in (EndpointListKind.FULL, EndpointListKind.DELTA):
                self.discovery_reached.set()
            self.fleet.apply_endpoint_list(message, now)
            self._handle(message.event)
        elif isinstance(message, SettingsChanged):
            self.settings = message.settings
            self._numbers = {cls.name: number for number, cls in enumerate(message.settings.classes)}
            self._handle(message)
        else:
            self._handle(message)

    def _handle(self, event: Event, now: float | None = None) -> None:
        """Let the module take in an event. Its failure must cost one request, never the router."""
        try:
            actions = self.balancer.handle(self.clock.now() if now is None else now, event)
        except Exception:
            self.counters.increment("module.errors")
            if self.counters["module.errors"] <= MAX_ERRORS_LOGGED:
                log.exception("module-error", input=repr(event))
            actions = []
            if isinstance(event, Request | Outcome) and event.id in self.requests:
                self._finish(self.requests[event.id], Failed())
        self._carry_out(actions)

    def apply_settings(self, settings: Settings) -> None:
        """Go over to new settings: what was asked before comes before them in the mailbox."""
        self.telemetry.register_classes(cls.name for cls in settings.classes)
        self.mailbox.must_put(SettingsChanged(settings))

    # requests

    def submit(self, request: PendingRequest) -> None:
        """Take a request: the one way in. What finds no place is refused, by the one way out."""
        self.telemetry.on_received()
        if not self.mailbox.put(RequestReceived(request)):
            self.counters.increment("requests.mailbox_full")
            self._finish(request, Rejected())

    def fail_all(self) -> None:
        """Give every request that is owed an answer its final one: this process ends."""
        for request in list(self.requests.values()):
            self._finish(request, Failed())
            self._handle(RequestCancelled(request.id))

    def reject(self, request: PendingRequest) -> None:
        """Take a request and refuse it unseen, as there is no memory to hold it."""
        self.telemetry.on_received()
        self._finish(request, Rejected())

    def _asked(self, now: float, request: PendingRequest) -> None:
        if request.finished or request.cancelled:  # its client left while the message lay in the mailbox
            return
        self._last_id += 1
        request.id = self._last_id
        self.requests[request.id] = request
        self.attempts[request.id] = []
        self.counters.increment("requests.taken")
        number = self._numbers.get(request.request_class.name)
        if request.deadline <= now or number is None:
            # It came too late, or its class is gone since: a value in pieces is asked for some time after its head.
            self._finish(request, Failed())
            return
        request.deadline_timer = self.deadlines.set(request.deadline + OVERDUE, lambda: self._overdue(request))
        self._handle(
            Request(
                request.id,
                number,
                min(request.deadline - now, request.request_class.deadline),
                request.key,
                cost_hint=request.cost_hint,
                size=request.size,
                single_use=request.body is not None,
                is_retry=request.is_retry,
                is_write=request.is_write,
                queue_time=now - request.received_at if self.full else 0.0,
            ),
            now,
        )

    def _whole(self, request: PendingRequest, ends: float) -> None:
        """Count a request's time, and that of its attempt, from its last byte."""
        if request.finished:
            return
        now, request.deadline = self.clock.now(), ends
        self.deadlines.clear(request.deadline_timer)
        request.deadline_timer = self.deadlines.set(ends + OVERDUE, lambda: self._overdue(request))
        for attempt in self.attempts.get(request.id, ()):
            if attempt.pending:
                attempt.sent_at = now
                self._limit(attempt, ends)

    def _overdue(self, request: PendingRequest) -> None:
        """Guards against a module that forgets a request: it is owed an answer all the same."""
        if not request.finished:
            self.counters.increment("requests.overdue")
            log.warning(
                "overdue", request=request.id, sends=request.attempts_started, **{"class": request.request_class.name}
            )
            self._finish(request, Failed())
            self._handle(RequestCancelled(request.id))

    def _withdraw(self, request: PendingRequest) -> None:
        if request.finished:
            return
        self.counters.increment("requests.withdrawn")
        self.telemetry.on_finished(request.request_class.name, FinalStatus.ABANDONED)
        request.finished = True
        if request.body is not None:
            request.body.abandon()
        if request.id:
            self.deadlines.clear(request.deadline_timer)
            self._handle(RequestCancelled(request.id))
            self._forget(request)

    def _finish(self, request: PendingRequest, answer: Answer) -> None:
        """The one place where a request gets its final answer."""
        if request.finished:
            return
        request.finished = True
        self.deadlines.clear(request.deadline_timer)
        kind = type(answer).__name__.lower()
        self.counters.increment(f"answers.{kind}")
        if request.body is not None:
            request.body.abandon()
        self._count_end(request.request_class.name, answer)
        request.requester.answer(request, answer)
        self._forget(request)

    def _count_end(self, cls: str, answer: Answer) -> None:
        """Count how a request ended; where its value goes out in pieces, once that is known."""
        if not isinstance(answer, Served) or (pipe := answer.pipe) is None:
            self.telemetry.on_finished(cls, ENDS[type(answer)])
            return

        def settled() -> None:
            self.telemetry.on_finished(
                cls,
                FinalStatus.SUCCESS
                if pipe.complete
                else FinalStatus.FAILURE
                if pipe.complete is False
                else FinalStatus.ABANDONED,
            )

        pipe.on_settled(settled)

    def _forget(self, request: PendingRequest) -> None:
        if request.finished and request.attempts_in_flight == 0:
            self.requests.pop(request.id, None)
            self.attempts.pop(request.id, None)

    # attempts

    def _send(self, action: Send) -> None:
        now = self.clock.now()
        request = self.requests.get(action.id)
        if request is None:
            self.counters.increment("attempts.unknown_request")
            return
        until = min(now + action.timeout, request.deadline) if action.timeout else request.deadline
        attempt = Attempt(request, request.attempts_started, action.server, now, until, action.write_deadline)
        self.attempts[request.id].append(attempt)
        request.attempts_started += 1
        request.attempts_in_flight += 1
        if request.finished or request.cancelled or request.attempts_started > self.settings.max_attempts:
            self.mailbox.must_put(AttemptEnded(attempt, AttemptResult.NOT_SENT))
            return
        self.counters.increment("attempts.started")
        self._limit(attempt, until)
        self.fleet.start(attempt)

    def _limit(self, attempt: Attempt, until: float) -> None:
        """Stop waiting for an attempt at a time."""
        self.deadlines.clear(attempt.timeout_timer)
        attempt.deadline = until
        attempt.timeout_timer = self.deadlines.set(
            until, lambda: self._ended(AttemptEnded(attempt, AttemptResult.TIMEOUT), abandon=True)
        )

    def _ended(self, message: AttemptEnded, abandon: bool = False) -> None:
        """The one place where an attempt gets its outcome; later ones are dropped."""
        attempt, result = message.attempt, message.result
        if not attempt.pending:
            self.counters.increment("attempts.late_outcomes")
            if message.pipe is not None:
                message.pipe.abandon()
            return
        attempt.pending = False
        self.deadlines.clear(attempt.timeout_timer)
        if abandon:
            self.fleet.abandon(attempt)
        self.counters.increment(f"attempts.{result.name.lower()}")
        request = attempt.request
        request.attempts_in_flight -= 1
        if result == AttemptResult.OK:
            if message.pipe is not None and request.finished:
                message.pipe.abandon()
            self._finish(request, Served(message.payload, message.pipe))
        self._handle(
            Outcome(
                request.id,
                attempt.number,
                attempt.server,
                result,
                self.clock.now() - attempt.sent_at,
                request.finished,
                message.cache_status,
                message.load_report,
            )
        )
        self._forget(request)

    def _cancel(self, action: Cancel) -> None:
        attempts = self.attempts.get(action.id, [])
        if action.attempt < len(attempts) and attempts[action.attempt].pending:
            attempt = attempts[action.attempt]
            self.fleet.abandon(attempt)
            self.mailbox.must_put(AttemptEnded(attempt, AttemptResult.CANCELLED))

    # actions

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Reject | Fail):
                if (request := self.requests.get(action.id)) is not None:
                    self._finish(request, Rejected(action.retry_after) if isinstance(action, Reject) else Failed())
            elif isinstance(action, Cancel):
                self._cancel(action)
            elif isinstance(action, SetTimer):
                event = Timer(action.label)
                self.deadlines.set(action.at, lambda event=event: self._handle(event))  # type: ignore[misc]
            elif isinstance(action, HealthCheck):
                self.counters.increment("probes.sent")
                self.fleet.check_health(action.server)
            elif isinstance(action, CloseConnections):
                self.fleet.close_idle(action.server)
            elif isinstance(action, SendToPeer):
                self.peers.send(action.peer, action.payload)
            elif isinstance(action, WatchEndpoints):
                self.discovery.watch(action.active)
            elif isinstance(action, FetchEndpoints):
                self.discovery.fetch()
            else:
                log.info("module", text=action.text)
