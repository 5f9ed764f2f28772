"""The actor of one cache server: it makes no decisions, but runs attempts and health checks on its connections."""

from __future__ import annotations

from typing import assert_never

from ...core.mailbox import Mailbox
from ...core.messages import Attempt
from ...core.pipe import Pipe
from ...events import AttemptResult
from ...logs import log
from .. import meta
from ..late_timers import is_handled_late
from .connection import Connection, Exchange, PendingHealthCheck
from .context import UpstreamContext
from .messages import (
    AbandonExchange,
    AnswerReceived,
    CloseIdle,
    ConnectCompleted,
    ConnectionLost,
    ConnectTimedOut,
    Message,
    ReadTimedOut,
    StartExchange,
    ValueReceived,
)
from .opener import ConnectionOpener
from .pool import ConnectionPool
from .reader import ConnectionReader
from .results import ResultReporter, attempt_result
from .writer import ExchangeWriter

MAILBOX_LIMIT = 10000  # messages
MAX_BAD_ANSWERS_LOGGED = 20  # all are counted
MAX_LOGGED_ANSWER = 80  # bytes of a bad answer
DRAIN_MARGIN_MS = 100.0  # before the end of the drain grace, in which nothing more is written
MIN_TRANSIT_MS = 5.0  # that a write takes at least to reach a server


