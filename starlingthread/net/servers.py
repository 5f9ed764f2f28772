"""Cache servers: one actor per server, which owns its connections, and the fleet that owns the actors.

An attempt has a connection to itself: giving up an attempt closes its connection, and one that is shared
would take others with it, and answers on it wait for each other.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple, TypeAlias

from .. import interface as api
from ..core.actors import Mailbox, Watcher
from ..core.deadlines import Deadline
from ..core.pipe import Pipe, ByteBudget
from ..core.router import Attempt, Ended, Listed, Router
from ..logs import log
from . import meta
from .streams import read_at_most


READ = 65536
MAILBOX = 10000
MAX_LOGGED = 20  # bad answers that get a log line; all are counted
RETIRE_SHARE = 0.65  # of the server's idle limit: a write that crosses its close would be a reset
LOOK_EVERY = 1000.0  # ms between looks for connections to retire
DRAIN_MARGIN = 100.0  # ms before the end of the drain grace from which we write nothing more
FORGET_AFTER = 2000.0  # ms after which the actor of a server that is gone is ended
STALL = 100.0  # ms for which a part of an answer may wait for the rest of it; it is looked at twice
PIECES_STALL = 10000.0  # ms for which a value in pieces may stand still while we would read it
RISK_LIFE, RISK_GAIN = 10000.0, 0.1  # ms in which a seen risk halves; weight of one request
RISK_READ, RISK_WRITE = 0.15, 0.05  # beyond a new connection's: past that none that idle is used for it
OWN_LATE = 10.0  # ms after which we look late at something that is due
REST = 3.0  # ms for which a connection rests before it is used again, if another one is at hand
DOUBT = 50.0  # ms after an answer in which a 'busy' may be a stray line behind it
ON_ITS_WAY = 5.0  # ms that a write takes at least until a server has it
PROBE_WAIT = 50.0  # ms in which a probe must be answered
NOTES = {"h1": api.Note.HIT, "h0": api.Note.MISS, "h0 Z": api.Note.FETCH_OUT}


class Probing:
    """A probe that is out; it stands where an attempt would."""

    __slots__ = ("fields", "limit", "sent_at")

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.limit: Deadline | None = None
        self.fields: dict[str, float] = {}


class Connection:
    """One connection to a cache server; its actor owns it."""

    __slots__ = ("address", "answered_at", "body", "busy", "closed", "idle_since", "owed", "parser", "pipe",
                 "reader", "spoilt", "stall", "written_at", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                 address: tuple[str, int]) -> None:
        self.reader, self.writer, self.address = reader, writer, address
        self.parser = meta.AnswerParser()
        self.busy: Attempt | Probing | None = None
        self.owed = False  # something was written that is not answered yet
        self.spoilt = False  # more has come than was owed: nobody knows what comes next
        self.idle_since = self.written_at = 0.0
        self.answered_at = -DOUBT
        self.stall: Deadline | None = None  # when the rest of a part of an answer must be here
        self.closed = False
        self.body: Pipe | None = None  # the value that is going out on it in pieces, and is not out whole
        self.pipe: Pipe | None = None  # the value that is coming in on it in pieces, and is not in whole

    @property
    def idle_before(self) -> float | None:
        """For how long it was idle before what was written last; None if that was the first."""
        return self.written_at - self.answered_at if self.answered_at > 0 else None

    def is_fresh(self, address: tuple[str, int]) -> bool:
        """Whether it can still carry a request: not spoilt, not ended, and to the server's address of now."""
        return not (self.spoilt or self.closed or self.reader.at_eof() or self.writer.transport.is_closing()
                    or self.address != address)


