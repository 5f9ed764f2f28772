"""The module's actor: events in, actions out; exactly one outcome per attempt, one answer per request.

It knows no dialect: a request's payload and a server's answer pass through it unread.
"""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass
from typing import NamedTuple, Protocol, TypeAlias

from .. import interface as api
from ..logs import log
from ..policy import Balancer
from .actors import Clock, Mailbox
from .counters import Counters
from .deadlines import Deadline, Deadlines
from .pipe import Pipe
from .telemetry import End, Telemetry

OVERDUE = 15.0  # ms past a request's end at which we answer for a module that has not
MAILBOX = 20000  # messages; past that new requests are turned away unseen
MAX_ERRORS_LOGGED = 50
WEIGH_EVERY = 250.0  # ms between looks at how much of our core we use
FULL = 0.9  # of it, from which on we count as full


class Served(NamedTuple):
    """Final answer: what a server made for this request, in the dialect's own form."""

    payload: object
    pipe: Pipe | None = None  # where its value follows in pieces


class Refused(NamedTuple):
    """Final answer: turned away, come again after so many ms (0: no advice)."""

    retry_after: float = 0.0


class Failed(NamedTuple):
    """Final answer: failed, with no promise."""


Answer: TypeAlias = Served | Refused | Failed
ENDS: dict[type, End] = {Served: End.SUCCESS, Refused: End.BUSY, Failed: End.FAILURE}


class Requester(Protocol):
    """Whoever is owed a final answer."""

    def answer(self, request: Taken, answer: Answer) -> None:
        """Take the one final answer of a request."""


@dataclass(slots=True, eq=False)
class Taken:
    """A request that was taken and is owed one final answer."""

    requester: Requester
    cls: api.RequestClass
    key: int
    ends: float  # clock time at which the client gives up
    payload: object  # in the dialect's own form
    came_at: float  # clock time at which it was whole
    size: float = 0.0
    hint: float = 0.0  # the client's guess at the work, in whatever unit; 0: none
    is_retry: bool = False
    is_write: bool = False
    id: int = 0
    over: bool = False
    withdrawn: bool = False  # whoever asked has left, and the message that says so is on its way: begin nothing more
    sends: int = 0
    out: int = 0
    guard: Deadline | None = None
    body: Pipe | None = None  # where its value follows in pieces: it can be sent once only


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt: it is out until its one outcome."""

    request: Taken
    number: int
    server: int
    sent_at: float
    until: float  # clock time at which we stop waiting for it
    before: float = math.inf  # clock time from which on it must not be written any more
    wanted: bool = True  # false once it has its outcome: whoever is about to write it must not
    limit: Deadline | None = None


class Asked(NamedTuple):
    """Message: a request has come in."""

    request: Taken


class Whole(NamedTuple):
    """Message: the last byte of a request's value has come; its time runs from now, and ends at 'ends'."""

    request: Taken
    ends: float


class Gone(NamedTuple):
    """Message: the client of a request has left."""

    request: Taken


class Ended(NamedTuple):
    """Message: how an attempt ended."""

    attempt: Attempt
    result: api.Result
    note: api.Note = api.Note.NONE
    report: tuple[float, ...] = ()
    payload: object = None
    pipe: Pipe | None = None


class Listed(NamedTuple):
    """Message: what discovery told, with each server's address where it is known."""

    event: api.MemberList
    addresses: dict[int, tuple[str, int]]


Message: TypeAlias = (
    Asked | Whole | Gone | Ended | Listed | api.ProbeResult | api.PeerMessage | api.Maintenance | api.Retuned
)


class Fleet(Protocol):
    """The cache servers, as the module's actor sees them."""

    def listed(self, listing: Listed, now: float) -> None:
        """Take in a list before the module does."""

    def start(self, attempt: Attempt) -> None:
        """Make an attempt; an Ended message follows unless it is abandoned."""

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt that has its outcome."""

    def probe(self, server: int) -> None:
        """Check a server; a ProbeResult follows."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""


class Registry(Protocol):
    """Discovery, as the module's actor sees it."""

    def watch(self, active: bool) -> None:
        """Ask for changes from now on, or no longer."""

    def fetch(self) -> None:
        """Ask for the whole list once."""


class Peers(Protocol):
    """The other routers, as the module's actor sees them."""

    def tell(self, peer: int | None, payload: bytes) -> None:
        """Send a message to one, or to all (None)."""


