"""Which servers are a key's owners: weighted rendezvous hashing, the same at every router with the same list.

A hot key has more owners than a router keeps to. All routers draw the same many, and each keeps to few of them, by a
hash of its own number: so the key's load is spread evenly over its owners without a word between routers, each owner
still sees it often enough to keep it, and a router that thinks it less hot uses owners that the others use too.
"""

from __future__ import annotations

import math
from heapq import nlargest
from typing import NamedTuple

MASK = (1 << 64) - 1
LEAST = 1e-3  # a weight that draws next to nothing


def mix(value: int) -> int:
    """Hash a number, the same at every router."""
    value = (value ^ (value >> 31)) * 0x9E3779B97F4A7C15 & MASK
    value = (value ^ (value >> 29)) * 0xBF58476D1CE4E5B9 & MASK
    return value ^ (value >> 32)


class Candidate(NamedTuple):
    """A server that may be an owner."""

    salt: int
    weight: float
    number: int


class Owner(NamedTuple):
    """An owner of a key: its rank for this router, and whether it is one of the zone's own."""

    number: int
    rank: int
    near: bool


class Rendezvous:
    """The servers from which owners are drawn: all, and those of this router's zone."""

    __slots__ = ("_all", "_me", "_near", "default_owner_count", "version")

    def __init__(self, me: int, usual: int) -> None:
        self.default_owner_count = usual  # owners of a key in each of the two groups
        self.version = 0  # of the list
        self._me = mix(me + 1)
        self._all: list[Candidate] = []
        self._near: list[Candidate] = []

    def update(self, places: list[Candidate], near: list[Candidate]) -> None:
        """Take in a new list; where all servers are near there is one group only."""
        self.version += 1
        self._all, self._near = (
            [place._replace(weight=max(place.weight, LEAST)) for place in group]
            for group in (places, near if len(near) < len(places) else [])
        )

    def owners(self, key: int, copies: int = 0) -> list[Owner]:
        """Return a key's owners for this router (key: a 64-bit hash), the zone's first; copies: of a hot key."""
        owners = []
        for near, group in ((True, self._near), (False, self._all)):
            share = math.ceil(copies * len(group) / len(self._all)) if group else 0
            drawn = self._drawn(key, group)
            if share > self.default_owner_count:
                # Once more, by this router's own hash, among those that are the same at all.
                drawn = self._drawn(key ^ self._me, [place for _, _, place in nlargest(share, drawn)])
            owners += [
                Owner(number, rank, near)
                for rank, (_, number, _) in enumerate(nlargest(self.default_owner_count, drawn))
            ]
        return owners

    @staticmethod
    def _drawn(key: int, group: list[Candidate]) -> list[tuple[float, int, Candidate]]:
        return [(math.log((mix(key ^ place.salt) + 1) / MASK) / place.weight, place.number, place) for place in group]
