"""Accepts connections at a listening socket, within the descriptor limit of clients.

asyncio's own server accepts all queued connections. If no descriptor is free, it stops accepting for one second, and
queued requests wait unread meanwhile: docs/incidents/descriptors-past-capacity.md.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from ...core.counters import Counters
from ...core.task_supervisor import TaskSupervisor
from ..streams import DisconnectAwareProtocol
from .limits import READ_BYTES

# Bounds the accepted connections per turn of the event loop, so that descriptors of evicted connections are released
# in between.
MAX_ACCEPTS_PER_TURN = 16
# Accepting is retried after this delay if the system had no descriptor or no memory for a connection.
RETRY_DELAY_S = 0.02
OUT_OF_RESOURCES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

OnConnection: TypeAlias = Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]


@dataclass(slots=True)
class SocketCounts:
    """Counts of the sockets that all acceptors of a process have accepted."""

    open: int = 0  # accepted sockets that are not released yet, including those being closed
    initializing: int = 0  # open sockets whose streams are not created yet


class Acceptor:
    """Accepts queued connections as streams while there is capacity, and counts sockets until they are released."""

    def __init__(
        self,
        listening: socket.socket,
        on_connection: OnConnection,
        has_capacity: Callable[[], bool],
        counts: SocketCounts,
        supervisor: TaskSupervisor,
        counters: Counters,
        on_exhausted: Callable[[], None] = lambda: None,
        on_released: Callable[[], None] = lambda: None,
    ) -> None:
        """Start accepting; the acceptor takes the ownership of ``listening``.

        has_capacity: called before each queued connection is accepted, returns whether it may be accepted
        on_exhausted: called when the system has no descriptor or no memory for a connection
        on_released: called when a socket is released
        """
        listening.setblocking(False)
        self._listening = listening
        self._on_connection = on_connection
        self._has_capacity = has_capacity
        self._counts = counts
        self._supervisor = supervisor
        self._counters = counters
        self._on_exhausted = on_exhausted
        self._on_released = on_released
        self._loop = asyncio.get_running_loop()
        self._queued = select.poll()
        self._queued.register(listening.fileno(), select.POLLIN)
        self._is_reading = False
        self._is_closed = False
        self.resume()

    @property
    def is_paused(self) -> bool:
        """Whether queued connections remain in the accept queue for lack of capacity."""
        return not self._is_reading and not self._is_closed

    def resume(self) -> None:
        """Accept again, as there may be capacity."""
        if self.is_paused:
            self._is_reading = True
            self._loop.add_reader(self._listening.fileno(), self._accept_queued)

    def close(self) -> None:
        """Stop accepting and close the listening socket; accepted connections stay open."""
        self._pause()
        self._is_closed = True
        self._listening.close()

    def accept_one(self) -> socket.socket | None:
        """Accept the next queued connection and count it as open; return None if none can be accepted."""
        try:
            sock, _ = self._listening.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        except OSError as error:
            if error.errno not in OUT_OF_RESOURCES:
                raise
            self._counters.increment("clients.accept_failed")
            self._pause()
            self._on_exhausted()
            self._loop.call_later(RETRY_DELAY_S, self.resume)
            return None
        sock.setblocking(False)
        self._counts.open += 1
        return sock

    def discard(self, sock: socket.socket) -> None:
        """Close an accepted socket whose streams could not be created."""
        sock.close()
        self._counts.open -= 1

    def _pause(self) -> None:
        if self._is_reading:
            self._is_reading = False
            self._loop.remove_reader(self._listening.fileno())

    def _accept_queued(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._queued.poll(0):
                return
            if not self._has_capacity():
                self._pause()
                return
            sock = self.accept_one()
            if sock is None:
                return
            self._counts.initializing += 1
            self._supervisor.start(self._connect(sock), "accept", lambda _: None)

    async def _connect(self, sock: socket.socket) -> None:
        def create_protocol() -> AcceptedProtocol:
            return AcceptedProtocol(self._on_connected, self._on_connection_lost)

        try:
            await self._loop.connect_accepted_socket(create_protocol, sock)
        except BaseException:
            self._counts.initializing -= 1
            self.discard(sock)
            raise

    def _on_connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The count of initializing sockets is reduced before the callback counts the socket as a connection.
        self._counts.initializing -= 1
        self._on_connection(reader, writer)

    def _on_connection_lost(self) -> None:
        self._loop.call_soon(self._release)  # the transport closes its socket right after this callback

    def _release(self) -> None:
        self._counts.open -= 1
        if not self._is_closed:
            self._on_released()
        self.resume()


class AcceptedProtocol(DisconnectAwareProtocol):
    """The protocol of an accepted connection, which reports when the socket is about to be closed."""

    def __init__(self, on_connected: OnConnection, on_lost: Callable[[], None]) -> None:
        super().__init__(on_connected, READ_BYTES)
        self._on_lost = on_lost

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        super().connection_lost(exc)
        self._on_lost()
