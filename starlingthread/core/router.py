"""The router's actor: passes events to the decision module and executes its actions.

Whatever the module decides, each attempt has exactly one outcome (core/attempts.py) and each request at most one final
answer (core/request_table.py). The router is independent of the protocol: it does not read the payloads of requests and
answers.
"""

from __future__ import annotations

import asyncio

from ..actions import (
    Action,
    Cancel,
    CloseConnections,
    Fail,
    FetchEndpoints,
    HealthCheck,
    Log,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    WatchEndpoints,
)
from ..events import (
    REMOVED_CLASS_INDEX,
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
from .attempts import Attempts
from .clock import Clock
from .core_load import CoreLoad
from .counters import Counters
from .deadline_timer import DeadlineTimer
from .deadlines import Deadlines
from .mailbox import Mailbox
from .messages import (
    Answer,
    AttemptEnded,
    BodyReceived,
    ClientDisconnected,
    DeadlinePassed,
    EndpointsReceived,
    Failed,
    Message,
    PendingRequest,
    Rejected,
    RequestReceived,
)
from .ports import CacheServers, Discovery, Peers
from .request_table import RequestTable
from .telemetry import Telemetry

# A request that the decision module has not answered this long after its deadline is answered as failed.
OVERDUE_GRACE_MS = 15.0
# While the mailbox holds this many messages, new requests are rejected without asking the decision module.
MAX_MAILBOX_MESSAGES = 20000
MAX_ERRORS_LOGGED = 50
MAX_REPEATED_LOGGED = 20


class Router:
    """The actor that owns the decision module and all open requests."""

    def __init__(self, settings: Settings, seed: int, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        self.settings = settings
        self.clock = clock
        self.deadlines = deadlines
        self.counters = counters
        self.balancer = Balancer(settings, seed)
        self.telemetry = Telemetry(request_class.name for request_class in settings.classes)
        self.mailbox: Mailbox[Message] = Mailbox(MAX_MAILBOX_MESSAGES)
        # Set once discovery has sent an endpoint list; the cached list from the configuration does not count.
        self.discovery_reached = asyncio.Event()
        # Whether the decision module has received a list with at least one server.
        self.has_endpoints = False
        self.discovery: Discovery
        self.peers: Peers
        self._table = RequestTable(deadlines, counters, self.telemetry)
        self.requests = self._table.requests
        self._class_indexes = _class_indexes(settings)
        self._timer = DeadlineTimer(clock, deadlines, self.mailbox.wake)
        self.core_load = CoreLoad(self.balancer, clock, deadlines, counters, self.telemetry)
        self.attempts = Attempts(self._table, self.core_load, self.mailbox, clock, deadlines, counters, self._decide)

    @property
    def fleet(self) -> CacheServers:
        """The connections to the cache servers; set after the router is created, as they need its mailbox."""
        return self.attempts.fleet

    @fleet.setter
    def fleet(self, fleet: CacheServers) -> None:
        self.attempts.fleet = fleet

    # The turns of the actor.

    def begin(self) -> None:
        """Start the decision module and the sampling of the CPU usage."""
        self._execute(self.balancer.start(self.clock.now()))
        self.core_load.sample_cpu()

    async def run(self) -> None:
        """Run a turn whenever a message has arrived or a deadline has expired; never return."""
        self.deadlines.on_earlier_deadline = self._timer.arm
        while True:
            self.turn()
            self._timer.arm()
            await self.mailbox.wait()

    def turn(self) -> None:
        """Run one turn: process all queued messages, then all expired deadlines.

        Messages come first, so that after a pause of the process an answer that has already arrived is used, although
        its deadline has expired.
        """
        self.core_load.on_turn(len(self.requests))
        for message in self.mailbox.take():
            self._process(message)
        self.deadlines.sweep(self.clock.now())

    def _process(self, message: Message) -> None:
        match message:
            case RequestReceived():
                self._on_request(message.request)
            case AttemptEnded():
                self.attempts.on_ended(message)
            case BodyReceived():
                self._on_body(message.request, message.deadline)
            case DeadlinePassed():
                self._on_deadline_passed(message.request)
            case ClientDisconnected():
                self._on_disconnected(message.request)
            case EndpointsReceived():
                self._on_endpoints(message)
            case SettingsChanged():
                self._on_settings(message)
            case _:
                self._decide(message)

    def _decide(self, event: Event, now: float | None = None) -> None:
        """Pass an event to the decision module and execute its actions.

        An exception in the module fails at most one request; the router goes on.
        """
        try:
            actions = self.balancer.handle(self.clock.now() if now is None else now, event)
        except Exception:
            self._on_module_error(event)
            return
        self._execute(actions)

    def _on_module_error(self, event: Event) -> None:
        self.counters.increment("module.errors")
        if self.counters["module.errors"] <= MAX_ERRORS_LOGGED:
            log.exception("module-error", input=repr(event))
        if isinstance(event, Request | Outcome) and event.id in self.requests:
            self._table.finish(self.requests[event.id], Failed())

    # Settings and endpoint lists.

    def apply_settings(self, settings: Settings) -> None:
        """Switch to new settings; requests that are already in the mailbox are handled under the old ones."""
        self.telemetry.register_classes(request_class.name for request_class in settings.classes)
        self.mailbox.force_put(SettingsChanged(settings))

    def _on_settings(self, message: SettingsChanged) -> None:
        self.settings = message.settings
        self._class_indexes = _class_indexes(message.settings)
        self._decide(message)

    def _on_endpoints(self, message: EndpointsReceived) -> None:
        self.has_endpoints = self.has_endpoints or bool(message.event.endpoints)
        if message.event.kind in (EndpointListKind.FULL, EndpointListKind.DELTA):
            self.discovery_reached.set()
        self.fleet.apply_endpoint_list(message, self.clock.now())
        self._decide(message.event)

    # Requests from clients.

    def submit(self, request: PendingRequest) -> None:
        """Accept a request, or reject it if the mailbox is full."""
        self.telemetry.on_received()
        if not self.mailbox.put(RequestReceived(request)):
            self.counters.increment("requests.mailbox_full")
            self._table.finish(request, self._unprocessed_answer(request))

    def reject(self, request: PendingRequest) -> None:
        """Reject a request without asking the decision module, as there is no memory to buffer it."""
        self.telemetry.on_received()
        self._table.finish(request, self._unprocessed_answer(request))

    def may_have_run(self, identity: int) -> bool:
        """Return whether a request of an identity may have been executed, so that it must not be rejected."""
        return self.balancer.fleet.executions.may_have_run(identity)

    def _unprocessed_answer(self, request: PendingRequest) -> Answer:
        """Return the answer to a request of which no attempt starts; a rejection promises that it was not executed."""
        return Failed() if self.may_have_run(request.identity) else Rejected()

    def fail(self, request: PendingRequest) -> None:
        """Answer an open request as failed."""
        self._table.finish(request, Failed())
        self._decide(RequestCancelled(request.id))

    def _on_request(self, request: PendingRequest) -> None:
        # The client may have disconnected while the message was in the mailbox.
        if request.finished or request.cancelled:
            return
        now = self.clock.now()
        self._table.add(request)
        if request.identity:
            self._log_repeated(request)
        class_index = self._class_indexes.get(request.request_class.name)
        if request.deadline <= now or (class_index is None and not request.keeps_class):
            # The deadline has passed, or a reload has removed the class: a request with a streamed value is submitted
            # some time after its head was read.
            self._table.finish(request, Failed())
            return
        self._set_request_deadline(request)
        budget = min(request.deadline - now, request.request_class.deadline)
        event = Request(
            request.id,
            REMOVED_CLASS_INDEX if class_index is None else class_index,
            budget,
            request.key,
            cost_hint=request.cost_hint,
            size=request.size,
            single_use=request.body is not None,
            is_retry=request.is_retry,
            is_write=request.is_write,
            queue_time=self.core_load.queue_time(now - request.received_at, budget / request.request_class.deadline),
            identity=request.identity,
            request_class=request.request_class if request.keeps_class else None,
        )
        self._decide(event, now)

    def _log_repeated(self, request: PendingRequest) -> None:
        if not self.may_have_run(request.identity):
            return
        self.counters.increment("requests.repeated")
        if self.counters["requests.repeated"] <= MAX_REPEATED_LOGGED:
            log.info("request-repeated", request=request.id, **{"class": request.request_class.name})

    def _set_request_deadline(self, request: PendingRequest) -> None:
        self.deadlines.clear(request.deadline_timer)
        request.deadline_timer = self.deadlines.set(
            request.deadline + OVERDUE_GRACE_MS, lambda: self._on_overdue(request)
        )

    def _on_body(self, request: PendingRequest, deadline: float) -> None:
        """Restart the deadlines of a request and its attempts once its last byte has been received."""
        if request.finished:
            return
        now = self.clock.now()
        request.deadline = deadline
        self._set_request_deadline(request)
        self.attempts.on_body_received(request, now)

    def _on_deadline_passed(self, request: PendingRequest) -> None:
        """Time out the attempts of a request now, although its last byte has not been received."""
        if request.finished:
            return
        request.deadline = self.clock.now()
        self._set_request_deadline(request)
        self.attempts.time_out(request)

    def _on_overdue(self, request: PendingRequest) -> None:
        """Fail a request that the decision module has not answered in time."""
        if request.finished:
            return
        if request.is_receiving and request.deadline > self.clock.now():
            self._set_request_deadline(request)
            return
        self.counters.increment("requests.overdue")
        log.warning(
            "request-overdue",
            request=request.id,
            attempts=request.attempts_started,
            **{"class": request.request_class.name},
        )
        self._table.finish(request, Failed())
        self._decide(RequestCancelled(request.id))

    def _on_disconnected(self, request: PendingRequest) -> None:
        if request.finished:
            return
        self._table.cancel(request)
        if request.id:
            self._decide(RequestCancelled(request.id))
            self._table.remove_if_done(request)

    # Actions of the decision module.

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            self._execute_one(action)

    def _execute_one(self, action: Action) -> None:
        match action:
            case Send():
                self.attempts.start(action, self.settings.max_attempts)
            case Reject():
                self._answer(action.id, Rejected(action.retry_after))
            case Fail():
                self._answer(action.id, Failed())
            case Cancel():
                self.attempts.cancel(action)
            case SetTimer():
                self.deadlines.set(action.at, lambda: self._decide(Timer(action.label)))
            case HealthCheck():
                self.counters.increment("health_checks.sent")
                self.fleet.check_health(action.server)
            case CloseConnections():
                self.fleet.close_idle(action.server)
            case SendToPeer():
                self.peers.send(action.peer, action.payload)
            case WatchEndpoints():
                self.discovery.watch(action.active)
            case FetchEndpoints():
                self.discovery.fetch()
            case Log():
                log.info("module", text=action.text)

    def _answer(self, request_id: int, answer: Answer) -> None:
        request = self.requests.get(request_id)
        if request is not None:
            self._table.finish(request, answer)


def _class_indexes(settings: Settings) -> dict[str, int]:
    return {request_class.name: index for index, request_class in enumerate(settings.classes)}
