"""The connection pool of one cache server: it alone acquires, releases and closes established connections."""

from __future__ import annotations

from .connection import Connection, Exchange
from .context import UpstreamContext

# Failure rates above that of new connections, from which on an idle connection is not used for a read or a write.
MAX_EXCESS_FAILURES_READ = 0.15
MAX_EXCESS_FAILURES_WRITE = 0.05
MIN_REST_MS = 3.0  # for which a connection rests before it is reused, if another one is available


class ConnectionPool:
    """The open connections to one server: idle, busy with an exchange, or streaming a value."""

    def __init__(self, context: UpstreamContext, address: tuple[str, int]) -> None:
        self._context = context
        self.address = address
        self.idle: list[Connection] = []  # the one used last at the end
        self.busy: dict[Exchange, Connection] = {}
        self.streaming: set[Connection] = set()  # whose value is still arriving, though its attempt has ended
        self.open_count = 0  # connections established or being established

    @property
    def in_use(self) -> bool:
        """Whether any connection is busy or streaming."""
        return bool(self.busy or self.streaming)

    def acquire(self, is_write: bool) -> Connection | None:
        """Return an idle connection, or None if a new one must be opened.

        It stays counted as open; the caller has it marked busy or released.
        """
        now = self._context.clock.now()
        while self.idle:
            index = self._most_recent_rested(now)
            connection = self.idle[index]
            risk = self._context.idle_failure_rates.excess_over_new(now, now - connection.idle_since)
            if connection.is_reusable(self.address) and risk < MAX_EXCESS_FAILURES_READ:
                if is_write and risk > MAX_EXCESS_FAILURES_WRITE:
                    return None  # a request that must not run twice gets a new connection
                return self.idle.pop(index)
            self.close_connection(connection)
        return None

    def _most_recent_rested(self, now: float) -> int:
        """Return the index of the idle connection used last among the rested ones; if none has rested, of the last.

        Guards against lines that arrive right behind an answer: they must not pass for the next answer.
        """
        rested_since = now - MIN_REST_MS
        last = len(self.idle) - 1
        index = last
        while index and self.idle[index].idle_since > rested_since:
            index -= 1
        return index if self.idle[index].idle_since <= rested_since else last

    def mark_busy(self, connection: Connection, exchange: Exchange) -> None:
        """Assign a connection to the exchange that is about to be written on it."""
        connection.exchange = exchange
        connection.awaiting_response = True
        connection.written_at = self._context.clock.now()
        self.busy[exchange] = connection

    def mark_streaming(self, connection: Connection) -> None:
        """Detach a connection from its answered exchange while the rest of a streamed value arrives on it."""
        self.streaming.add(connection)
        self._detach(connection)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it can't be reused; the one place where this is done."""
        self._detach(connection)
        self.streaming.discard(connection)
        if not connection.is_reusable(self.address):
            self.close_connection(connection)
            return
        connection.idle_since = self._context.clock.now()
        self.idle.append(connection)

    def close_connection(self, connection: Connection) -> None:
        """Abort a connection, so that no rest of a request is sent; the one place where an open one is closed."""
        if connection.closed:
            return
        connection.closed = True
        self._context.deadlines.clear(connection.read_timer)
        if connection.response_pipe is not None:
            connection.response_pipe.finish(False)
        if connection.request_body is not None:
            connection.request_body.abandon()
        self._detach(connection)
        self.streaming.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.open_count -= 1
        self._context.counters.increment("connections.closed")
        connection.writer.transport.abort()

    def close_idle(self, min_idle: float) -> None:
        """Close the connections that have been idle for this long (ms)."""
        idle_since = self._context.clock.now() - min_idle
        for connection in [c for c in self.idle if c.idle_since <= idle_since]:
            self.close_connection(connection)

    def close_all(self) -> None:
        """Close all connections, busy ones too."""
        for connection in [*self.idle, *self.busy.values(), *self.streaming]:
            self.close_connection(connection)

    def _detach(self, connection: Connection) -> None:
        if connection.exchange is not None:
            self.busy.pop(connection.exchange, None)
            connection.exchange = None