class IdleRisk:
    """How often connections broke under a request, by how long they had been idle before.

    Guards against servers, or what lies between, that drop idle connections long before the limit in the
    settings and without a word: the next request on such a connection is lost, and may have run.
    """

    def __init__(self) -> None:
        self._shares = [0.0] * 18  # by the number of bits of the ms; the first is for new connections
        self._at = [0.0] * 18

    def _place(self, now: float, idle: float | None) -> int:
        place = 0 if idle is None else min(17, 1 + int(idle).bit_length())
        self._shares[place] *= 0.5 ** ((now - self._at[place]) / RISK_LIFE)  # so that it is tried again
        self._at[place] = now
        return place

    def note(self, now: float, idle: float | None, broke: bool) -> None:
        """Take in what became of a request."""
        place = self._place(now, idle)
        self._shares[place] += (broke - self._shares[place]) * RISK_GAIN

    def beyond_new(self, now: float, idle: float) -> float:
        """Return how much more often it breaks than a new connection does, as a share of requests."""
        return self._shares[self._place(now, idle)] - self._shares[self._place(now, None)]


class Start(NamedTuple):
    """Message: make an attempt, or a probe."""

    job: Attempt | Probing


class Abandon(NamedTuple):
    """Message: stop waiting for an attempt that has its outcome, or a probe."""

    job: Attempt | Probing


class ConnectLate(NamedTuple):
    """Message: a connection has not come up in time."""

    job: Attempt | Probing
    due: float


class Opened(NamedTuple):
    """Message: what became of a connection that was opened for a job."""

    job: Attempt | Probing
    connection: Connection | None


class Answered(NamedTuple):
    """Message: a whole answer, or part of one to 'stats load', has come."""

    connection: Connection
    answer: meta.ServerAnswer
    pipe: Pipe | None = None


class Delivered(NamedTuple):
    """Message: a value that came in pieces is here whole."""

    connection: Connection


class Broken(NamedTuple):
    """Message: a connection has ended, or what comes on it belongs to nothing."""

    connection: Connection


class Stalled(NamedTuple):
    """Message: a part of an answer has come and then nothing; sure when it is looked at again."""

    connection: Connection
    sure: bool
    due: float


class Retire(NamedTuple):
    """Message: close what has been idle for so many ms."""

    idle: float


Message: TypeAlias = Start | Abandon | ConnectLate | Opened | Answered | Delivered | Broken | Stalled | Retire


