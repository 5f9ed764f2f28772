"""How many more clients may connect, and which idle ones are evicted for them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from ...core.clock import Clock
from ...core.counters import Counters
from .acceptor import SocketCounts
from .eviction import EvictionOrder, least_likely_used_next, ranked_connections

if TYPE_CHECKING:
    from .connection import ClientConnectionActor

CLOSING_SHARE = 1 / 16  # of the clients' descriptors, for connections that are being closed for new ones
EXCESS_DESCRIPTORS = 3  # for connections that come up beyond the places, and one that is being closed meanwhile
MAX_EXCESS_SHARE = 1 / 6  # of the clients' descriptors, which these may be where there are few
RACE_EXCESS = 1  # connections beyond any limit of the accept queue, as SYNs arrive on several processors at once
SHED_AHEAD_SHARE = 1 / 4  # of the connections, that are evicted at once for clients that can't connect at present
MIN_IDLE_BEFORE_SHEDDING_MS = 100.0  # an idle connection may go after this when clients exceed the threshold
FULL_MEMORY_MS = 1000.0  # after the last moment without a place, for which clients count as crowded


class RoomContext(Protocol):
    """The listener, as its room sees it."""

    clock: Clock
    counters: Counters
    max_clients: int
    idle_client_threshold: int
    connections: set[ClientConnectionActor]
    sockets: SocketCounts


class ConnectionRoom:
    """The places for connections of one listener."""

    def __init__(self, context: RoomContext) -> None:
        self._context = context
        self._eviction: EvictionOrder[ClientConnectionActor] = EvictionOrder()
        self._leaving: set[ClientConnectionActor] = set()  # open, and evicted already
        self.crowded_until = -math.inf  # clock time until which clients count as having found no place lately

    @property
    def max_connections(self) -> int:
        """Clients that may stay; the rest of the descriptors is for those being closed and those beyond the places."""
        max_clients = self._context.max_clients
        return max_clients - max(self._excess_descriptors, int(max_clients * CLOSING_SHARE))

    @property
    def _excess_descriptors(self) -> int:
        return min(EXCESS_DESCRIPTORS, int(self._context.max_clients * MAX_EXCESS_SHARE))

    def free_places(self, accepting: int = 0) -> int:
        """Return how many connections may come up, so that each finds a descriptor, also those beyond the limit.

        The places of evicted connections count as free before they are closed, their descriptors don't: a command may
        arrive before.
        accepting: connections that are accepted just now, and counted as open a moment later.
        """
        context, excess = self._context, self._excess_descriptors
        free_descriptors = context.max_clients - context.sockets.open - accepting
        if free_descriptors < excess:
            return 0
        places = self.max_connections - self._staying - accepting
        return max(0, min(places, free_descriptors - min(RACE_EXCESS, excess)))

    @property
    def is_any_leaving(self) -> bool:
        """Whether a connection that was evicted is still open, so that its descriptor is released soon."""
        return bool(self._leaving)

    @property
    def _staying(self) -> int:
        context = self._context
        return len(context.connections) - len(self._leaving) + context.sockets.connecting

    def note_full(self) -> None:
        """Note that no client can connect at present."""
        self.crowded_until = self._context.clock.now() + FULL_MEMORY_MS

    def on_closed(self, actor: ClientConnectionActor) -> None:
        """Take a connection out that has ended."""
        self._context.connections.discard(actor)
        self._leaving.discard(actor)

    def on_eviction_undone(self, actor: ClientConnectionActor) -> None:
        """Count a connection as staying whose client sent a request before it was closed."""
        self._leaving.discard(actor)

    # making room

    def make_room(self) -> bool:
        """Return whether there is a descriptor for a queued connection; evict an idle one if it is beyond the places.

        What has come up is accepted in any case, as its client has sent a request.
        """
        context = self._context
        if context.sockets.open >= context.max_clients:
            return False
        if self._staying >= self.max_connections:
            self.evict_one()
        return True

    def evict_one(self) -> bool:
        """Evict the least useful connection unless it must stay yet; return whether it was evicted.

        Guards the descriptor limit. Clients that open connections and send nothing lose them to those that send
        commands.
        """
        context = self._context
        candidate = self._eviction.next_candidate(context.connections, context.clock.now())
        if candidate is None:
            return False
        self._evict(candidate)
        return True

    def evict_any(self) -> bool:
        """Evict an idle connection, however short it has been idle; return whether there was one.

        For a connection that has waited in the queue for too long: its request would be lost for certain.
        """
        candidate = least_likely_used_next(self._context.connections)
        if candidate is None:
            return False
        self._evict(candidate)
        return True

    def shed_ahead(self) -> None:
        """Evict some idle connections before others ask for their places, as the queue is shut and none can ask."""
        allowed = int(self.max_connections * (1 - SHED_AHEAD_SHARE))
        self._evict_first(self._staying - allowed, self._context.clock.now())

    def shed_idle(self, now: float) -> None:
        """Evict what is least useful before clients hold all descriptors they may.

        Guards against clients that keep a connection each for good: active ones would find none left, and
        we would not learn of it.
        """
        excess = len(self._context.connections) - self._context.idle_client_threshold
        self._evict_first(excess, now, MIN_IDLE_BEFORE_SHEDDING_MS)

    def _evict_first(self, count: int, now: float, min_idle_ms: float = 0.0) -> None:
        """Evict those of the ``count`` least useful connections that need not stay.

        No others are evicted in place of those that must: a crowd that came up a moment ago would else displace clients
        that use their connections, and whose requests cross the close.
        """
        if count <= 0:
            return
        for rank, actor in ranked_connections(self._context.connections, now)[:count]:
            if now >= max(rank.evictable_at, rank.since + min_idle_ms):
                self._evict(actor)

    def _evict(self, actor: ClientConnectionActor) -> None:
        self._context.counters.increment("clients.evicted")
        self._leaving.add(actor)
        actor.evict()
