"""Connections of clients to routers: the parser for meta protocol answers, and a connection pool with limits."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from typing import NamedTuple, Protocol, cast

CONNECT_TIMEOUT_S = 1.0
MAX_OPEN_CONNECTIONS = 12000  # most connections that one client process opens
LINE_END = b"\r\n"


class Answer(NamedTuple):
    """One answer of a router."""

    tokens: list[bytes]  # the first line, split at spaces
    value: bytes  # the value of a ``VA`` answer; empty for other answers
    trailing_data: bytes  # bytes received after the end of the answer; not empty only on a protocol error


def parse_answer(buffer: bytearray) -> Answer | None:
    """Return the answer at the start of a buffer, or None if it is incomplete."""
    line_end = buffer.find(LINE_END)
    if line_end < 0:
        return None
    tokens = bytes(buffer[:line_end]).split(b" ")
    value_start = line_end + len(LINE_END)
    if tokens[0] != b"VA" or len(tokens) <= 2 or not tokens[1].isdigit():
        return Answer(tokens, b"", bytes(buffer[value_start:]))
    value_end = value_start + int(tokens[1])
    answer_end = value_end + len(LINE_END)
    if len(buffer) < answer_end:
        return None
    return Answer(tokens, bytes(buffer[value_start:value_end]), bytes(buffer[answer_end:]))


class ConnectionListener(Protocol):
    """Receives the events of connections."""

    def on_answer(self, connection: ClientConnection, answer: Answer) -> None:
        """Handle the complete answer to the request in flight."""

    def on_unsolicited(self, connection: ClientConnection, data: bytes) -> None:
        """Handle bytes received while no request was in flight."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Handle the end of a connection, whichever side closed it."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client to a router, with at most one request in flight."""

    def __init__(self, listener: ConnectionListener, router: int) -> None:
        self.router = router
        self.is_closed = False
        self.transport: asyncio.Transport
        self._listener = listener
        self._buffer = bytearray()
        self._is_in_flight = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports do not inherit from this class

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the listener that the connection has ended."""
        self.is_closed = True
        self._listener.on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Notify the listener of a complete answer, or of bytes received while no request was in flight."""
        if not self._is_in_flight:
            self._listener.on_unsolicited(self, data)
            return
        self._buffer += data
        answer = parse_answer(self._buffer)
        if answer is not None:
            self._buffer.clear()
            self._is_in_flight = False
            self._listener.on_answer(self, answer)

    @property
    def has_partial_answer(self) -> bool:
        """Whether an incomplete answer has been received."""
        return bool(self._buffer)

    def send(self, request: bytes) -> None:
        """Write a request; the listener receives its answer."""
        self._buffer.clear()
        self._is_in_flight = True
        self.transport.write(request)

    def abort(self) -> None:
        """Close the connection immediately and abandon the request in flight."""
        self._is_in_flight = False
        self.transport.abort()


class ConnectionPool:
    """The open connections of one client process."""

    def __init__(self, addresses: list[tuple[str, int]], listener: ConnectionListener, max_per_router: int) -> None:
        self.addresses = addresses
        self.open_count = 0
        self._max_per_router = max_per_router
        self._open_by_router = [0] * len(addresses)
        self._listener = listener
        self._idle: list[deque[ClientConnection]] = [deque() for _ in addresses]

    @property
    def is_full(self) -> bool:
        """Whether the process has reached its limit of open connections."""
        return self.open_count >= MAX_OPEN_CONNECTIONS

    def may_connect(self, router: int) -> bool:
        """Return whether the limit for a router allows one more connection to it."""
        return self._open_by_router[router] < self._max_per_router

    def has_idle(self, router: int) -> bool:
        """Return whether the pool has an idle connection to a router."""
        return bool(self._idle[router])

    async def connect(self, router: int) -> ClientConnection | None:
        """Open a connection to a router; return None if this fails or times out."""
        self._change_open_count(router, 1)
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(lambda: ClientConnection(self._listener, router), *self.addresses[router])
        try:
            _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            self._change_open_count(router, -1)
            return None
        return connection

    def on_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        self._change_open_count(connection.router, -1)
        with contextlib.suppress(ValueError):
            self._idle[connection.router].remove(connection)

    def _change_open_count(self, router: int, change: int) -> None:
        self.open_count += change
        self._open_by_router[router] += change

    def take(self, router: int) -> ClientConnection | None:
        """Remove and return the connection to a router that has been idle longest, or None if none is idle."""
        idle = self._idle[router]
        while idle:
            connection = idle.popleft()
            if not connection.is_closed:
                return connection
        return None

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool for the next request."""
        self._idle[connection.router].append(connection)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for idle in self._idle:
            for connection in list(idle):
                connection.abort()
