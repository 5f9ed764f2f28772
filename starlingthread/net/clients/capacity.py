"""Connection slots: how many more clients may connect, and which idle connections are evicted for them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from ...core.clock import Clock
from ...core.counters import Counters
from .acceptor import SocketCounts
from .eviction import EvictionOrder, least_likely_used_next, ranked_connections

if TYPE_CHECKING:
    from .connection import ClientConnectionActor

# Share of the clients' descriptors that is reserved for connections being closed to make way for new ones.
CLOSING_SHARE = 1 / 16
# Descriptors for connections that are established beyond the free slots, and for one that is being closed meanwhile.
RESERVED_DESCRIPTORS = 3
# Upper bound of RESERVED_DESCRIPTORS as a share of the clients' descriptors, for processes with few descriptors.
MAX_RESERVED_SHARE = 1 / 6
# Connections by which the accept queue may exceed any limit, as SYNs arrive on several processors at once.
SYN_RACE_CONNECTIONS = 1
# Share of the connections that may be evicted at once for clients that can't connect at present.
ADVANCE_EVICTION_SHARE = 1 / 4
# Above the idle client threshold, a connection may be evicted once it has been idle for this long.
MIN_IDLE_ABOVE_THRESHOLD_MS = 100.0
# The listener counts as at capacity for this long after it last had no free slot.
AT_CAPACITY_HOLD_MS = 1000.0


class CapacityContext(Protocol):
    """The part of the listener that its connection capacity uses."""

    clock: Clock
    counters: Counters
    max_clients: int
    idle_client_threshold: int
    connections: set[ClientConnectionActor]
    sockets: SocketCounts


class ConnectionCapacity:
    """The connection slots of one listener."""

    def __init__(self, context: CapacityContext) -> None:
        self._context = context
        self._eviction: EvictionOrder[ClientConnectionActor] = EvictionOrder()
        self._evicted: set[ClientConnectionActor] = set()  # evicted connections that are still open
        self.at_capacity_until = -math.inf  # clock time until which the listener counts as at capacity

    @property
    def max_connections(self) -> int:
        """Maximum number of retained connections.

        The remaining descriptors serve connections that are being closed or were established beyond the free slots.
        """
        max_clients = self._context.max_clients
        return max_clients - max(self._reserved_descriptors, int(max_clients * CLOSING_SHARE))

    @property
    def _reserved_descriptors(self) -> int:
        return min(RESERVED_DESCRIPTORS, int(self._context.max_clients * MAX_RESERVED_SHARE))

    def free_slots(self, accepting: int = 0) -> int:
        """Return how many connections may be established so that each gets a descriptor, also those beyond the limit.

        The slot of an evicted connection counts as free before the connection is closed. Its descriptor does not, as a
        command may arrive before the close.
        accepting: connections that are being accepted and not counted as open yet
        """
        context, reserved = self._context, self._reserved_descriptors
        free_descriptors = context.max_clients - context.sockets.open - accepting
        if free_descriptors < reserved:
            return 0
        free_slots = self.max_connections - self._retained_count - accepting
        return max(0, min(free_slots, free_descriptors - min(SYN_RACE_CONNECTIONS, reserved)))

    @property
    def has_pending_evictions(self) -> bool:
        """Whether an evicted connection is still open, whose descriptor is released soon."""
        return bool(self._evicted)

    @property
    def _retained_count(self) -> int:
        context = self._context
        return len(context.connections) - len(self._evicted) + context.sockets.initializing

    def record_at_capacity(self) -> None:
        """Record that no client can connect at present."""
        self.at_capacity_until = self._context.clock.now() + AT_CAPACITY_HOLD_MS

    def on_closed(self, actor: ClientConnectionActor) -> None:
        """Remove a closed connection."""
        self._context.connections.discard(actor)
        self._evicted.discard(actor)

    def on_eviction_cancelled(self, actor: ClientConnectionActor) -> None:
        """Retain an evicted connection whose client sent a request before it was closed."""
        self._evicted.discard(actor)

    # eviction

    def ensure_capacity(self) -> bool:
        """Return whether there is a descriptor for a queued connection; evict an idle connection if no slot is free.

        An established connection is accepted even if none is evicted for it, as its client may have sent a request.
        """
        context = self._context
        if context.sockets.open >= context.max_clients:
            return False
        if self._retained_count >= self.max_connections:
            self.evict_one()
        return True

    def evict_one(self) -> bool:
        """Evict the least useful connection if it may be evicted by now; return whether it was evicted.

        This enforces the descriptor limit: clients that open connections without sending anything lose them to clients
        that send commands.
        """
        context = self._context
        candidate = self._eviction.next_candidate(context.connections, context.clock.now())
        if candidate is None:
            return False
        self._evict(candidate)
        return True

    def evict_any(self) -> bool:
        """Evict an idle connection, however briefly it has been idle; return whether there was one.

        Called for a connection that has waited in the accept queue for too long, whose request would otherwise be lost.
        """
        candidate = least_likely_used_next(self._context.connections)
        if candidate is None:
            return False
        self._evict(candidate)
        return True

    def evict_in_advance(self) -> None:
        """Evict some idle connections while the accept queue is shut, as waiting clients can't be seen then."""
        allowed = int(self.max_connections * (1 - ADVANCE_EVICTION_SHARE))
        self._evict_least_useful(self._retained_count - allowed, self._context.clock.now())

    def evict_above_threshold(self, now: float) -> None:
        """Evict the least useful connections above the idle client threshold.

        Otherwise clients that keep their connections open forever would take all descriptors, and active clients could
        not connect, without the router noticing.
        """
        excess = len(self._context.connections) - self._context.idle_client_threshold
        self._evict_least_useful(excess, now, MIN_IDLE_ABOVE_THRESHOLD_MS)

    def _evict_least_useful(self, count: int, now: float, min_idle_ms: float = 0.0) -> None:
        """Evict those of the ``count`` least useful connections that may be evicted by now.

        No others are evicted instead of those that must stay. Otherwise many new connections would displace clients
        that use theirs, whose next requests would cross the close.
        """
        if count <= 0:
            return
        for rank, actor in ranked_connections(self._context.connections, now)[:count]:
            if now >= max(rank.evictable_at, rank.since + min_idle_ms):
                self._evict(actor)

    def _evict(self, actor: ClientConnectionActor) -> None:
        self._context.counters.increment("clients.evicted")
        self._evicted.add(actor)
        actor.evict()
