"""Selects the idle connections that are closed for others when descriptors run out."""

from __future__ import annotations

import math
from typing import Generic, Protocol, TypeVar

from .idle import EvictionRank

# An eviction order is reused for this long, as ranking all connections is slow.
RANKING_LIFETIME_MS = 5.0


class Evictable(Protocol):
    """A connection that can be ranked for eviction."""

    def eviction_rank(self, now: float) -> EvictionRank | None:
        """Return the rank in the eviction order; None if a response is pending or the connection is being closed."""

    def idle_since(self) -> float | None:
        """Return the clock time of the last use; None if the connection is in use or being closed."""


Connection = TypeVar("Connection", bound=Evictable)


def ranked_connections(connections: set[Connection], now: float) -> list[tuple[EvictionRank, Connection]]:
    """Return the connections that have a rank, the least useful first."""
    ranked = [(rank, connection) for connection in connections if (rank := connection.eviction_rank(now)) is not None]
    return sorted(ranked, key=lambda pair: pair[0])


def least_likely_used_next(connections: set[Connection]) -> Connection | None:
    """Return the idle connection that its client is least likely to use next; None if there is none.

    Connection pools take either the most or the least recently used connection. So this is the one in the middle,
    whose client has time to see the close.
    """
    idle = [(since, connection) for connection in connections if (since := connection.idle_since()) is not None]
    idle.sort(key=lambda pair: pair[0])
    return idle[len(idle) // 2][1] if idle else None


class EvictionOrder(Generic[Connection]):
    """Selects connections to evict one by one, without ranking all of them each time."""

    def __init__(self) -> None:
        self._candidates: list[Connection] = []  # the least useful last
        self._ranked_at = -math.inf  # clock time

    def next_candidate(self, connections: set[Connection], now: float) -> Connection | None:
        """Return the least useful connection if it may be evicted by now, else None.

        A more useful connection is not returned instead; it is the candidate of the next call.
        """
        if now - self._ranked_at > RANKING_LIFETIME_MS or not self._candidates:
            self._candidates = [connection for _, connection in reversed(ranked_connections(connections, now))]
            self._ranked_at = now
        while self._candidates:
            candidate = self._candidates.pop()
            rank = candidate.eviction_rank(now) if candidate in connections else None
            if rank is not None:
                return candidate if rank.evictable_at <= now else None
        return None
