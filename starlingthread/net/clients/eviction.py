"""Which idle connections are closed for others when descriptors run out."""

from __future__ import annotations

import math
from typing import Generic, Protocol, TypeVar

from .idle import SILENT_CLASSES, EvictionClass, EvictionRank

RANKING_LIFE_MS = 5.0  # for which the order of eviction is used, as ranking all connections takes a while
CROWD_SHARE = 0.25  # of the clients' connections; where more are silent, new ones may be evicted before they are silent


class Evictable(Protocol):
    """A connection that has a place in the order of eviction."""

    def eviction_rank(self, now: float) -> EvictionRank | None:
        """Return the place in the order; None if the connection must stay."""

    def idle_since(self) -> float | None:
        """Return the clock time of the last use; None if something is owed or under way."""


Connection = TypeVar("Connection", bound=Evictable)


def ranked_connections(connections: set[Connection], now: float) -> list[tuple[EvictionRank, Connection]]:
    """Return the connections that may be evicted, the first to go at the start."""
    ranked = [(rank, connection) for connection in connections if (rank := connection.eviction_rank(now)) is not None]
    return sorted(ranked, key=lambda pair: pair[0])


def least_likely_used_next(connections: set[Connection]) -> Connection | None:
    """Return the idle connection that its client is least likely to use next; None if there is none.

    Clients' pools take the connection that was used last or the one that was not used for longest, so it is the one in
    the middle: its client has time to see the close.
    """
    idle = [(since, connection) for connection in connections if (since := connection.idle_since()) is not None]
    idle.sort(key=lambda pair: pair[0])
    return idle[len(idle) // 2][1] if idle else None


class EvictionOrder(Generic[Connection]):
    """Picks the connections to evict one by one, without ranking all of them for each."""

    def __init__(self) -> None:
        self._candidates: list[Connection] = []  # the first to go at the end
        self._ranked_at = -math.inf  # clock time

    def next_candidate(self, connections: set[Connection], now: float, max_clients: int) -> Connection | None:
        """Return the least useful connection that may be evicted, None if there is none."""
        if now - self._ranked_at > RANKING_LIFE_MS or not self._candidates:
            self._rank(connections, now, max_clients)
        while self._candidates:
            candidate = self._candidates.pop()
            if candidate in connections and candidate.eviction_rank(now) is not None:
                return candidate
        return None

    def _rank(self, connections: set[Connection], now: float, max_clients: int) -> None:
        """Put the connections that may be evicted in order.

        A new connection may be evicted only beside a crowd of silent ones: when descriptors are held by requests, each
        of the queued clients is as new as the one that would be closed for it.
        """
        ranked = ranked_connections(connections, now)
        silent = sum(rank.eviction_class in SILENT_CLASSES for rank, _ in ranked)
        if silent <= CROWD_SHARE * max_clients:
            ranked = [pair for pair in ranked if pair[0].eviction_class != EvictionClass.NEW]
        self._candidates = [connection for _, connection in reversed(ranked)]
        self._ranked_at = now
