"""Accepts connections at a listening socket, never beyond the descriptors that clients may hold.

asyncio's own server accepts whatever is queued. Where no descriptor is left it stops for a second, in which everything
queued waits unread: docs/incidents/descriptors-past-capacity.md.
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

MAX_ACCEPTS_PER_TURN = 16  # so that descriptors of connections closed for them are released in between
RETRY_DELAY_S = 0.02  # after the system had no descriptor or no memory for a connection
OUT_OF_RESOURCES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

OnConnection: TypeAlias = Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]


@dataclass(slots=True)
class SocketCounts:
    """The accepted sockets of a process, whichever acceptor has accepted them."""

    open: int = 0  # accepted and not released yet; closing ones too
    connecting: int = 0  # of these, those that are no connections yet


class Acceptor:
    """Turns queued connections into streams while there is room, and counts sockets until they are released."""

    def __init__(
        self,
        listening: socket.socket,
        on_connection: OnConnection,
        has_room: Callable[[], bool],
        counts: SocketCounts,
        supervisor: TaskSupervisor,
        counters: Counters,
        on_exhausted: Callable[[], None] = lambda: None,
        on_released: Callable[[], None] = lambda: None,
    ) -> None:
        """Begin to accept; ``listening`` is owned by the acceptor from now on.

        has_room: called for each queued connection before it is accepted; on_exhausted: called when the system has no
        descriptor or no memory for one; on_released: called when a socket is released.
        """
        listening.setblocking(False)
        self._listening = listening
        self._on_connection = on_connection
        self._has_room = has_room
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
        """Whether queued connections are left in the queue for lack of room."""
        return not self._is_reading and not self._is_closed

    def resume(self) -> None:
        """Accept again, after room was made."""
        if self.is_paused:
            self._is_reading = True
            self._loop.add_reader(self._listening.fileno(), self._accept_queued)

    def close(self) -> None:
        """Accept no more, and close the listening socket; open connections stay."""
        self._pause()
        self._is_closed = True
        self._listening.close()

    def accept_one(self) -> socket.socket | None:
        """Return the next queued connection, counted as open until it is closed; None if there is none."""
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
        """Close a socket that has become no connection."""
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
            if not self._has_room():
                self._pause()
                return
            sock = self.accept_one()
            if sock is None:
                return
            self._counts.connecting += 1
            self._supervisor.start(self._connect(sock), "accept", lambda _: None)

    async def _connect(self, sock: socket.socket) -> None:
        def create_protocol() -> AcceptedProtocol:
            return AcceptedProtocol(self._on_connected, self._on_connection_lost)

        try:
            await self._loop.connect_accepted_socket(create_protocol, sock)
        except BaseException:
            self._counts.connecting -= 1
            self.discard(sock)
            raise

    def _on_connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._counts.connecting -= 1  # before it counts as a connection
        self._on_connection(reader, writer)

    def _on_connection_lost(self) -> None:
        self._loop.call_soon(self._release)  # the transport closes its socket right after it has told us

    def _release(self) -> None:
        self._counts.open -= 1
        if not self._is_closed:
            self._on_released()
        self.resume()


class AcceptedProtocol(DisconnectAwareProtocol):
    """The protocol of an accepted connection; it reports when the socket is about to be closed."""

    def __init__(self, on_connected: OnConnection, on_lost: Callable[[], None]) -> None:
        super().__init__(on_connected, READ_BYTES)
        self._on_lost = on_lost

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        super().connection_lost(exc)
        self._on_lost()
