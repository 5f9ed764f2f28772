"""Which idle connections are closed for others when descriptors run out."""

from __future__ import annotations

import math
from typing import Generic, Protocol, TypeVar

from .idle import EvictionRank

RANKING_LIFE_MS = 5.0  # for which the order of eviction is used, as ranking all connections takes a while


class Evictable(Protocol):
    """A connection that has a place in the order of eviction."""

    def eviction_rank(self, now: float) -> EvictionRank | None:
        """Return the place in the order; None if something is owed or the connection is being closed."""

    def idle_since(self) -> float | None:
        """Return the clock time of the last use; None if something is owed or under way."""


Connection = TypeVar("Connection", bound=Evictable)


def ranked_connections(connections: set[Connection], now: float) -> list[tuple[EvictionRank, Connection]]:
    """Return the connections on which nothing is owed, the first to go at the start."""
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

    def next_candidate(self, connections: set[Connection], now: float) -> Connection | None:
        """Return the least useful connection if it may be evicted by now, else None.

        The next one is not taken in its place, as it is more useful; it has its turn in the next call.
        """
        if now - self._ranked_at > RANKING_LIFE_MS or not self._candidates:
            self._candidates = [connection for _, connection in reversed(ranked_connections(connections, now))]
            self._ranked_at = now
        while self._candidates:
            candidate = self._candidates.pop()
            rank = candidate.eviction_rank(now) if candidate in connections else None
            if rank is not None:
                return candidate if rank.evictable_at <= now else None
        return None