class ServerActor:
    """One cache server: opens, keeps, uses and closes the connections to it."""

    def __init__(self, fleet: ServerFleet, number: int, address: tuple[str, int]) -> None:
        self.fleet, self.number, self.address = fleet, number, address
        self.mailbox: Mailbox[Message] = Mailbox(MAILBOX)
        self.idle: list[Connection] = []  # the one used last at the end
        self.busy: dict[Attempt | Probing, Connection] = {}
        self.opening: dict[Attempt | Probing, tuple[asyncio.Task[None], Deadline]] = {}
        self.delivering: set[Connection] = set()  # whose value is still coming in, though its attempt has ended
        self.open = 0  # connections open or being opened
        self.shut_at: float | None = None  # when we were told that it drains or is gone
        self.gone_at: float | None = None

    async def run(self) -> None:
        """Take messages for ever."""
        while True:
            for message in self.mailbox.take():
                self._take_in(message)
            await self.mailbox.wait()

    def _take_in(self, message: Message) -> None:
        if isinstance(message, Start):
            self._start(message.job)
        elif isinstance(message, Answered):
            self._answered(message.connection, message.answer, message.pipe)
        elif isinstance(message, Delivered):
            if not message.connection.closed:
                self.delivering.discard(message.connection)
                self._keep(message.connection)
        elif isinstance(message, Opened):
            self._opened(message.job, message.connection)
        elif isinstance(message, Abandon):
            self._abandon(message.job)
        elif isinstance(message, Broken):
            self._broken(message.connection)
        elif isinstance(message, Stalled):
            self._stalled(message.connection, message.sure, message.due)
        elif isinstance(message, ConnectLate):
            if message.job in self.opening and self._is_ours(message.due):
                task, _ = self.opening[message.job]
                self.opening[message.job] = (task, self._await_opening(message.job))
            elif self._stop_opening(message.job):
                self.fleet.counters.note("connections.late")
                self._report(message.job, api.Result.CONNECT_FAILED)
        else:
            self._retire(message.idle)

    # jobs

    def _is_wanted(self, job: Attempt | Probing) -> bool:
        """Look again right before a write: time has passed since the module decided."""
        if self.number in self.fleet.in_maintenance:
            return False
        if isinstance(job, Probing):
            return True
        now = self.fleet.clock.now()
        # A request that ended meanwhile must not run, and one past the drain grace would break the drain.
        if not job.wanted or job.request.over or job.request.withdrawn or now >= job.until:
            return False
        # The window in which a server drops repeats runs on while a connection comes up.
        if now + ON_ITS_WAY >= job.before:
            return False
        return self.shut_at is None or now <= self.shut_at + self.fleet.grace - DRAIN_MARGIN

    def _start(self, job: Attempt | Probing) -> None:
        if not self._is_wanted(job):
            self._report(job, api.Result.MOOT)
        elif (connection := self._take_idle(
                isinstance(job, Attempt) and job.request.is_write)) is not None:
            self._write(connection, job)
        elif not self.fleet.allow_connection():
            self.fleet.counters.note("connections.pool_exhausted")
            self._report(job, api.Result.CONNECT_FAILED)
        else:
            self.open += 1
            task = self.fleet.watcher.start(self._open(job), "open", lambda _: self._tell(Opened(job, None)))
            self.opening[job] = (task, self._await_opening(job))

    def _await_opening(self, job: Attempt | Probing) -> Deadline:
        due = self.fleet.clock.now() + self.fleet.connect_timeout
        return self.fleet.deadlines.set(due, lambda: self._tell(ConnectLate(job, due)))

    def _is_ours(self, due: float) -> bool:
        """Whether we look so late that the fault is ours.

        Guards against giving up, on a core that is too small, connections and answers that are here but not
        looked at yet: each would be tried again, which takes yet more of the core.
        """
        return self.fleet.clock.now() - due > OWN_LATE

    def _take_idle(self, is_write: bool) -> Connection | None:
        """Take the connection used last, but one that has rested if there is one.

        Guards against lines that come right behind an answer: they must not pass for the next one's answer.
        """
        now = self.fleet.clock.now()
        rested = now - REST
        while self.idle:
            at = len(self.idle) - 1
            while at and self.idle[at].idle_since > rested:
                at -= 1
            at = at if self.idle[at].idle_since <= rested else len(self.idle) - 1
            connection = self.idle[at]
            risk = self.fleet.risk.beyond_new(now, now - connection.idle_since)
            if connection.is_fresh(self.address) and risk < RISK_READ:
                if is_write and risk > RISK_WRITE:
                    return None  # one that may not run twice gets a new one
                return self.idle.pop(at)
            self._discard(connection)
        return None

    def _tell(self, message: Message) -> None:
        self.mailbox.must_put(message)

    async def _open(self, job: Attempt | Probing) -> None:
        address = self.address
        try:
            reader, writer = await asyncio.open_connection(*address, limit=READ)
            read_at_most(writer, READ)
        except OSError:
            self._tell(Opened(job, None))
        else:
            self._tell(Opened(job, Connection(reader, writer, address)))

    def _stop_opening(self, job: Attempt | Probing) -> bool:
        if job not in self.opening:
            return False
        task, late = self.opening.pop(job)
        task.cancel()
        self.fleet.deadlines.clear(late)
        self.open -= 1
        return True

    def _opened(self, job: Attempt | Probing, connection: Connection | None) -> None:
        if job not in self.opening:  # given up while it came up
            if connection is not None:
                connection.writer.transport.abort()
            return
        _, late = self.opening.pop(job)
        self.fleet.deadlines.clear(late)
        if connection is None:
            self.open -= 1
            self.fleet.counters.note("connections.refused")
            self._report(job, api.Result.CONNECT_FAILED)
            return
        self.fleet.counters.note("connections.opened")
        self.fleet.watcher.start(
            self._pump(connection), "server-reader", lambda _: self._tell(Broken(connection)))
        if not self._is_wanted(job):
            self._report(job, api.Result.MOOT)
            self._keep(connection)
        elif not connection.is_fresh(self.address):
            # Guards against a new server at an old address, and against one that turned us away at once.
            self._report(job, api.Result.CONNECT_FAILED)
            self._discard(connection)
        else:
            self._write(connection, job)

    def _write(self, connection: Connection, job: Attempt | Probing) -> None:
        writer = connection.writer
        connection.busy, connection.owed = job, True
        connection.written_at = self.fleet.clock.now()
        self.busy[job] = connection
        if isinstance(job, Probing):
            writer.write(b"stats load\r\n" if self.fleet.report_fields else b"mn\r\n")
        elif isinstance(job.request.payload, meta.Command):
            wait = job.until - self.fleet.clock.now()
            if job.request.body is not None:  # its time runs from its last byte, which is still to come
                wait = min(wait, job.request.payload.wait, job.request.cls.deadline)
            writer.writelines(meta.pass_on(job.request.payload, wait))
            if job.request.body is None:
                self.fleet.router.telemetry.backend_calls += 1
            else:
                connection.body = job.request.body
                self.fleet.watcher.start(
                    self._send(connection, job.request.body), "body", lambda _: self._tell(Broken(connection)))

    async def _send(self, connection: Connection, body: Pipe) -> None:
        """Write a value as its pieces come, no faster than the server takes them."""
        try:
            while not connection.closed and not body.is_over():
                pieces = body.take()
                for piece in pieces:
                    if body.whole and piece is pieces[-1] and not body.has_more():
                        connection.body = None  # the last byte goes out with this piece: from now on it may have run
                        self.fleet.router.telemetry.backend_calls += 1
                    connection.writer.write(piece)
                    await connection.writer.drain()
                await body.until_more()
        except OSError:
            self._tell(Broken(connection))

    def _abandon(self, job: Attempt | Probing) -> None:
        self._stop_opening(job)
        if (connection := self.busy.get(job)) is not None:
            self._discard(connection)

    def _report(self, job: Attempt | Probing, result: api.Result,
                answer: meta.ServerAnswer | None = None, pipe: Pipe | None = None) -> None:
        """Tell the module's actor how a job ended. What it no longer waits for it drops itself."""
        fields = self.fleet.report_fields
        load = answer.load if answer is not None else None
        if isinstance(job, Probing):
            self.fleet.deadlines.clear(job.limit)
            load = job.fields
        # A report that lacks a field says nothing: a queue that is not told is not a queue of none.
        report = tuple(load[f] for f in fields) if load and all(f in load for f in fields) else ()
        if isinstance(job, Probing):
            elapsed = self.fleet.clock.now() - job.sent_at
            self.fleet.router.mailbox.must_put(api.ProbeResult(self.number, result, elapsed, report))
        else:
            note = NOTES.get(answer.note, api.Note.NONE) if answer is not None else api.Note.NONE
            self.fleet.router.mailbox.must_put(Ended(job, result, note, report, answer, pipe))

    # connections

    async def _pump(self, connection: Connection) -> None:
        """Read a connection until it ends, busy or idle: so an idle one's end is seen at once."""
        try:
            while data := await connection.reader.read(READ):
                if not self._heard(connection, data):
                    break
                if connection.pipe is not None and not await self._until_not_full(connection, connection.pipe):
                    break
        except OSError:
            pass
        self._tell(Broken(connection))

    async def _until_not_full(self, connection: Connection, pipe: Pipe) -> bool:
        """Wait until more of a value may be read; False if nobody takes it any more."""
        if pipe.is_full():
            self.fleet.deadlines.clear(connection.stall)
            connection.stall = None
            await pipe.until_not_full()
            self._await_rest(connection, connection.parser.is_midway(), sure=False)
        return not pipe.abandoned

    def _heard(self, connection: Connection, data: bytes) -> bool:
        """Take in what has come; False once nothing more on this connection can be believed.

        Guards against a second copy, noise or a stray line behind an answer: the answer stands, and the
        connection is not used again, so that what follows can't pass for the answer to the next request.
        """
        for item in connection.parser.feed(data):
            if not connection.owed:
                connection.spoilt = True
                break
            if isinstance(item, meta.Part):
                self._part(connection, item)
                continue
            # Of STAT the END is still to come, and of a value in pieces the pieces.
            connection.owed = item.kind == meta.Kind.STAT or item.in_pieces
            if connection.pipe is not None:
                # What came instead of the value's end is no answer: the value has broken off.
                connection.spoilt = True
                connection.pipe.end(False)
                break
            connection.pipe = Pipe(self.fleet.budget) if item.in_pieces else None
            self._tell(Answered(connection, item, connection.pipe))
        midway = connection.parser.is_midway()
        if midway and not connection.owed:
            connection.spoilt = True
        if connection.spoilt:
            self.fleet.counters.note("servers.stray_answers")
            return False
        if midway or connection.stall is not None:
            self._await_rest(connection, midway, sure=False)
        return True

    def _part(self, connection: Connection, part: meta.Part) -> None:
        """Take in a piece of a value."""
        assert connection.pipe is not None
        connection.pipe.put(part.data)
        if part.last:
            connection.owed = False
            connection.pipe.end(True)
            connection.pipe = None
            self._tell(Delivered(connection))

    def _await_rest(self, connection: Connection, midway: bool, sure: bool) -> None:
        self.fleet.deadlines.clear(connection.stall)
        connection.stall = None
        if midway and not connection.closed:
            due = self.fleet.clock.now() + (STALL if connection.pipe is None else PIECES_STALL) / 2
            connection.stall = self.fleet.deadlines.set(
                due, lambda: self._tell(Stalled(connection, sure, due)))

    def _stalled(self, connection: Connection, sure: bool, due: float) -> None:
        """Guards against an answer that stops short: its rest will not come, and the request has time left.

        It is looked at twice, so that after a pause of this process what lies unread is read first.
        """
        connection.stall = None
        if not sure or self._is_ours(due):
            self._await_rest(connection, connection.parser.is_midway(), sure=True)
        elif not connection.closed and connection.parser.is_midway():
            self.fleet.counters.note("servers.stalled")
            if connection.busy is not None:
                self._report(connection.busy, api.Result.RESET)
            self._discard(connection)

    def _answered(self, connection: Connection, answer: meta.ServerAnswer, pipe: Pipe | None = None) -> None:
        job = connection.busy
        if connection.closed:
            if pipe is not None:
                pipe.end(False)
            return
        if isinstance(job, Probing):
            self._probed(connection, job, answer)
        elif job is not None:
            self._attempted(connection, job, answer, pipe)

    def _attempted(self, connection: Connection, job: Attempt, answer: meta.ServerAnswer,
                   pipe: Pipe | None = None) -> None:
        command, kind = job.request.payload, answer.kind
        # A spoilt answer is a broken connection to the module: only the server's own word is its error.
        result = api.Result.ERROR if kind == meta.Kind.FAILED else api.Result.RESET
        if kind == meta.Kind.BUSY:
            # Guards the never-twice rule: right behind an answer it may be a stray line, and prove nothing.
            doubtful = job.request.is_write and connection.written_at - connection.answered_at < DOUBT
            result = api.Result.RESET if doubtful else api.Result.FULL
        elif kind in (meta.Kind.VALUE, meta.Kind.RECEIPT):
            fits = isinstance(command, meta.Command) and command.id == answer.id
            if fits and job.request.is_write == (kind == meta.Kind.RECEIPT):
                result = api.Result.OK
        if result == api.Result.RESET and kind != meta.Kind.BUSY:
            # Not an answer to what was asked: nobody knows what the next one on this connection would answer.
            self.fleet.counters.note("servers.bad_answers")
            if self.fleet.counters["servers.bad_answers"] <= MAX_LOGGED:
                log.info("bad-answer", server=f"{connection.address[0]}:{connection.address[1]}", kind=kind.name,
                         says=repr(b"".join(answer.text)[:80]))
            self._report(job, result)
            self._discard(connection)
            return
        self._report(job, result, answer, pipe)
        self.fleet.risk.note(self.fleet.clock.now(), connection.idle_before, False)
        connection.answered_at = self.fleet.clock.now()
        if connection.body is not None:
            self._discard(connection)  # answered before all was written: what is still to come belongs to nothing
        elif pipe is None:
            self._keep(connection)
        else:
            self.delivering.add(connection)
            self._release(connection)  # its answer is here; what follows is delivery, and Delivered comes behind it

    def _probed(self, connection: Connection, job: Probing, answer: meta.ServerAnswer) -> None:
        if answer.kind == meta.Kind.STAT:
            job.fields.update(answer.load or {})
            return
        fine = answer.kind in (meta.Kind.END, meta.Kind.READY)
        if answer.load:
            job.fields.update(answer.load)
        self._report(job, api.Result.OK if fine else api.Result.ERROR)
        self._keep(connection) if answer.kind != meta.Kind.OTHER else self._discard(connection)

    def _broken(self, connection: Connection) -> None:
        job = connection.busy
        if job is not None:
            # It was handed to the system whole or nearly so; as nobody can tell, it may have run.
            self.fleet.risk.note(self.fleet.clock.now(), connection.idle_before, True)
            if connection.idle_before is not None:
                self.fleet.counters.note("connections.reset_reused")
            # A value that has not gone out whole has not begun to run.
            never = connection.body is not None
            self._report(job, api.Result.CONNECT_FAILED if never else api.Result.RESET)
        self._discard(connection)

    def _release(self, connection: Connection) -> None:
        if connection.busy is not None:
            self.busy.pop(connection.busy, None)
            connection.busy = None

    def _keep(self, connection: Connection) -> None:
        """The one place where a connection that is good goes back to the pool."""
        self._release(connection)
        if not connection.is_fresh(self.address):
            self._discard(connection)
            return
        connection.idle_since = self.fleet.clock.now()
        self.idle.append(connection)

    def _discard(self, connection: Connection) -> None:
        """The one place where an open connection is closed; at once, so no rest of a request leaves."""
        if connection.closed:
            return
        connection.closed = True
        self.fleet.deadlines.clear(connection.stall)
        if connection.pipe is not None:
            connection.pipe.end(False)
        if connection.body is not None:
            connection.body.abandon()
        self._release(connection)
        self.delivering.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.open -= 1
        self.fleet.counters.note("connections.closed")
        connection.writer.transport.abort()

    def _retire(self, idle: float) -> None:
        before = self.fleet.clock.now() - idle
        for connection in [c for c in self.idle if c.idle_since <= before]:
            self._discard(connection)

    def close(self) -> None:
        """Close everything."""
        for job in list(self.opening):
            self._stop_opening(job)
        for connection in [*self.idle, *self.busy.values(), *self.delivering]:
            self._discard(connection)