class ServerActor:
    """One cache server: opens, reuses and closes the connections to it."""

    def __init__(self, context: UpstreamContext, number: int, address: tuple[str, int]) -> None:
        self._context = context
        self.number = number
        self.mailbox: Mailbox[Message] = Mailbox(MAILBOX_LIMIT)
        self.pool = ConnectionPool(context, address)
        self.opener = ConnectionOpener(context, self.pool, self.post)
        self.reader = ConnectionReader(context, self.post)
        self.writer = ExchangeWriter(context, self.pool, self.post)
        self.reporter = ResultReporter(context, number)
        self.draining_since: float | None = None  # when a list first said that it is draining or removed
        self.removed_at: float | None = None

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            for message in self.mailbox.take():
                self.handle(message)
            await self.mailbox.wait()

    def post(self, message: Message) -> None:
        """Put a message that must not be lost into the mailbox."""
        self.mailbox.force_put(message)

    def close(self) -> None:
        """Close all connections, pending ones too."""
        self.opener.cancel_all()
        self.pool.close_all()

    def handle(self, message: Message) -> None:
        """Dispatch one message."""
        # Patterns without captures, as this runs several times for each request and captures cost twice the time.
        match message:
            case StartExchange():
                self._start(message.exchange)
            case AnswerReceived():
                self._on_answer(message.connection, message.answer, message.pipe)
            case ValueReceived():
                if not message.connection.closed:
                    self.pool.release(message.connection)
            case ConnectCompleted():
                self._on_connect_completed(message.exchange, message.connection)
            case AbandonExchange():
                self._abandon(message.exchange)
            case ConnectionLost():
                self._on_connection_lost(message.connection)
            case ReadTimedOut():
                self._on_read_timeout(message.connection, message.is_recheck, message.due)
            case ConnectTimedOut():
                self._on_connect_timeout(message.exchange, message.due)
            case CloseIdle():
                self.pool.close_idle(message.min_idle)
            case _:
                assert_never(message)

    # starting an exchange

    def _may_write(self, exchange: Exchange) -> bool:
        """Check again right before a write, as time has passed since the router decided to send."""
        if self.number in self._context.in_maintenance:
            return False
        return isinstance(exchange, PendingHealthCheck) or self._may_write_attempt(exchange)

    def _may_write_attempt(self, attempt: Attempt) -> bool:
        now = self._context.clock.now()
        request = attempt.request
        # A request that ended meanwhile must not be executed.
        if not attempt.pending or request.finished or request.cancelled or now >= attempt.deadline:
            return False
        # The window in which a server recognises a duplicate by its idempotency key runs on during the connect.
        if now + MIN_TRANSIT_MS >= attempt.write_deadline:
            return False
        # A request written past the drain grace would violate the graceful shutdown.
        if self.draining_since is None:
            return True
        return now <= self.draining_since + self._context.settings.drain_grace - DRAIN_MARGIN_MS

    def _start(self, exchange: Exchange) -> None:
        if not self._may_write(exchange):
            self.reporter.report(exchange, AttemptResult.NOT_SENT)
            return
        connection = self.pool.acquire(isinstance(exchange, Attempt) and exchange.request.is_write)
        if connection is not None:
            self.writer.write(connection, exchange)
        elif self._context.may_open_connection():
            self.opener.start(exchange)
        else:
            self._context.counters.increment("connections.pool_exhausted")
            self.reporter.report(exchange, AttemptResult.CONNECT_FAILED)

    def _on_connect_completed(self, exchange: Exchange, connection: Connection | None) -> None:
        if not self.opener.complete(exchange, connection):
            return
        if connection is None:
            self._context.counters.increment("connections.connect_failed")
            self.reporter.report(exchange, AttemptResult.CONNECT_FAILED)
            return
        self._context.counters.increment("connections.opened")
        work = self.reader.run(connection)
        self._context.supervisor.start(work, "server-reader", lambda _: self.post(ConnectionLost(connection)))
        if not self._may_write(exchange):
            self.reporter.report(exchange, AttemptResult.NOT_SENT)
            self.pool.release(connection)
        elif not connection.is_reusable(self.pool.address):
            # Guards against a new server at an old address, and against one that closed the connection at once.
            self.reporter.report(exchange, AttemptResult.CONNECT_FAILED)
            self.pool.close_connection(connection)
        else:
            self.writer.write(connection, exchange)

    def _on_connect_timeout(self, exchange: Exchange, due: float) -> None:
        if exchange in self.opener.pending and is_handled_late(self._context.clock, due):
            self.opener.extend(exchange)
        elif self.opener.cancel(exchange):
            self._context.counters.increment("connections.connect_timeout")
            self.reporter.report(exchange, AttemptResult.CONNECT_FAILED)

    def _abandon(self, exchange: Exchange) -> None:
        self.opener.cancel(exchange)
        connection = self.pool.busy.get(exchange)
        if connection is not None:
            self.pool.close_connection(connection)

    # what arrives on a connection

    def _on_answer(self, connection: Connection, answer: meta.ServerAnswer, pipe: Pipe | None) -> None:
        exchange = connection.exchange
        if connection.closed:
            if pipe is not None:
                pipe.finish(False)
        elif isinstance(exchange, PendingHealthCheck):
            self._on_health_check_answer(connection, exchange, answer)
        elif exchange is not None:
            self._on_attempt_answer(connection, exchange, answer, pipe)

    def _on_attempt_answer(
        self, connection: Connection, attempt: Attempt, answer: meta.ServerAnswer, pipe: Pipe | None
    ) -> None:
        result = attempt_result(connection, attempt, answer)
        if result == AttemptResult.RESET and answer.kind != meta.AnswerKind.BUSY:
            # It does not answer the request, so the next answer on this connection can't be trusted either.
            self._record_bad_answer(connection, answer)
            self.reporter.report(attempt, result)
            self.pool.close_connection(connection)
            return
        self.reporter.report(attempt, result, answer, pipe)
        now = self._context.clock.now()
        self._context.idle_failure_rates.record(now, connection.idle_before_write, broke=False)
        connection.answered_at = now
        if connection.request_body is not None:
            # Answered before all of the value was written: what still arrives belongs to no request.
            self.pool.close_connection(connection)
        elif pipe is None:
            self.pool.release(connection)
        else:
            self.pool.mark_streaming(connection)  # until ValueReceived

    def _record_bad_answer(self, connection: Connection, answer: meta.ServerAnswer) -> None:
        counters = self._context.counters
        counters.increment("servers.bad_answers")
        if counters["servers.bad_answers"] <= MAX_BAD_ANSWERS_LOGGED:
            log.info(
                "bad-answer",
                server=f"{connection.address[0]}:{connection.address[1]}",
                kind=answer.kind.name,
                received=repr(b"".join(answer.parts)[:MAX_LOGGED_ANSWER]),
            )

    def _on_health_check_answer(
        self, connection: Connection, check: PendingHealthCheck, answer: meta.ServerAnswer
    ) -> None:
        if answer.load:
            check.load.update(answer.load)
        if answer.kind == meta.AnswerKind.STAT:
            return  # a line of several
        is_healthy = answer.kind in (meta.AnswerKind.END, meta.AnswerKind.READY)
        self.reporter.report(check, AttemptResult.OK if is_healthy else AttemptResult.ERROR)
        if answer.kind == meta.AnswerKind.OTHER:
            self.pool.close_connection(connection)
        else:
            self.pool.release(connection)

    def _on_read_timeout(self, connection: Connection, is_recheck: bool, due: float) -> None:
        """Give up a partial answer whose rest does not arrive, while the request has time left.

        It takes two time-outs, so that after a pause of this process the data that is unread is read first.
        """
        connection.read_timer = None
        is_partial = connection.parser.has_partial_input()
        if not is_recheck or is_handled_late(self._context.clock, due):
            self.reader.set_read_timeout(connection, is_partial, is_recheck=True)
        elif is_partial and not connection.closed:
            self._context.counters.increment("servers.stalled")
            if connection.exchange is not None:
                self.reporter.report(connection.exchange, AttemptResult.RESET)
            self.pool.close_connection(connection)

    def _on_connection_lost(self, connection: Connection) -> None:
        exchange = connection.exchange
        if exchange is not None:
            now = self._context.clock.now()
            self._context.idle_failure_rates.record(now, connection.idle_before_write, broke=True)
            if connection.idle_before_write is not None:
                self._context.counters.increment("connections.reset_reused")
            # A streamed value that was not written in full has not been executed. Anything else was handed to the
            # system in full or nearly so: nobody can tell, so it may have been.
            never_executed = connection.request_body is not None
            self.reporter.report(exchange, AttemptResult.CONNECT_FAILED if never_executed else AttemptResult.RESET)
        self.pool.close_connection(connection)
