"""The listener: accepts clients within the descriptor limit and owns their connections."""

from __future__ import annotations

import asyncio
import errno
import math
import select
import socket
from collections.abc import Callable

from ...core.deadlines import Deadline
from ...core.pipe import ByteBudget
from ...core.router import Router
from ...core.task_supervisor import TaskSupervisor
from ...settings import Settings
from ..streams import DisconnectAwareProtocol, disable_nagle, limit_read_size
from .acceptor import Acceptor, SocketCounts
from .connection import ClientConnectionActor
from .context import PausedConnection
from .eviction import EvictionOrder, ranked_connections
from .limits import DISCONNECT_CHECK_INTERVAL_MS, READ_BYTES
from .overflow import OverflowRejector

IDLE_CHECK_INTERVAL_MS = 100.0  # between checks for connections that are idle, silent or amid a command
CROWDED_RATIO = 0.8  # of the idle client threshold, from which on idle connections are closed sooner
MIN_IDLE_BEFORE_SHEDDING_MS = 100.0  # an idle connection may go after this when clients exceed the threshold
LISTEN_BACKLOG = 1024  # connections that the system may queue for us
CLOSING_SHARE = 1 / 16  # of the clients' descriptors, for connections that are being closed for new ones
ROOM_CHECK_INTERVAL_MS = 20.0  # between checks whether a connection may be evicted for one that is queued
MAX_FINAL_ACCEPT_ROUNDS = 1000  # checks for queued connections before the listening socket is closed
QUIET_ACCEPT_ROUNDS = 2  # turns of the loop without any after which those accepted have become connections
DRAIN_CHECK_INTERVAL_S = 0.05  # between checks for connections that are still open while draining


def bind(host: str, port: int) -> socket.socket:
    """Return a listening socket; other processes may bind the same port where the system supports it."""
    try:
        return socket.create_server((host, port), backlog=LISTEN_BACKLOG, reuse_port=hasattr(socket, "SO_REUSEPORT"))
    except OSError as error:
        if error.errno not in (errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EINVAL):
            raise
        return socket.create_server((host, port), backlog=LISTEN_BACKLOG)