class ServerFleet:
    """Owns the actors of all cache servers that lists have named, and the budget of their connections."""

    def __init__(self, settings: api.Settings, router: Router, watcher: Watcher, most: int,
                 idle_close: float) -> None:
        self.router, self.watcher, self.most = router, watcher, most
        self.clock, self.counters, self.deadlines = router.clock, router.counters, router.deadlines
        self.risk = IdleRisk()
        self.retune(settings, idle_close)
        self.in_maintenance: set[int] = set()  # servers that operators leave out
        self.budget = ByteBudget(0)  # for values that come in pieces
        self.actors: dict[int, ServerActor] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self._look()

    def retune(self, settings: api.Settings, idle_close: float) -> None:
        """Take in settings, the first or new ones."""
        self.grace, self.connect_timeout = settings.drain_grace, settings.connect_timeout
        self.report_fields = settings.report_fields
        self.retire_after = idle_close * RETIRE_SHARE

    def set_maintenance(self, server: int, out: bool) -> None:
        """Write nothing new to a server from now on, or write to it again."""
        if not out:
            self.in_maintenance.discard(server)
            return
        self.in_maintenance.add(server)
        self.close_idle(server)

    def _look(self) -> None:
        now = self.clock.now()
        for number, actor in list(self.actors.items()):
            actor.mailbox.must_put(Retire(self.retire_after))
            unused = not actor.busy and not actor.opening and not actor.delivering
            if actor.gone_at is not None and now - actor.gone_at > FORGET_AFTER and unused:
                self._end(number)
        self.deadlines.set(now + LOOK_EVERY, self._look)

    def _end(self, number: int) -> None:
        self.actors.pop(number).close()
        self.tasks.pop(number).cancel()

    def listed(self, listing: Listed, now: float) -> None:
        """Take in a list: who is new, who has moved, who drains or is gone."""
        event = listing.event
        if event.kind == api.ListKind.FAILED:
            return
        shut = {m.server: m.state for m in event.members if m.state != api.ServerState.READY}
        if event.kind != api.ListKind.DELTA:
            named = {m.server for m in event.members}
            shut.update({n: api.ServerState.GONE for n in self.actors if n not in named})
        for number, address in listing.addresses.items():
            actor = self.actors.get(number)
            if actor is None:
                actor = self.actors[number] = ServerActor(self, number, address)
                self._run(actor)
            elif actor.address != address:
                actor.address = address
                actor.mailbox.must_put(Retire(0.0))
        for number, actor in self.actors.items():
            if number in shut:
                if actor.shut_at is None:
                    actor.shut_at = now
                    actor.mailbox.must_put(Retire(0.0))  # nothing new goes there: give descriptors back
                if shut[number] == api.ServerState.GONE:
                    actor.gone_at = now if actor.gone_at is None else actor.gone_at
            elif number in listing.addresses:
                actor.shut_at = actor.gone_at = None

    def _run(self, actor: ServerActor) -> None:
        def died(_: BaseException) -> None:
            # Guards against attempts that nobody would end: each gets its outcome, then all starts anew.
            self.counters.note("servers.actor_died")
            for job in [*actor.opening, *actor.busy]:
                actor._report(job, api.Result.RESET)
            actor.close()
            if self.actors.get(actor.number) is actor:
                self._run(actor)

        self.tasks[actor.number] = self.watcher.start(actor.run(), "server", died)

    def start(self, attempt: Attempt) -> None:
        """Make an attempt."""
        actor = self.actors.get(attempt.server)
        if actor is None or not actor.mailbox.put(Start(attempt)):
            self.router.mailbox.must_put(Ended(attempt, api.Result.CONNECT_FAILED))

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt."""
        if (actor := self.actors.get(attempt.server)) is not None:
            actor.mailbox.must_put(Abandon(attempt))

    def probe(self, server: int) -> None:
        """Check a server."""
        job, actor = Probing(self.clock.now()), self.actors.get(server)
        if actor is None:
            self.router.mailbox.must_put(api.ProbeResult(server, api.Result.CONNECT_FAILED, 0.0))
            return

        def late(actor: ServerActor = actor) -> None:
            actor._report(job, api.Result.TIMEOUT)
            actor.mailbox.must_put(Abandon(job))

        job.limit = self.deadlines.set(self.clock.now() + self.connect_timeout + PROBE_WAIT, late)
        actor.mailbox.must_put(Start(job))

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        if (actor := self.actors.get(server)) is not None:
            actor.mailbox.must_put(Retire(0.0))

    def allow_connection(self) -> bool:
        """Tell whether one more connection may be opened; close the one idle longest if need be."""
        if sum(a.open for a in self.actors.values()) < self.most:
            return True
        idle = [(a.idle[0].idle_since, n) for n, a in self.actors.items() if a.idle]
        if not idle:
            return False
        actor = self.actors[min(idle)[1]]
        actor._discard(actor.idle[0])
        return True

    def limit(self, most: int) -> None:
        """Hold so many connections at most; close those idle longest that are too many."""
        self.most = most
        over = sum(a.open for a in self.actors.values()) - most
        idle = sorted(((c.idle_since, a.number, c) for a in self.actors.values() for c in a.idle),
                      key=lambda entry: entry[:2])
        for _, number, connection in idle[:max(0, over)]:
            self.actors[number]._discard(connection)

    def close(self) -> None:
        """Close everything."""
        for number in list(self.actors):
            self._end(number)

