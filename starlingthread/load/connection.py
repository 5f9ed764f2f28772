"""Connections of clients to routers: answers of the meta dialect, and a pool with an upper limit."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from typing import NamedTuple, Protocol, cast

CONNECT_TIMEOUT_S = 1.0
MAX_OPEN = 12000  # connections of one process
LINE_END = b"\r\n"


class Answer(NamedTuple):
    """One answer of a router."""

    words: list[bytes]  # of its first line
    value: bytes  # of a ``VA`` answer; empty for others
    surplus: bytes  # what came behind the answer, where nothing should


def parse_answer(buffer: bytearray) -> Answer | None:
    """Return the answer at the start of a buffer, None as long as it is incomplete."""
    line_end = buffer.find(LINE_END)
    if line_end < 0:
        return None
    words = bytes(buffer[:line_end]).split(b" ")
    value_start = line_end + len(LINE_END)
    if words[0] != b"VA" or len(words) <= 2 or not words[1].isdigit():
        return Answer(words, b"", bytes(buffer[value_start:]))
    value_end = value_start + int(words[1])
    answer_end = value_end + len(LINE_END)
    if len(buffer) < answer_end:
        return None
    return Answer(words, bytes(buffer[value_start:value_end]), bytes(buffer[answer_end:]))


class ConnectionListener(Protocol):
    """Gets the events of connections."""

    def on_answer(self, connection: ClientConnection, answer: Answer) -> None:
        """Handle the complete answer to the request in flight."""

    def on_unsolicited(self, connection: ClientConnection, data: bytes) -> None:
        """Handle bytes that came while no request was in flight."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Handle the end of a connection, by either side."""


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
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are not of that class

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the listener that the connection has ended."""
        self.is_closed = True
        self._listener.on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Tell the listener of a complete answer, or of bytes that nothing was asked for."""
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
        """Whether a part of an answer has come."""
        return bool(self._buffer)

    def send(self, request: bytes) -> None:
        """Write a request; its answer goes to the listener."""
        self._buffer.clear()
        self._is_in_flight = True
        self.transport.write(request)

    def abort(self) -> None:
        """Close at once; the request in flight is given up."""
        self._is_in_flight = False
        self.transport.abort()


class ConnectionPool:
    """The open connections of one process of clients."""

    def __init__(self, addresses: list[tuple[str, int]], listener: ConnectionListener, max_per_router: int) -> None:
        self.addresses = addresses
        self.open_count = 0
        self._max_per_router = max_per_router
        self._open_by_router = [0] * len(addresses)
        self._listener = listener
        self._idle: list[deque[ClientConnection]] = [deque() for _ in addresses]

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be opened."""
        return self.open_count >= MAX_OPEN

    def may_connect(self, router: int) -> bool:
        """Return whether clients may open one more connection to a router."""
        return self._open_by_router[router] < self._max_per_router

    def has_idle(self, router: int) -> bool:
        """Return whether a connection to a router is idle."""
        return bool(self._idle[router])

    async def connect(self, router: int) -> ClientConnection | None:
        """Open a connection to a router; return None if it fails."""
        self._count_open(router, 1)
        loop = asyncio.get_running_loop()
        opening = loop.create_connection(lambda: ClientConnection(self._listener, router), *self.addresses[router])
        try:
            _, connection = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            self._count_open(router, -1)
            return None
        return connection

    def on_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self._count_open(connection.router, -1)
        with contextlib.suppress(ValueError):
            self._idle[connection.router].remove(connection)

    def _count_open(self, router: int, change: int) -> None:
        self.open_count += change
        self._open_by_router[router] += change

    def take(self, router: int) -> ClientConnection | None:
        """Return the idle connection to a router that has waited longest, None if there is none."""
        idle = self._idle[router]
        while idle:
            connection = idle.popleft()
            if not connection.is_closed:
                return connection
        return None

    def release(self, connection: ClientConnection) -> None:
        """Put a connection back for the next request."""
        self._idle[connection.router].append(connection)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for idle in self._idle:
            for connection in list(idle):
                connection.abort()