class ClientListener:
    """Accepts clients and owns their actors."""

    def __init__(
        self,
        settings: Settings,
        router: Router,
        supervisor: TaskSupervisor,
        max_clients: int,
        idle_client_threshold: int,
        max_buffered: int,
        is_ready: Callable[[], bool],
    ) -> None:
        self.router = router
        self.supervisor = supervisor
        self.clock = router.clock
        self.counters = router.counters
        self.deadlines = router.deadlines
        self.budget = ByteBudget(0)  # for chunked values, in either direction
        self.buffered = 0  # bytes of values that all response slots hold
        self.max_buffered = max_buffered
        self.max_clients = max_clients
        self.idle_client_threshold = idle_client_threshold
        self.is_ready = is_ready
        self.apply_settings(settings)
        self.open_ids: set[bytes] = set()  # of the requests that await their answer
        self.connections: set[ClientConnectionActor] = set()
        self.draining = False  # connections are closed behind their responses, as another process accepts new ones
        self.answer_by = math.inf  # clock time by which requests that arrive from now on are answered
        self.socket: socket.socket | None = None  # ours for good, whether we accept or not
        self._server: Acceptor | None = None
        self.sockets = SocketCounts()
        self._overflow = OverflowRejector(self)
        self._eviction: EvictionOrder[ClientConnectionActor] = EvictionOrder()
        self._room_check: Deadline | None = None
        self._paused: set[PausedConnection] = set()  # whose ends have to be polled for

    def apply_settings(self, settings: Settings) -> None:
        """Take in settings, the first or new ones."""
        self.classes = {cls.name: cls for cls in settings.classes}

    # accepting

    async def listen(self, host: str, port: int, inherited: socket.socket | None = None) -> None:
        """Begin to accept, at a socket of our own or at one that an old process goes on using too."""
        self.socket = inherited or bind(host, port)
        await self.resume_accepting()
        self._check_idle_connections()

    async def resume_accepting(self) -> None:
        """Accept, as at first or again."""
        assert self.socket is not None
        self.draining = False
        self._server = Acceptor(
            self.socket.dup(), self._accept, self._has_room, self.sockets, self.supervisor, self.counters
        )

    def pause_accepting(self) -> None:
        """Accept no more, as another process does at the same socket: queued connections are left to it."""
        self.draining = True
        self._close_server()

    def _close_server(self) -> None:
        if self._server is not None:
            self._overflow.close_held(self._server)
            self._server.close()
            self._server = None

    @property
    def _max_connections(self) -> int:
        """Clients that may stay; the rest of the descriptors is for those being closed."""
        return self.max_clients - int(self.max_clients * CLOSING_SHARE)

    def _has_room(self) -> bool:
        """Return whether one more queued connection may be accepted; if not, check again before long."""
        if self._make_room():
            return True
        self.counters.increment("clients.accept_paused")
        self._schedule_room_check()
        return False

    def _make_room(self) -> bool:
        """Return whether there is room for one more connection, after evicting one if that is needed."""
        if self.sockets.open >= self.max_clients:
            return False
        return len(self.connections) + self.sockets.connecting < self._max_connections or self._evict_one()

    def _schedule_room_check(self) -> None:
        if self._room_check is None:
            due = self.clock.now() + ROOM_CHECK_INTERVAL_MS
            self._room_check = self.deadlines.set(due, self._check_room)

    def _check_room(self) -> None:
        """Reject what is queued while requests hold all connections, or it would wait unread."""
        self._room_check = None
        if self._server is None or not self._server.is_paused:
            return
        can_evict = self._eviction.has_candidates(self.connections, self.clock.now(), self.max_clients)
        if can_evict or self.sockets.open < self._max_connections:
            self._server.resume()
            return
        self._reject_queued(self._server)
        self._schedule_room_check()

    def _reject_queued(self, server: Acceptor) -> None:
        max_held = self.max_clients - (self.sockets.open - self._overflow.held_count)
        self._overflow.run_round(server, max_held)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counters.increment("clients.accepted")
        if len(self.connections) >= self.max_clients and not self._evict_one():
            self.counters.increment("clients.rejected")
            writer.transport.abort()
            return
        limit_read_size(writer, READ_BYTES)
        disable_nagle(writer)
        actor = ClientConnectionActor(self, reader, writer, self.connections.discard)
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
        self._shed_idle(now)
        if self._server is not None:
            self._overflow.check_held(self._server)
        self.deadlines.set(now + IDLE_CHECK_INTERVAL_MS, self._check_idle_connections)

    def _shed_idle(self, now: float) -> None:
        """Evict what is idle longest before clients hold all descriptors they may.

        Guards against clients that keep a connection each for good: active ones would find none left, and
        we would not learn of it.
        """
        ranked = ranked_connections(self.connections, now)
        for rank, actor in ranked[: max(0, len(self.connections) - self.idle_client_threshold)]:
            if now - rank.since >= MIN_IDLE_BEFORE_SHEDDING_MS:
                self._evict(actor)

    def _evict_one(self) -> bool:
        """Evict the least useful idle connection; return whether there was one. Guards the descriptor limit.

        Clients that open connections and send nothing lose them to those that send commands.
        """
        candidate = self._eviction.next_candidate(self.connections, self.clock.now(), self.max_clients)
        if candidate is None:
            return False
        self._evict(candidate)
        return True

    def _evict(self, actor: ClientConnectionActor) -> None:
        self.counters.increment("clients.evicted")
        actor.evict()

    # graceful shutdown

    async def drain(self, answer_by: float = math.inf) -> None:
        """Accept no more; close each connection once nothing is owed on it; return when all are closed.

        answer_by: clock time by which requests are answered that arrive from now on, on connections that still owe
        a response.
        """
        self.answer_by = answer_by
        await self._accept_queued()
        self._close_server()
        if self.socket is not None:
            self.socket.close()
        while self.connections:
            for actor in list(self.connections):
                actor.close_when_idle()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def _accept_queued(self) -> None:
        """Accept the connections that are queued: they would be reset as the listening socket closes.

        Accepted sockets become connections some turns of the loop later, and are lost if the server is closed before.
        """
        if self.socket is None or self._server is None:
            return
        queued = select.poll()
        queued.register(self.socket, select.POLLIN)
        quiet_rounds = 0
        for _ in range(MAX_FINAL_ACCEPT_ROUNDS):
            quiet_rounds = 0 if queued.poll(0) else quiet_rounds + 1
            if quiet_rounds > QUIET_ACCEPT_ROUNDS:
                return
            self._check_room()
            await asyncio.sleep(0)
