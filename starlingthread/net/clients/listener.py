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
from ...logs import log
from ...settings import RequestClass, Settings
from ..streams import DisconnectAwareProtocol, disable_nagle, drain_completely, limit_read_size
from .accept_loop import AcceptLoop
from .accept_queue import MAX_BACKLOG
from .acceptor import SocketCounts
from .capacity import ConnectionCapacity
from .class_history import RequestClasses
from .connection import ClientConnectionActor
from .context import PausedConnection
from .draining import DRAIN_CHECK_INTERVAL_MS, DrainLimits, StallMonitor
from .limits import DISCONNECT_CHECK_INTERVAL_MS, READ_BYTES

# Interval of the checks for connections that are idle, silent or within a command for too long.
IDLE_CHECK_INTERVAL_MS = 100.0
DEFAULT_DRAIN_LIMITS = DrainLimits()  # no limits
# Above this share of the idle client threshold, idle connections are closed after a shorter time.
NEAR_THRESHOLD_SHARE = 0.8


def bind(host: str, port: int) -> socket.socket:
    """Return a listening socket; other processes may bind the same port where the system supports it."""
    try:
        return socket.create_server((host, port), backlog=MAX_BACKLOG, reuse_port=hasattr(socket, "SO_REUSEPORT"))
    except OSError as error:
        if error.errno not in (errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EINVAL):
            raise
        return socket.create_server((host, port), backlog=MAX_BACKLOG)


