"""Accepts queued connections while there is capacity, and limits the accept queue to what can be accepted in time."""

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
from .capacity import ConnectionCapacity

# Interval of the checks for free connection slots while clients can't connect or wait in the accept queue.
CAPACITY_CHECK_INTERVAL_MS = 40.0
# Any idle connection is evicted for a queued one that has waited this long for a descriptor.
MAX_QUEUE_WAIT_MS = 100.0
# Maximum number of checks for queued connections before the listening socket is closed.
MAX_FINAL_ACCEPT_ROUNDS = 1000
# All accepted sockets have become connections after this many turns of the event loop with an empty accept queue.
EMPTY_ACCEPT_ROUNDS = 2


class AcceptContext(Protocol):
    """The part of the listener that its accept loop uses."""

    clock: Clock
    counters: Counters
    deadlines: Deadlines
    supervisor: TaskSupervisor
    sockets: SocketCounts
    max_clients: int


class AcceptLoop:
    """Accepts connections at one listening socket until it is closed."""

    def __init__(
        self,
        context: AcceptContext,
        capacity: ConnectionCapacity,
        listening: socket.socket,
        is_shared: bool,
        on_connection: OnConnection,
    ) -> None:
        """Start accepting; the caller keeps the ownership of the listening socket.

        is_shared: another process may accept connections at the socket as well.
        """
        self._context = context
        self._capacity = capacity
        self._listening = listening
        self._queue = AcceptQueue(listening, context.counters, is_shared)
        self._capacity_check: Deadline | None = None
        self._last_capacity_check_at = -math.inf  # clock time
        self._waiting_since: float | None = None  # clock time since which a queued connection has waited for capacity
        self._is_draining = False
        self.limit_queue()
        self._acceptor = Acceptor(
            listening.dup(),
            on_connection,
            self._has_capacity,
            context.sockets,
            context.supervisor,
            context.counters,
            self._on_exhausted,
            self._on_released,
        )

    def close(self) -> None:
        """Stop accepting; queued connections remain in the accept queue."""
        self._context.deadlines.clear(self._capacity_check)
        self._acceptor.close()

    # accept queue

    def limit_queue(self, accepting: int = 0) -> None:
        """Limit the accept queue to the free connection slots.

        accepting: connections that are being accepted, for which slots are subtracted.
        """
        free_slots = self._capacity.free_slots(accepting)
        self._queue.set_limit(0 if self._is_draining else free_slots)
        if self._queue.is_shut:
            self._schedule_capacity_check()
        if free_slots <= 0:
            self._capacity.record_at_capacity()

    def _on_released(self) -> None:
        """Let clients connect again as soon as a connection slot is free."""
        if self._queue.is_shut:
            self.limit_queue()

    def has_queued(self) -> bool:
        """Return whether connections are queued."""
        queued = select.poll()
        queued.register(self._listening, select.POLLIN)
        return bool(queued.poll(0))

    # capacity

    def _has_capacity(self) -> bool:
        """Return whether a queued connection may be accepted; if not, schedule another check."""
        if self._capacity.ensure_capacity():
            self._waiting_since = None
            self.limit_queue(accepting=1)
            return True
        if self._waiting_since is None:
            self._waiting_since = self._context.clock.now()
        self._context.counters.increment("clients.accept_paused")
        self._evict_for_overdue()
        self._schedule_capacity_check()
        return False

    def _evict_for_overdue(self) -> None:
        """Evict any idle connection if a queued one has waited for too long, as its client may have sent a request.

        Connections are evicted one at a time, as a descriptor is released some turns of the event loop later.
        """
        now = self._context.clock.now()
        is_overdue = self._waiting_since is not None and now - self._waiting_since >= MAX_QUEUE_WAIT_MS
        if (is_overdue or self._is_draining) and not self._capacity.has_pending_evictions:
            self._waiting_since = now
            self._capacity.evict_any()

    def _on_exhausted(self) -> None:
        """Let no more clients connect until the system has free descriptors again."""
        self._queue.set_limit(0)
        self._schedule_capacity_check()

    def _schedule_capacity_check(self) -> None:
        if self._capacity_check is None:
            due = self._last_capacity_check_at + CAPACITY_CHECK_INTERVAL_MS
            self._capacity_check = self._context.deadlines.set(due, self._check_capacity)

    def _check_capacity(self) -> None:
        """Look for free connection slots while clients can't connect or wait in the accept queue."""
        self._capacity_check = None
        self._last_capacity_check_at = self._context.clock.now()
        if self._queue.is_shut:
            self._capacity.evict_in_advance()
            self.limit_queue()
        if self._acceptor.is_paused:
            self._acceptor.resume()
            self._schedule_capacity_check()
        else:
            self._waiting_since = None  # nothing is queued

    # shutdown

    async def accept_queued(self) -> None:
        """Let no more clients connect, and accept the queued connections, as closing the socket would reset them.

        Accepted sockets become connections some turns of the event loop later; they are lost if the acceptor is closed
        before that.
        """
        self._is_draining = True
        self.limit_queue()
        empty_rounds = 0
        for _ in range(MAX_FINAL_ACCEPT_ROUNDS):
            empty_rounds = 0 if self.has_queued() else empty_rounds + 1
            if empty_rounds > EMPTY_ACCEPT_ROUNDS:
                return
            self._acceptor.resume()
            await asyncio.sleep(0)
