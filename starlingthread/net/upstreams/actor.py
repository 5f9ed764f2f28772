"""The actor of one cache server: runs the attempts and health checks that the router has decided on."""

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

MAX_MAILBOX_MESSAGES = 10000
MAX_BAD_ANSWERS_LOGGED = 20  # bad answers after these are counted but not logged
MAX_LOGGED_ANSWER_BYTES = 80
# Nothing more is written to a draining server in this last part of its grace period.
DRAIN_MARGIN_MS = 100.0
MIN_TRANSIT_MS = 5.0  # minimum time from a write until it reaches the server


class ServerActor:
    """One cache server: opens, reuses and closes the connections to it."""

    def __init__(self, context: UpstreamContext, number: int, address: tuple[str, int]) -> None:
        self._context = context
        self.number = number
        self.mailbox: Mailbox[Message] = Mailbox(MAX_MAILBOX_MESSAGES)
        self.pool = ConnectionPool(context, address)
        self.opener = ConnectionOpener(context, self.pool, self.post)
        self.reader = ConnectionReader(context, self.post)
        self.writer = ExchangeWriter(context, self.pool, self.post)
        self.reporter = ResultReporter(context, number)
        self.draining_since: float | None = None  # clock ms of the first list with the server draining or removed
        self.removed_at: float | None = None  # clock ms

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            for message in self.mailbox.take():
                self.handle(message)
            await self.mailbox.wait()

    def post(self, message: Message) -> None:
        """Put a message into the mailbox, even if that is full, so that it is not lost."""
        self.mailbox.force_put(message)

    def close(self) -> None:
        """Close all connections, including those being established."""
        self.opener.cancel_all()
        self.pool.close_all()

    def handle(self, message: Message) -> None:
        """Dispatch one message."""
        # This runs several times per request. The patterns have no captures, because captures take twice the time.
        match message:
            case StartExchange():
                self._start(message.exchange)
            case AnswerReceived():
                self._on_answer(message.connection, message.answer, message.pipe)
            case ValueReceived():
                self._on_value_received(message.connection)
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

    # Starting an exchange

    def _may_write(self, exchange: Exchange) -> bool:
        """Check again immediately before a write, because time has passed since the router decided to send."""
        if self.number in self._context.in_maintenance:
            return False
        return isinstance(exchange, PendingHealthCheck) or self._may_write_attempt(exchange)

    def _may_write_attempt(self, attempt: Attempt) -> bool:
        now = self._context.clock.now()
        request = attempt.request
        # A request that has ended in the meantime must not be executed.
        if not attempt.pending or request.finished or request.cancelled or now >= attempt.deadline:
            return False
        if not request.requester.may_start_attempt():
            self._context.counters.increment("attempts.requester_unseen")
            return False
        # The window in which a server recognises a duplicate by its idempotency key may have closed during the connect.
        if now + MIN_TRANSIT_MS >= attempt.write_deadline:
            return False
        # A request written after the grace period of a draining server would violate the graceful shutdown.
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
        coroutine = self.reader.run(connection)
        self._context.supervisor.start(coroutine, "server-reader", lambda _: self.post(ConnectionLost(connection)))
        if not self._may_write(exchange):
            self.reporter.report(exchange, AttemptResult.NOT_SENT)
            self.pool.release(connection)
        elif not connection.is_reusable(self.pool.generation):
            # The server has moved or was replaced, or it closed the connection at once.
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

    # Answers, timeouts and ends of connections

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
            # The answer does not belong to the request, so the next one on this connection can't be trusted either.
            self._record_bad_answer(connection, answer)
            self.reporter.report(attempt, result)
            self.pool.close_connection(connection)
            return
        self.reporter.report(attempt, result, answer, pipe)
        now = self._context.clock.now()
        self._context.idle_failure_rates.record(now, connection.idle_before_write, failed=False)
        connection.answered_at = now
        if connection.request_body is not None:
            # The server answered before the whole value was written: data that still arrives belongs to no request.
            self.pool.close_connection(connection)
        elif pipe is None:
            self.pool.release(connection)
        else:
            self.pool.mark_streaming(connection)  # ValueReceived ends this state

    def _on_value_received(self, connection: Connection) -> None:
        if connection.closed:
            return
        # The answer ends here and not with its head: stray lines that follow it closely still belong to it.
        connection.answered_at = self._context.clock.now()
        self.pool.release(connection)

    def _record_bad_answer(self, connection: Connection, answer: meta.ServerAnswer) -> None:
        counters = self._context.counters
        counters.increment("servers.bad_answers")
        if counters["servers.bad_answers"] <= MAX_BAD_ANSWERS_LOGGED:
            log.info(
                "bad-answer",
                server=f"{connection.address[0]}:{connection.address[1]}",
                kind=answer.kind.name,
                received=repr(b"".join(answer.parts)[:MAX_LOGGED_ANSWER_BYTES]),
            )

    def _on_health_check_answer(
        self, connection: Connection, check: PendingHealthCheck, answer: meta.ServerAnswer
    ) -> None:
        if answer.load:
            fields = self._context.settings.load_report_fields
            check.load.update((name, value) for name, value in answer.load.items() if name in fields)
        if answer.kind == meta.AnswerKind.STAT:
            return  # more lines of this load report will arrive
        is_healthy = answer.kind in (meta.AnswerKind.END, meta.AnswerKind.READY)
        self.reporter.report(check, AttemptResult.OK if is_healthy else AttemptResult.ERROR)
        if answer.kind == meta.AnswerKind.OTHER:
            self.pool.close_connection(connection)
        else:
            self.pool.release(connection)

    def _on_read_timeout(self, connection: Connection, is_recheck: bool, due: float) -> None:
        """Close a connection on which the rest of a partial answer does not arrive.

        This leaves the request time for a retry. It takes two timeouts in a row, so that after a pause of this
        process the data that waits in the socket is read first.
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
            self._context.idle_failure_rates.record(now, connection.idle_before_write, failed=True)
            if connection.idle_before_write is not None:
                self._context.counters.increment("connections.reset_reused")
            # A write whose streamed value was not written completely has not been executed. Any other request was
            # passed to the operating system completely or almost completely, so it may have been executed.
            never_executed = connection.request_body is not None
            self.reporter.report(exchange, AttemptResult.CONNECT_FAILED if never_executed else AttemptResult.RESET)
        self.pool.close_connection(connection)
