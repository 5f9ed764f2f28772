"""Opens connections to one cache server, each for a particular exchange."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from ...core.deadlines import Deadline
from ..streams import drain_completely, limit_read_size, open_stream
from .connection import READ_BYTES, Connection, Exchange
from .context import UpstreamContext
from .messages import ConnectCompleted, ConnectTimedOut
from .pool import ConnectionPool


class PendingConnect(NamedTuple):
    """The task that establishes a connection, and the timer of its timeout."""

    task: asyncio.Task[None]
    timeout_timer: Deadline


class ConnectionOpener:
    """Owns the tasks that connect. The pool counts each as an open connection until it is cancelled or fails."""

    def __init__(
        self,
        context: UpstreamContext,
        pool: ConnectionPool,
        post: Callable[[ConnectCompleted | ConnectTimedOut], None],
    ) -> None:
        self._context = context
        self._pool = pool
        self.post = post
        self.pending: dict[Exchange, PendingConnect] = {}

    def start(self, exchange: Exchange) -> None:
        """Open a connection for an exchange; ConnectCompleted follows, or ConnectTimedOut."""
        self._pool.open_count += 1
        coroutine = self._connect(exchange)
        task = self._context.supervisor.start(coroutine, "open", lambda _: self.post(ConnectCompleted(exchange, None)))
        self.pending[exchange] = PendingConnect(task, self._set_timeout(exchange))

    def extend(self, exchange: Exchange) -> None:
        """Restart the connect timeout of a pending connection."""
        self.pending[exchange] = PendingConnect(self.pending[exchange].task, self._set_timeout(exchange))

    def cancel(self, exchange: Exchange) -> bool:
        """Cancel the pending connection for an exchange; return False if there was none."""
        pending = self.pending.pop(exchange, None)
        if pending is None:
            return False
        pending.task.cancel()
        self._context.deadlines.clear(pending.timeout_timer)
        self._pool.open_count -= 1
        return True

    def complete(self, exchange: Exchange, connection: Connection | None) -> bool:
        """Remove a connection from the pending ones; if it was cancelled before, close it and return False."""
        pending = self.pending.pop(exchange, None)
        if pending is None:
            if connection is not None:
                connection.writer.transport.abort()
            return False
        self._context.deadlines.clear(pending.timeout_timer)
        if connection is None:
            self._pool.open_count -= 1
        return True

    def cancel_all(self) -> None:
        """Cancel all pending connections."""
        for exchange in list(self.pending):
            self.cancel(exchange)

    def _set_timeout(self, exchange: Exchange) -> Deadline:
        due = self._context.clock.now() + self._context.settings.connect_timeout
        return self._context.deadlines.set(due, lambda: self.post(ConnectTimedOut(exchange, due)))

    async def _connect(self, exchange: Exchange) -> None:
        address, generation = self._pool.address, self._pool.generation
        try:
            reader, writer = await open_stream(*address, READ_BYTES)
            limit_read_size(writer, READ_BYTES)
            drain_completely(writer)
        except OSError:
            self.post(ConnectCompleted(exchange, None))
        else:
            self.post(ConnectCompleted(exchange, Connection(reader, writer, address, generation)))