class Router:
    """Hosts the one instance of the module."""

    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, deadlines: Deadlines, counters: Counters
    ) -> None:
        self.settings, self.clock, self.deadlines, self.counters = settings, clock, deadlines, counters
        self.module = Balancer(settings, seed)
        self.telemetry = Telemetry(cls.name for cls in settings.classes)
        self._numbers = {cls.name: number for number, cls in enumerate(settings.classes)}
        self.mailbox: Mailbox[Message] = Mailbox(MAILBOX)
        self.requests: dict[int, Taken] = {}
        self.attempts: dict[int, list[Attempt]] = {}
        self.heard = asyncio.Event()  # discovery itself has told a list, not the configuration alone
        self.listed = False  # a list with at least one line has reached the module
        self.fleet: Fleet
        self.registry: Registry
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
        self._carry_out(self.module.start(self.clock.now()))
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
        self.deadlines.on_sooner = self._arm
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
        self._timer = asyncio.get_running_loop().call_at(self.clock.on_loop(first), self._ring)

    def _ring(self) -> None:
        self._timer, self._timer_at = None, math.inf
        self.mailbox.wake()  # the turn that follows arms it anew

    def _take_in(self, message: Message) -> None:
        now = self.clock.now()
        if isinstance(message, Asked):
            self._asked(now, message.request)
        elif isinstance(message, Ended):
            self._ended(message)
        elif isinstance(message, Whole):
            self._whole(message.request, message.ends)
        elif isinstance(message, Gone):
            self._withdraw(message.request)
        elif isinstance(message, Listed):
            self.listed = self.listed or bool(message.event.members)
            if message.event.kind in (api.ListKind.FULL, api.ListKind.DELTA):
                self.heard.set()
            self.fleet.listed(message, now)
            self._handle(message.event)
        elif isinstance(message, api.Retuned):
            self.settings = message.settings
            self._numbers = {cls.name: number for number, cls in enumerate(message.settings.classes)}
            self._handle(message)
        else:
            self._handle(message)

    def _handle(self, event: api.Event, now: float | None = None) -> None:
        """Let the module take in an event. Its failure must cost one request, never the router."""
        try:
            actions = self.module.handle(self.clock.now() if now is None else now, event)
        except Exception:
            self.counters.note("module.errors")
            if self.counters["module.errors"] <= MAX_ERRORS_LOGGED:
                log.exception("module-error", input=repr(event))
            actions = []
            if isinstance(event, api.Request | api.Outcome) and event.id in self.requests:
                self._finish(self.requests[event.id], Failed())
        self._carry_out(actions)

    def retune(self, settings: api.Settings) -> None:
        """Go over to new settings: what was asked before comes before them in the mailbox."""
        self.telemetry.know(cls.name for cls in settings.classes)
        self.mailbox.must_put(api.Retuned(settings))

    # requests

    def take(self, request: Taken) -> None:
        """Take a request: the one way in. What finds no place is refused, by the one way out."""
        self.telemetry.taken()
        if not self.mailbox.put(Asked(request)):
            self.counters.note("requests.mailbox_full")
            self._finish(request, Refused())

    def fail_all(self) -> None:
        """Give every request that is owed an answer its final one: this process ends."""
        for request in list(self.requests.values()):
            self._finish(request, Failed())
            self._handle(api.Withdrawn(request.id))

    def refuse(self, request: Taken) -> None:
        """Take a request and refuse it unseen, as there is no memory to hold it."""
        self.telemetry.taken()
        self._finish(request, Refused())

    def _asked(self, now: float, request: Taken) -> None:
        if request.over or request.withdrawn:  # its client left while the message lay in the mailbox
            return
        self._last_id += 1
        request.id = self._last_id
        self.requests[request.id] = request
        self.attempts[request.id] = []
        self.counters.note("requests.taken")
        number = self._numbers.get(request.cls.name)
        if request.ends <= now or number is None:
            # It came too late, or its class is gone since: a value in pieces is asked for some time after its head.
            self._finish(request, Failed())
            return
        request.guard = self.deadlines.set(request.ends + OVERDUE, lambda: self._overdue(request))
        self._handle(
            api.Request(
                request.id,
                number,
                min(request.ends - now, request.cls.deadline),
                request.key,
                cost=request.hint,
                size=request.size,
                single=request.body is not None,
                is_retry=request.is_retry,
                is_write=request.is_write,
                waited=now - request.came_at if self.full else 0.0,
            ),
            now,
        )

    def _whole(self, request: Taken, ends: float) -> None:
        """Count a request's time, and that of its attempt, from its last byte."""
        if request.over:
            return
        now, request.ends = self.clock.now(), ends
        self.deadlines.clear(request.guard)
        request.guard = self.deadlines.set(ends + OVERDUE, lambda: self._overdue(request))
        for attempt in self.attempts.get(request.id, ()):
            if attempt.wanted:
                attempt.sent_at = now
                self._limit(attempt, ends)

    def _overdue(self, request: Taken) -> None:
        """Guards against a module that forgets a request: it is owed an answer all the same."""
        if not request.over:
            self.counters.note("requests.overdue")
            log.warning("overdue", request=request.id, sends=request.sends, **{"class": request.cls.name})
            self._finish(request, Failed())
            self._handle(api.Withdrawn(request.id))

    def _withdraw(self, request: Taken) -> None:
        if request.over:
            return
        self.counters.note("requests.withdrawn")
        self.telemetry.ended(request.cls.name, End.ABANDONED)
        request.over = True
        if request.body is not None:
            request.body.abandon()
        if request.id:
            self.deadlines.clear(request.guard)
            self._handle(api.Withdrawn(request.id))
            self._forget(request)

    def _finish(self, request: Taken, answer: Answer) -> None:
        """The one place where a request gets its final answer."""
        if request.over:
            return
        request.over = True
        self.deadlines.clear(request.guard)
        kind = type(answer).__name__.lower()
        self.counters.note(f"answers.{kind}")
        if request.body is not None:
            request.body.abandon()
        self._count_end(request.cls.name, answer)
        request.requester.answer(request, answer)
        self._forget(request)

    def _count_end(self, cls: str, answer: Answer) -> None:
        """Count how a request ended; where its value goes out in pieces, once that is known."""
        if not isinstance(answer, Served) or (pipe := answer.pipe) is None:
            self.telemetry.ended(cls, ENDS[type(answer)])
            return

        def settled() -> None:
            self.telemetry.ended(
                cls, End.SUCCESS if pipe.whole else End.FAILURE if pipe.whole is False else End.ABANDONED
            )

        pipe.when_settled(settled)

    def _forget(self, request: Taken) -> None:
        if request.over and request.out == 0:
            self.requests.pop(request.id, None)
            self.attempts.pop(request.id, None)

    # attempts

    def _send(self, action: api.Send) -> None:
        now = self.clock.now()
        request = self.requests.get(action.id)
        if request is None:
            self.counters.note("attempts.unknown_request")
            return
        until = min(now + action.timeout, request.ends) if action.timeout else request.ends
        attempt = Attempt(request, request.sends, action.server, now, until, action.before)
        self.attempts[request.id].append(attempt)
        request.sends += 1
        request.out += 1
        if request.over or request.withdrawn or request.sends > self.settings.max_attempts:
            self.mailbox.must_put(Ended(attempt, api.Result.MOOT))
            return
        self.counters.note("attempts.started")
        self._limit(attempt, until)
        self.fleet.start(attempt)

    def _limit(self, attempt: Attempt, until: float) -> None:
        """Stop waiting for an attempt at a time."""
        self.deadlines.clear(attempt.limit)
        attempt.until = until
        attempt.limit = self.deadlines.set(until, lambda: self._ended(Ended(attempt, api.Result.TIMEOUT), abandon=True))

    def _ended(self, message: Ended, abandon: bool = False) -> None:
        """The one place where an attempt gets its outcome; later ones are dropped."""
        attempt, result = message.attempt, message.result
        if not attempt.wanted:
            self.counters.note("attempts.late_outcomes")
            if message.pipe is not None:
                message.pipe.abandon()
            return
        attempt.wanted = False
        self.deadlines.clear(attempt.limit)
        if abandon:
            self.fleet.abandon(attempt)
        self.counters.note(f"attempts.{result.name.lower()}")
        request = attempt.request
        request.out -= 1
        if result == api.Result.OK:
            if message.pipe is not None and request.over:
                message.pipe.abandon()
            self._finish(request, Served(message.payload, message.pipe))
        self._handle(
            api.Outcome(
                request.id,
                attempt.number,
                attempt.server,
                result,
                self.clock.now() - attempt.sent_at,
                request.over,
                message.note,
                message.report,
            )
        )
        self._forget(request)

    def _cancel(self, action: api.Cancel) -> None:
        attempts = self.attempts.get(action.id, [])
        if action.attempt < len(attempts) and attempts[action.attempt].wanted:
            attempt = attempts[action.attempt]
            self.fleet.abandon(attempt)
            self.mailbox.must_put(Ended(attempt, api.Result.CANCELLED))

    # actions

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.Refuse | api.Fail):
                if (request := self.requests.get(action.id)) is not None:
                    self._finish(request, Refused(action.retry_after) if isinstance(action, api.Refuse) else Failed())
            elif isinstance(action, api.Cancel):
                self._cancel(action)
            elif isinstance(action, api.SetTimer):
                event = api.Timer(action.label)
                self.deadlines.set(action.at, lambda event=event: self._handle(event))  # type: ignore[misc]
            elif isinstance(action, api.Probe):
                self.counters.note("probes.sent")
                self.fleet.probe(action.server)
            elif isinstance(action, api.CloseConnections):
                self.fleet.close_idle(action.server)
            elif isinstance(action, api.Tell):
                self.peers.tell(action.peer, action.payload)
            elif isinstance(action, api.Watch):
                self.registry.watch(action.active)
            elif isinstance(action, api.FetchList):
                self.registry.fetch()
            else:
                log.info("module", text=action.text)
