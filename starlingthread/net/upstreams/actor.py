"""The actor of one cache server: decides nothing, carries attempts and probes out on its pool's connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.mailbox import Mailbox
from ...core.messages import Attempt, AttemptEnded
from ...core.pipe import Pipe
from ...events import AttemptResult, CacheStatus, HealthCheckResult
from ...logs import log
from .. import meta
from .connection import DOUBT, Connection, Job, Probing
from .messages import (
    Abandon,
    Answered,
    Broken,
    ConnectLate,
    Delivered,
    Message,
    Opened,
    Stalled,
    Start,
)
from .opening import Opening
from .pool import Pool
from .reader import Reader

if TYPE_CHECKING:
    from .fleet import ServerFleet

MAILBOX = 10000
MAX_LOGGED = 20  # bad answers that get a log line; all are counted
DRAIN_MARGIN = 100.0  # ms before the end of the drain grace from which we write nothing more
OWN_LATE = 10.0  # ms after which we look late at something that is due
ON_ITS_WAY = 5.0  # ms that a write takes at least until a server has it
NOTES = {"h1": CacheStatus.HIT, "h0": CacheStatus.MISS, "h0 Z": CacheStatus.FETCH_IN_FLIGHT}


class ServerActor:
    """One cache server: opens, keeps, uses and closes the connections to it."""

    def __init__(self, fleet: ServerFleet, number: int, address: tuple[str, int]) -> None:
        self.fleet, self.number = fleet, number
        self.mailbox: Mailbox[Message] = Mailbox(MAILBOX)
        self.pool = Pool(fleet, address)
        self.opening = Opening(fleet, self.pool, self.tell)
        self.reader = Reader(fleet, self.tell)
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
                self.pool.keep(message.connection)
        elif isinstance(message, Opened):
            self._opened(message.job, message.connection)
        elif isinstance(message, Abandon):
            self._abandon(message.job)
        elif isinstance(message, Broken):
            self._broken(message.connection)
        elif isinstance(message, Stalled):
            self._stalled(message.connection, message.sure, message.due)
        elif isinstance(message, ConnectLate):
            if message.job in self.opening.jobs and self._is_ours(message.due):
                self.opening.wait_on(message.job)
            elif self.opening.stop(message.job):
                self.fleet.counters.increment("connections.late")
                self.report(message.job, AttemptResult.CONNECT_FAILED)
        else:
            self.pool.retire(message.idle)

    # jobs

    def _is_wanted(self, job: Job) -> bool:
        """Look again right before a write: time has passed since the module decided."""
        if self.number in self.fleet.in_maintenance:
            return False
        if isinstance(job, Probing):
            return True
        now = self.fleet.clock.now()
        # A request that ended meanwhile must not run, and one past the drain grace would break the drain.
        if not job.pending or job.request.finished or job.request.cancelled or now >= job.deadline:
            return False
        # The window in which a server drops repeats runs on while a connection comes up.
        if now + ON_ITS_WAY >= job.write_deadline:
            return False
        return self.shut_at is None or now <= self.shut_at + self.fleet.grace - DRAIN_MARGIN

    def _start(self, job: Job) -> None:
        if not self._is_wanted(job):
            self.report(job, AttemptResult.NOT_SENT)
        elif (connection := self.pool.take(isinstance(job, Attempt) and job.request.is_write)) is not None:
            self._write(connection, job)
        elif not self.fleet.allow_connection():
            self.fleet.counters.increment("connections.pool_exhausted")
            self.report(job, AttemptResult.CONNECT_FAILED)
        else:
            self.opening.start(job)

    def _is_ours(self, due: float) -> bool:
        """Whether we look so late that the fault is ours.

        Guards against giving up, on a core that is too small, connections and answers that are here but not
        looked at yet: each would be tried again, which takes yet more of the core.
        """
        return self.fleet.clock.now() - due > OWN_LATE

    def tell(self, message: Message) -> None:
        """Leave the actor a message that must not get lost."""
        self.mailbox.must_put(message)

    def _opened(self, job: Job, connection: Connection | None) -> None:
        if not self.opening.ended(job, connection):
            return
        if connection is None:
            self.fleet.counters.increment("connections.refused")
            self.report(job, AttemptResult.CONNECT_FAILED)
            return
        self.fleet.counters.increment("connections.opened")
        self.fleet.watcher.start(self.reader.run(connection), "server-reader", lambda _: self.tell(Broken(connection)))
        if not self._is_wanted(job):
            self.report(job, AttemptResult.NOT_SENT)
            self.pool.keep(connection)
        elif not connection.is_fresh(self.pool.address):
            # Guards against a new server at an old address, and against one that turned us away at once.
            self.report(job, AttemptResult.CONNECT_FAILED)
            self.pool.discard(connection)
        else:
            self._write(connection, job)

    def _write(self, connection: Connection, job: Job) -> None:
        writer = connection.writer
        self.pool.lend(connection, job)
        if isinstance(job, Probing):
            writer.write(b"stats load\r\n" if self.fleet.report_fields else b"mn\r\n")
        elif isinstance(job.request.payload, meta.Command):
            wait = job.deadline - self.fleet.clock.now()
            if job.request.body is not None:  # its time runs from its last byte, which is still to come
                wait = min(wait, job.request.payload.timeout_ms, job.request.request_class.deadline)
            writer.writelines(meta.forward_command(job.request.payload, wait))
            if job.request.body is None:
                self.fleet.router.telemetry.backend_calls += 1
            else:
                connection.body = job.request.body
                self.fleet.watcher.start(
                    self._send(connection, job.request.body), "body", lambda _: self.tell(Broken(connection))
                )

    async def _send(self, connection: Connection, body: Pipe) -> None:
        """Write a value as its pieces come, no faster than the server takes them."""
        try:
            while not connection.closed and not body.is_finished():
                pieces = body.take()
                for piece in pieces:
                    if body.complete and piece is pieces[-1] and not body.has_more():
                        connection.body = None  # the last byte goes out with this piece: from now on it may have run
                        self.fleet.router.telemetry.backend_calls += 1
                    connection.writer.write(piece)
                    await connection.writer.drain()
                await body.until_more()
        except OSError:
            self.tell(Broken(connection))

    def _abandon(self, job: Job) -> None:
        self.opening.stop(job)
        if (connection := self.pool.busy.get(job)) is not None:
            self.pool.discard(connection)

    def report(
        self, job: Job, result: AttemptResult, answer: meta.ServerAnswer | None = None, pipe: Pipe | None = None
    ) -> None:
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
            self.fleet.router.mailbox.must_put(HealthCheckResult(self.number, result, elapsed, report))
        else:
            note = NOTES.get(answer.cache_note, CacheStatus.NONE) if answer is not None else CacheStatus.NONE
            self.fleet.router.mailbox.must_put(AttemptEnded(job, result, note, report, answer, pipe))

    def _stalled(self, connection: Connection, sure: bool, due: float) -> None:
        """Guards against an answer that stops short: its rest will not come, and the request has time left.

        It is looked at twice, so that after a pause of this process what lies unread is read first.
        """
        connection.stall = None
        if not sure or self._is_ours(due):
            self.reader.await_rest(connection, connection.parser.has_partial_input(), sure=True)
        elif not connection.closed and connection.parser.has_partial_input():
            self.fleet.counters.increment("servers.stalled")
            if connection.busy is not None:
                self.report(connection.busy, AttemptResult.RESET)
            self.pool.discard(connection)

    def _answered(self, connection: Connection, answer: meta.ServerAnswer, pipe: Pipe | None = None) -> None:
        job = connection.busy
        if connection.closed:
            if pipe is not None:
                pipe.finish(False)
            return
        if isinstance(job, Probing):
            self._probed(connection, job, answer)
        elif job is not None:
            self._attempted(connection, job, answer, pipe)

    def _attempted(
        self, connection: Connection, job: Attempt, answer: meta.ServerAnswer, pipe: Pipe | None = None
    ) -> None:
        command, kind = job.request.payload, answer.kind
        # A spoilt answer is a broken connection to the module: only the server's own word is its error.
        result = AttemptResult.ERROR if kind == meta.AnswerKind.FAILED else AttemptResult.RESET
        if kind == meta.AnswerKind.BUSY:
            # Guards the never-twice rule: right behind an answer it may be a stray line, and prove nothing.
            doubtful = job.request.is_write and connection.written_at - connection.answered_at < DOUBT
            result = AttemptResult.RESET if doubtful else AttemptResult.FULL
        elif kind in (meta.AnswerKind.VALUE, meta.AnswerKind.RECEIPT):
            fits = isinstance(command, meta.Command) and command.request_id == answer.request_id
            if fits and job.request.is_write == (kind == meta.AnswerKind.RECEIPT):
                result = AttemptResult.OK
        if result == AttemptResult.RESET and kind != meta.AnswerKind.BUSY:
            # Not an answer to what was asked: nobody knows what the next one on this connection would answer.
            self.fleet.counters.increment("servers.bad_answers")
            if self.fleet.counters["servers.bad_answers"] <= MAX_LOGGED:
                log.info(
                    "bad-answer",
                    server=f"{connection.address[0]}:{connection.address[1]}",
                    kind=kind.name,
                    says=repr(b"".join(answer.parts)[:80]),
                )
            self.report(job, result)
            self.pool.discard(connection)
            return
        self.report(job, result, answer, pipe)
        self.fleet.risk.note(self.fleet.clock.now(), connection.idle_before, False)
        connection.answered_at = self.fleet.clock.now()
        if connection.body is not None:
            self.pool.discard(connection)  # answered before all was written: what is still to come belongs to nothing
        elif pipe is None:
            self.pool.keep(connection)
        else:
            self.pool.deliver(connection)  # Delivered comes behind it

    def _probed(self, connection: Connection, job: Probing, answer: meta.ServerAnswer) -> None:
        if answer.kind == meta.AnswerKind.STAT:
            job.fields.update(answer.load or {})
            return
        fine = answer.kind in (meta.AnswerKind.END, meta.AnswerKind.READY)
        if answer.load:
            job.fields.update(answer.load)
        self.report(job, AttemptResult.OK if fine else AttemptResult.ERROR)
        self.pool.keep(connection) if answer.kind != meta.AnswerKind.OTHER else self.pool.discard(connection)

    def _broken(self, connection: Connection) -> None:
        job = connection.busy
        if job is not None:
            # It was handed to the system whole or nearly so; as nobody can tell, it may have run.
            self.fleet.risk.note(self.fleet.clock.now(), connection.idle_before, True)
            if connection.idle_before is not None:
                self.fleet.counters.increment("connections.reset_reused")
            # A value that has not gone out whole has not begun to run.
            never = connection.body is not None
            self.report(job, AttemptResult.CONNECT_FAILED if never else AttemptResult.RESET)
        self.pool.discard(connection)

    def close(self) -> None:
        """Close everything."""
        self.opening.close()
        self.pool.close()
