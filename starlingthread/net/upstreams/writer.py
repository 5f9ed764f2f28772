"""Writes attempts and health checks to the connections of one cache server."""

from __future__ import annotations

from collections.abc import Callable

from ...core.messages import Attempt
from ...core.pipe import Pipe
from .. import meta
from ..streams import takes_more
from .connection import Connection, Exchange, PendingHealthCheck
from .context import UpstreamContext
from .messages import ConnectionLost
from .pool import ConnectionPool

LOAD_REPORT_COMMAND = b"stats load\r\n"
NO_OP_COMMAND = b"mn\r\n"


class ExchangeWriter:
    """Writes attempts and health checks; streams the values that arrive after their command."""

    def __init__(self, context: UpstreamContext, pool: ConnectionPool, post: Callable[[ConnectionLost], None]) -> None:
        self._context = context
        self._pool = pool
        self._post = post

    def write(self, connection: Connection, exchange: Exchange) -> None:
        """Mark a connection busy with an exchange, and write the exchange to it."""
        self._pool.mark_busy(connection, exchange)
        if isinstance(exchange, PendingHealthCheck):
            wants_load = self._context.settings.load_report_fields
            connection.writer.write(LOAD_REPORT_COMMAND if wants_load else NO_OP_COMMAND)
        elif isinstance(exchange.request.payload, meta.Command):
            self._write_command(connection, exchange, exchange.request.payload)

    def _write_command(self, connection: Connection, attempt: Attempt, command: meta.Command) -> None:
        body = attempt.request.body
        timeout = attempt.deadline - self._context.clock.now()
        if body is not None:  # the server's time starts at the value's last byte, which has not arrived yet
            timeout = min(timeout, command.timeout_ms, attempt.request.request_class.deadline)
        connection.writer.writelines(meta.forward_command(command, timeout))
        if body is None:
            self._context.router.telemetry.backend_calls += 1
            if connection.writer.transport.get_write_buffer_size():
                connection.reserve_buffered(self._context.buffers)
            return
        connection.request_body = body
        coroutine = self._stream_body(connection, body)
        self._context.supervisor.start(coroutine, "body", lambda _: self._post(ConnectionLost(connection)))

    async def _stream_body(self, connection: Connection, body: Pipe) -> None:
        """Write a streamed value as its chunks arrive, with back-pressure from the server."""
        try:
            while not connection.closed and not body.is_finished():
                if body.has_more():
                    await self._write_piece(connection, body)
                else:
                    await body.wait_for_data()
        except OSError:
            self._post(ConnectionLost(connection))

    async def _write_piece(self, connection: Connection, body: Pipe) -> None:
        """Write the next piece of a streamed value, and wait until the operating system has all of it."""
        piece = body.take()
        if body.complete and not body.has_more():
            # This piece holds the last byte: once it is written, the request may have been executed.
            connection.request_body = None
            self._context.router.telemetry.backend_calls += 1
        connection.writer.write(piece)
        del piece  # while it is unsent, the transport has a copy
        body.may_read_ahead = takes_more(connection.writer)
        try:
            await connection.writer.drain()
        finally:
            body.release()
