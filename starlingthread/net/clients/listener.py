"""The listener: accepts clients within the descriptor limit and owns their connections."""

from __future__ import annotations

import asyncio
import errno
import math
import socket
from collections.abc import Callable

from ...core.pipe import ByteBudget
from ...core.router import Router
from ...core.task_supervisor import TaskSupervisor
from ...settings import Settings
from ..streams import DisconnectAwareProtocol, disable_nagle, limit_read_size
from .accept_loop import AcceptLoop
from .accept_queue import MAX_BACKLOG
from .acceptor import SocketCounts
from .connection import ClientConnectionActor
from .context import PausedConnection
from .limits import DISCONNECT_CHECK_INTERVAL_MS, READ_BYTES
from .room import ConnectionRoom

IDLE_CHECK_INTERVAL_MS = 100.0  # between checks for connections that are idle, silent or amid a command
CROWDED_RATIO = 0.8  # of the idle client threshold, from which on idle connections are closed sooner
DRAIN_CHECK_INTERVAL_S = 0.05  # between checks for connections that are still open while draining


def bind(host: str, port: int) -> socket.socket:
    """Return a listening socket; other processes may bind the same port where the system supports it."""
    try:
        return socket.create_server((host, port), backlog=MAX_BACKLOG, reuse_port=hasattr(socket, "SO_REUSEPORT"))
    except OSError as error:
        if error.errno not in (errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EINVAL):
            raise
        return socket.create_server((host, port), backlog=MAX_BACKLOG)


class ClientListener:
    """Accepts clients and owns their actors."""

    def __init__(
        self,
        settings: Settings,
        router: Router,
        supervisor: TaskSupervisor,
        max_clients: int,
        idle_client_threshold: int,
        max_buffered_bytes: int,
        is_ready: Callable[[], bool],
    ) -> None:
        self.router = router
        self.supervisor = supervisor
        self.clock = router.clock
        self.counters = router.counters
        self.deadlines = router.deadlines
        self.budget = ByteBudget(0)  # for chunked values, in either direction
        self.buffered_bytes = 0  # bytes of values that all response slots hold
        self.max_buffered_bytes = max_buffered_bytes
        self.max_clients = max_clients
        self.idle_client_threshold = idle_client_threshold
        self.is_ready = is_ready
        self.apply_settings(settings)
        self.open_ids: set[bytes] = set()  # of the requests that await their answer
        self.connections: set[ClientConnectionActor] = set()
        self.draining = False  # connections are closed behind their responses, as another process accepts new ones
        self.answer_by = math.inf  # clock time by which requests that arrive from now on are answered
        self.socket: socket.socket | None = None  # ours for good, whether we accept or not
        self._is_socket_shared = False  # with the process that it was inherited from
        self._accept_loop: AcceptLoop | None = None  # none while another process accepts
        self.sockets = SocketCounts()
        self.room = ConnectionRoom(self)
        self._paused: set[PausedConnection] = set()  # whose ends have to be polled for

    def apply_limits(self, max_clients: int, idle_client_threshold: int) -> None:
        """Take in how many descriptors clients may hold, at first or as another process takes a share of them."""
        self.max_clients = max_clients
        self.idle_client_threshold = idle_client_threshold
        if self._accept_loop is not None:
            self._accept_loop.limit_queue()

    def apply_settings(self, settings: Settings) -> None:
        """Take in settings, the first or new ones."""
        self.classes = {cls.name: cls for cls in settings.classes}

    # accepting

    async def listen(self, host: str, port: int, inherited: socket.socket | None = None) -> None:
        """Begin to accept, at a socket of our own or at one that an old process goes on using too."""
        self.socket = inherited or bind(host, port)
        self._is_socket_shared = inherited is not None
        await self.resume_accepting()
        self._check_idle_connections()

    async def resume_accepting(self) -> None:
        """Accept, as at first or again."""
        assert self.socket is not None
        self.draining = False
        self._accept_loop = AcceptLoop(self, self.room, self.socket, self._is_socket_shared, self._accept)

    def pause_accepting(self) -> None:
        """Accept no more, as another process does at the same socket: queued connections are left to it."""
        self.draining = True
        self._stop_accepting()

    def _stop_accepting(self) -> None:
        if self._accept_loop is not None:
            self._accept_loop.close()
            self._accept_loop = None

    @property
    def crowded_until(self) -> float:
        """Clock time until which clients that want to connect count as having found no place lately."""
        return self.room.crowded_until

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counters.increment("clients.accepted")
        if len(self.connections) >= self.max_clients and not self.room.evict_one():
            self.counters.increment("clients.rejected")
            writer.transport.abort()
            return
        limit_read_size(writer, READ_BYTES)
        disable_nagle(writer)
        actor = ClientConnectionActor(self, reader, writer, self.room.on_closed, self.room.on_eviction_undone)
        self.connections.add(actor)
        protocol = writer.transport.get_protocol()
        if isinstance(protocol, DisconnectAwareProtocol):
            protocol.on_disconnect = actor.on_disconnect
            protocol.consume = actor.early_rejector.consume
        self.supervisor.start(actor.run(), "client", lambda _: actor.close())

    # disconnects

    def watch_for_disconnect(self, connection: PausedConnection) -> None:
        """Poll from now on whether the client of a connection has left that is not being read.

        Guards against requests that are begun for such clients: their sockets may not be read at all.
        """
        if not self._paused:
            self.deadlines.set(self.clock.now() + DISCONNECT_CHECK_INTERVAL_MS, self._check_for_disconnects)
        self._paused.add(connection)

    def _check_for_disconnects(self) -> None:
        self._paused = {connection for connection in self._paused if connection.check_for_disconnect()}
        if self._paused:
            self.deadlines.set(self.clock.now() + DISCONNECT_CHECK_INTERVAL_MS, self._check_for_disconnects)

    # idle connections

    def _check_idle_connections(self) -> None:
        now = self.clock.now()
        crowded = len(self.connections) > self.idle_client_threshold * CROWDED_RATIO
        for actor in list(self.connections):
            actor.check_idle(now, crowded)
        self.room.shed_idle(now)
        if self._accept_loop is not None:
            self._accept_loop.limit_queue()
        self.deadlines.set(now + IDLE_CHECK_INTERVAL_MS, self._check_idle_connections)

    # graceful shutdown

    async def drain(self, answer_by: float = math.inf) -> None:
        """Accept no more; close each connection once nothing is owed on it; return when all are closed.

        answer_by: clock time by which requests are answered that arrive from now on, on connections that still owe
        a response.
        """
        self.answer_by = answer_by
        if self._accept_loop is not None:
            await self._accept_loop.accept_queued()
        self._stop_accepting()
        if self.socket is not None:
            self.socket.close()
        while self.connections:
            for actor in list(self.connections):
                actor.close_when_idle()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