class ClientListener:
    """Accepts clients and owns the actors of their connections."""

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
        self.budget = ByteBudget(0)  # budget shared by all chunked values in both directions
        self.read_ahead_bytes = 0  # size of the input of connections that wait for a response slot
        # All requests, responses and unprocessed input, in both directions; beyond the limit requests are rejected.
        self.buffers = ByteBudget(max_buffered_bytes)
        self.max_clients = max_clients
        self.idle_client_threshold = idle_client_threshold
        self.is_ready = is_ready
        self.classes: dict[str, RequestClass] = {}  # request classes by name
        self._classes_of_queued: list[RequestClasses] = []  # replaced since connections were accepted that are queued
        self.open_ids: set[bytes] = set()  # ids of unanswered requests on all connections
        self.connections: set[ClientConnectionActor] = set()
        # While draining, each connection is closed after its response, as another process accepts new connections.
        self.draining = False
        self.drain_limits = DrainLimits()
        self.reading_stopped = False  # whether no further commands are read, as the process shuts down
        # The socket is kept open while another process accepts connections.
        self.socket: socket.socket | None = None
        self._is_socket_shared = False  # whether the process that it was inherited from uses it too
        self._accept_loop: AcceptLoop | None = None  # None while another process accepts
        self.sockets = SocketCounts()
        self.apply_settings(settings)
        self.capacity = ConnectionCapacity(self)
        self._paused: set[PausedConnection] = set()  # connections that are polled for disconnects

    def apply_limits(self, max_clients: int, idle_client_threshold: int) -> None:
        """Apply the descriptor limits of clients, initially or when another process takes a share of them."""
        self.max_clients = max_clients
        self.idle_client_threshold = idle_client_threshold
        if self._accept_loop is not None:
            self._accept_loop.limit_queue()

    def apply_settings(self, settings: Settings) -> None:
        """Apply the initial or reloaded settings; what clients have sent by now keeps its request classes."""
        replaced = self.classes
        self.classes = {cls.name: cls for cls in settings.classes}
        if replaced == self.classes:
            return
        for actor in self.connections:
            actor.on_classes_replaced(replaced)
        if self._has_queued_connections():
            self._classes_of_queued.append(replaced)

    def _has_queued_connections(self) -> bool:
        """Return whether clients are connected that have no actor yet."""
        is_queued = self._accept_loop is not None and self._accept_loop.has_queued()
        return is_queued or self.sockets.initializing > 0

    # accepting

    async def listen(self, host: str, port: int, inherited: socket.socket | None = None) -> None:
        """Start accepting on a new socket, or on an inherited one that the old process continues to use."""
        self.socket = inherited or bind(host, port)
        self._is_socket_shared = inherited is not None
        await self.resume_accepting()
        self._check_idle_connections()

    async def resume_accepting(self) -> None:
        """Start or resume accepting."""
        assert self.socket is not None
        self.draining = False
        self._accept_loop = AcceptLoop(self, self.capacity, self.socket, self._is_socket_shared, self._accept)

    def pause_accepting(self) -> None:
        """Stop accepting and leave queued connections to another process, which accepts on the same socket."""
        self.draining = True
        self._stop_accepting()

    def _stop_accepting(self) -> None:
        if self._accept_loop is not None:
            self._accept_loop.close()
            self._accept_loop = None

    @property
    def at_capacity_until(self) -> float:
        """Clock time until which the listener counts as at capacity: clients may be unable to connect."""
        return self.capacity.at_capacity_until

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counters.increment("clients.accepted")
        if len(self.connections) >= self.max_clients and not self.capacity.evict_one():
            self.counters.increment("clients.rejected")
            writer.transport.abort()
            return
        limit_read_size(writer, READ_BYTES)
        disable_nagle(writer)
        drain_completely(writer)
        actor = ClientConnectionActor(
            self, reader, writer, self.capacity.on_closed, self.capacity.on_eviction_cancelled
        )
        self.connections.add(actor)
        self._keep_classes_of_queued(actor)
        protocol = writer.transport.get_protocol()
        if isinstance(protocol, DisconnectAwareProtocol):
            protocol.on_disconnect = actor.on_disconnect
            protocol.consume = actor.consume
        self.supervisor.start(actor.run(), "client", lambda _: actor.close())

    def _keep_classes_of_queued(self, actor: ClientConnectionActor) -> None:
        for classes in self._classes_of_queued:
            actor.on_accepted_late(classes)
        if self._classes_of_queued and not self._has_queued_connections():
            self._classes_of_queued.clear()

    def unsent_bytes(self) -> int:
        """Return how many bytes of responses the operating system has not taken yet."""
        return sum(actor.writer.transport.get_write_buffer_size() for actor in self.connections)

    # disconnects

    def watch_for_disconnect(self, connection: PausedConnection) -> None:
        """Poll a paused connection for a disconnect of its client from now on.

        Otherwise attempts would start for clients that have disconnected, as a paused socket is not read at all.
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
        near_threshold = len(self.connections) > self.idle_client_threshold * NEAR_THRESHOLD_SHARE
        for actor in list(self.connections):
            actor.check_idle(now, near_threshold)
        self.capacity.evict_above_threshold(now)
        if self._accept_loop is not None:
            self._accept_loop.limit_queue()
        self.deadlines.set(now + IDLE_CHECK_INTERVAL_MS, self._check_idle_connections)

    # graceful shutdown

    def _fail_blocking_requests(self) -> None:
        """Fail the open requests of connections on which other responses wait behind them, so that those are sent."""
        for actor in list(self.connections):
            actor.fail_blocking_requests()

    async def drain(self, limits: DrainLimits = DEFAULT_DRAIN_LIMITS) -> None:
        """Stop accepting, close each connection once its responses are written, and return when all are closed.

        A connection is closed earlier if nothing moves on it for the quiet timeout. After as long a time in all, no
        further commands are read.
        """
        self.drain_limits = limits
        if math.isfinite(limits.answer_deadline):
            self.deadlines.set(limits.answer_deadline, self._fail_blocking_requests)
        if self._accept_loop is not None:
            await self._accept_loop.accept_queued()
        self._stop_accepting()
        if self.socket is not None:
            self.socket.close()
        started_at = self.clock.now()
        monitor = StallMonitor(limits.quiet_timeout, started_at)
        while self.connections:
            now = self.clock.now()
            self.reading_stopped = now - started_at >= limits.quiet_timeout
            for actor in list(self.connections):
                actor.close_when_idle()
                if self.reading_stopped:
                    actor.stop_reading()
            if stalled := monitor.check(now, list(self.connections)):
                log.warning("shutdown-stalled", connections=stalled, **{"requests.open": len(self.router.requests)})
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_MS / 1000.0)
