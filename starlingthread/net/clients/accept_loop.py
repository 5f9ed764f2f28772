"""Accepts queued connections while there is room, and limits the accept queue to those that will find some."""

from __future__ import annotations

import asyncio
import math
import select
import socket
from typing import Protocol

from ...core.clock import Clock
from ...core.counters import Counters
from ...core.deadlines import Deadline, Deadlines
from ...core.task_supervisor import TaskSupervisor
from .accept_queue import AcceptQueue
from .acceptor import Acceptor, OnConnection, SocketCounts
from .room import ConnectionRoom

ROOM_CHECK_INTERVAL_MS = 40.0  # between checks for places while clients can't connect or wait in the queue
MAX_QUEUE_WAIT_MS = 100.0  # without room, after which any idle connection is evicted for a queued one
MAX_FINAL_ACCEPT_ROUNDS = 1000  # checks for queued connections before the listening socket is closed
QUIET_ACCEPT_ROUNDS = 2  # turns of the loop without any after which those accepted have become connections


class AcceptContext(Protocol):
    """The listener, as its accept loop sees it."""

    clock: Clock
    counters: Counters
    deadlines: Deadlines
    supervisor: TaskSupervisor
    sockets: SocketCounts
    max_clients: int


class AcceptLoop:
    """The accepting of connections at one listening socket, from its begin to its end."""

    def __init__(
        self,
        context: AcceptContext,
        room: ConnectionRoom,
        listening: socket.socket,
        is_shared: bool,
        on_connection: OnConnection,
    ) -> None:
        """Begin to accept; the listening socket stays the caller's.

        is_shared: another process may accept at the socket too.
        """
        self._context = context
        self._room = room
        self._listening = listening
        self._queue = AcceptQueue(listening, context.counters, is_shared)
        self._room_check: Deadline | None = None
        self._checked_room_at = -math.inf  # clock time
        self._waiting_since: float | None = None  # clock time from which on a queued connection has found no room
        self._is_ending = False
        self.limit_queue()
        self._acceptor = Acceptor(
            listening.dup(),
            on_connection,
            self._has_room,
            context.sockets,
            context.supervisor,
            context.counters,
            self._on_exhausted,
            self._on_released,
        )

    def close(self) -> None:
        """Accept no more; queued connections are left in the queue."""
        self._context.deadlines.clear(self._room_check)
        self._acceptor.close()

    # the queue

    def limit_queue(self, accepting: int = 0) -> None:
        """Let clients connect for the places that are free, less those for connections accepted just now."""
        places = self._room.free_places(accepting)
        self._queue.set_limit(0 if self._is_ending else places)
        if self._queue.is_shut:
            self._schedule_room_check()
        if places <= 0:
            self._room.note_full()

    def _on_released(self) -> None:
        """Let clients connect again at once, if a place has become free."""
        if self._queue.is_shut:
            self.limit_queue()

    # room

    def _has_room(self) -> bool:
        """Return whether a queued connection may be accepted; if not, check again before long."""
        if self._room.make_room():
            self._waiting_since = None
            self.limit_queue(accepting=1)
            return True
        if self._waiting_since is None:
            self._waiting_since = self._context.clock.now()
        self._context.counters.increment("clients.accept_paused")
        self._make_room_for_overdue()
        self._schedule_room_check()
        return False

    def _make_room_for_overdue(self) -> None:
        """Evict any idle connection for one that has waited in the queue for long, as its request is taken.

        Its descriptor is released some turns of the loop later, so one is evicted at a time.
        """
        now = self._context.clock.now()
        is_overdue = self._waiting_since is not None and now - self._waiting_since >= MAX_QUEUE_WAIT_MS
        if (is_overdue or self._is_ending) and not self._room.is_any_leaving:
            self._waiting_since = now
            self._room.evict_any()

    def _on_exhausted(self) -> None:
        """Let no more clients connect until the system has descriptors again."""
        self._queue.set_limit(0)
        self._schedule_room_check()

    def _schedule_room_check(self) -> None:
        if self._room_check is None:
            due = self._checked_room_at + ROOM_CHECK_INTERVAL_MS
            self._room_check = self._context.deadlines.set(due, self._check_room)

    def _check_room(self) -> None:
        """Look for places while clients can't connect, or while connections wait in the queue."""
        self._room_check = None
        self._checked_room_at = self._context.clock.now()
        if self._queue.is_shut:
            self._room.shed_ahead()
            self.limit_queue()
        if self._acceptor.is_paused:
            self._acceptor.resume()
            self._schedule_room_check()
        else:
            self._waiting_since = None  # nothing is queued

    # the end

    async def accept_queued(self) -> None:
        """Let no more clients connect, and accept those that have: they would be reset as the socket closes.

        Accepted sockets become connections some turns of the loop later, and are lost if the acceptor is closed before.
        """
        self._is_ending = True
        self.limit_queue()
        queued = select.poll()
        queued.register(self._listening, select.POLLIN)
        quiet_rounds = 0
        for _ in range(MAX_FINAL_ACCEPT_ROUNDS):
            quiet_rounds = 0 if queued.poll(0) else quiet_rounds + 1
            if quiet_rounds > QUIET_ACCEPT_ROUNDS:
                return
            self._acceptor.resume()
            await asyncio.sleep(0)
