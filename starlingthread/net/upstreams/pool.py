"""The connection pool of one cache server; established connections are acquired, released and closed only here."""

from __future__ import annotations

from .connection import Connection, Exchange
from .context import UpstreamContext

# An idle connection is not reused for a read or a write if its failure rate exceeds that of new connections by more.
MAX_EXCESS_FAILURE_SHARE_READ = 0.15
MAX_EXCESS_FAILURE_SHARE_WRITE = 0.05
MIN_IDLE_BEFORE_REUSE_MS = 3.0  # a connection idle for less is reused only if no other is available


class ConnectionPool:
    """The open connections to one server: idle, busy with an exchange, or streaming a value."""

    def __init__(self, context: UpstreamContext, address: tuple[str, int]) -> None:
        self._context = context
        self.address = address
        self.started = 0.0  # clock ms at which the server's process started; 0: long ago
        # Number of the server's process: connections that were opened to an earlier one, which may still answer on them
        # at the same address, are not reused.
        self.generation = 0
        self.idle: list[Connection] = []  # idle connections in the order of their last use, the most recent at the end
        self.busy: dict[Exchange, Connection] = {}
        self.streaming: set[Connection] = set()  # connections whose attempt has ended and whose value still arrives
        self.open_count = 0  # established and pending connections

    @property
    def in_use(self) -> bool:
        """Whether any connection is busy or streaming."""
        return bool(self.busy or self.streaming)

    def replace_server(self, address: tuple[str, int], started: float) -> None:
        """Open connections to another process from now on: at another address, or started later at the same one."""
        self.address = address
        self.started = max(self.started, started)
        self.generation += 1

    def acquire(self, is_write: bool) -> Connection | None:
        """Take an idle connection out of the pool; return None if a new one must be opened.

        The connection stays counted as open. The caller must mark it busy or release it.
        """
        now = self._context.clock.now()
        while self.idle:
            index = self._select_idle_index(now)
            connection = self.idle[index]
            excess_rate = self._context.idle_failure_rates.excess_failure_rate(now, now - connection.idle_since)
            if connection.is_reusable(self.generation) and excess_rate < MAX_EXCESS_FAILURE_SHARE_READ:
                if is_write and excess_rate > MAX_EXCESS_FAILURE_SHARE_WRITE:
                    return None  # open a new one: a lost write may have been executed, and must not be executed twice
                return self.idle.pop(index)
            self.close_connection(connection)
        return None

    def _select_idle_index(self, now: float) -> int:
        """Return the index of the most recently used connection that has been idle for MIN_IDLE_BEFORE_REUSE_MS.

        If there is none, return the index of the most recently used one. The minimum is there so that stray lines
        that follow an answer closely arrive before the next request, and are not mistaken for its answer.
        """
        idle_cutoff = now - MIN_IDLE_BEFORE_REUSE_MS
        last = len(self.idle) - 1
        index = last
        while index and self.idle[index].idle_since > idle_cutoff:
            index -= 1
        return index if self.idle[index].idle_since <= idle_cutoff else last

    def mark_busy(self, connection: Connection, exchange: Exchange) -> None:
        """Assign a connection to the exchange that is about to be written on it."""
        connection.exchange = exchange
        connection.awaiting_response = True
        connection.written_at = self._context.clock.now()
        connection.reserve_first_read(self._context.value_budget)
        self.busy[exchange] = connection

    def mark_streaming(self, connection: Connection) -> None:
        """Detach a connection from its exchange, which has its answer, while the rest of the streamed value arrives."""
        self.streaming.add(connection)
        self._detach(connection)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it can't be reused. No other code returns connections."""
        self._detach(connection)
        self.streaming.discard(connection)
        if not connection.is_reusable(self.generation):
            self.close_connection(connection)
            return
        connection.idle_since = self._context.clock.now()
        self.idle.append(connection)

    def close_connection(self, connection: Connection) -> None:
        """Abort a connection, so that no unsent part of a request is sent. No other code closes established ones."""
        if connection.closed:
            return
        connection.closed = True
        self._context.deadlines.clear(connection.read_timer)
        connection.release_first_read()
        connection.release_buffered()
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
        """Close the connections that have been idle for min_idle (ms) or longer."""
        idle_cutoff = self._context.clock.now() - min_idle
        for connection in [c for c in self.idle if c.idle_since <= idle_cutoff]:
            self.close_connection(connection)

    def close_all(self) -> None:
        """Close all established connections, including busy ones."""
        for connection in [*self.idle, *self.busy.values(), *self.streaming]:
            self.close_connection(connection)

    def _detach(self, connection: Connection) -> None:
        connection.release_buffered()
        if connection.exchange is not None:
            self.busy.pop(connection.exchange, None)
            connection.exchange = None
