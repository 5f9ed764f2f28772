"""Which idle connections are closed for others when descriptors run out."""

from __future__ import annotations

import math
from typing import Generic, Protocol, TypeVar

from .idle import EvictionClass, EvictionRank

RANKING_LIFE_MS = 5.0  # for which the order of eviction is used, as ranking all connections takes a while


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

    def next_candidate(self, connections: set[Connection], now: float) -> Connection | None:
        """Return the least useful connection that may be evicted, None if there is none."""
        if now - self._ranked_at > RANKING_LIFE_MS or not self._candidates:
            self._rank(connections, now)
        while self._candidates:
            candidate = self._candidates.pop()
            if candidate in connections and candidate.eviction_rank(now) is not None:
                return candidate
        return None

    def _rank(self, connections: set[Connection], now: float) -> None:
        """Put the connections that may be evicted in order.

        New ones may not, however many they are: a burst of ordinary clients looks like a crowd of silent ones until its
        requests arrive, and these would cross the close.
        """
        ranked = ranked_connections(connections, now)
        self._candidates = [
            connection for rank, connection in reversed(ranked) if rank.eviction_class != EvictionClass.NEW
        ]
        self._ranked_at = now
