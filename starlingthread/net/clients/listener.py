"""The listener: accepts clients within the descriptor limit and owns their connections."""

from __future__ import annotations

import asyncio
import errno
import math
import select
import socket
from collections.abc import Callable

from ...core.pipe import ByteBudget
from ...core.router import Router
from ...core.task_supervisor import TaskSupervisor
from ...settings import Settings
from ..streams import DisconnectAwareProtocol, disable_nagle, limit_read_size
from .connection import ClientConnectionActor
from .context import PausedConnection
from .idle import EvictionRank
from .limits import DISCONNECT_CHECK_INTERVAL_MS, READ_BYTES

IDLE_CHECK_INTERVAL_MS = 100.0  # between checks for connections that are idle, silent or amid a command
CROWDED_RATIO = 0.8  # of the idle client threshold, from which on idle connections are closed sooner
MIN_IDLE_BEFORE_SHEDDING_MS = 100.0  # an idle connection may go after this when clients exceed the threshold
LISTEN_BACKLOG = 1024  # connections that the system may queue for us
MAX_ACCEPTS_PER_TURN = 16  # so that descriptors of connections closed for them are released in between
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
        self._server: asyncio.Server | None = None
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
        self._server = await asyncio.get_running_loop().create_server(
            lambda: DisconnectAwareProtocol(self._accept, READ_BYTES),
            sock=self.socket.dup(),
            backlog=MAX_ACCEPTS_PER_TURN,
        )
        # asyncio has one number for both the system's queue and the accepts per turn.
        self.socket.listen(LISTEN_BACKLOG)

    def pause_accepting(self) -> None:
        """Accept no more, as another process does at the same socket: queued connections are left to it."""
        self.draining = True
        self._close_server()

    def _close_server(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

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
        self.deadlines.set(now + IDLE_CHECK_INTERVAL_MS, self._check_idle_connections)

    def _shed_idle(self, now: float) -> None:
        """Evict what is idle longest before clients hold all descriptors they may.

        Guards against clients that keep a connection each for good: active ones would find none left, and
        we would not learn of it.
        """
        ranked = sorted(self._ranked_for_eviction(now), key=lambda pair: pair[0])
        for rank, actor in ranked[: max(0, len(self.connections) - self.idle_client_threshold)]:
            if now - rank.since >= MIN_IDLE_BEFORE_SHEDDING_MS:
                self._evict(actor)

    def _evict_one(self) -> bool:
        """Evict the least useful idle connection; return whether there was one. Guards the descriptor limit.

        Clients that open connections and send nothing lose them to those that send commands.
        """
        ranked = self._ranked_for_eviction(self.clock.now())
        if not ranked:
            return False
        self._evict(min(ranked, key=lambda pair: pair[0])[1])
        return True

    def _ranked_for_eviction(self, now: float) -> list[tuple[EvictionRank, ClientConnectionActor]]:
        return [(rank, actor) for actor in self.connections if (rank := actor.eviction_rank(now)) is not None]

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
            await asyncio.sleep(0)
