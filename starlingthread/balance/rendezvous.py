"""The owners of a key: weighted rendezvous hashing, the same at every router with the same endpoint list.

A hot key has more owners than one router uses. All routers compute the same owners, and each uses a few of them,
selected by a hash that includes its own index: so the key's load is spread evenly over its owners without coordination,
each owner still sees the key often enough to keep it cached, and a router that considers the key less hot uses owners
that the others use too.
"""

from __future__ import annotations

import math
from heapq import nlargest
from typing import NamedTuple

HASH_MASK = (1 << 64) - 1
MIN_WEIGHT = 1e-3  # selects a server for next to no key; a weight of 0 would divide by zero


def mix(value: int) -> int:
    """Hash a 64-bit number, the same at every router."""
    value = (value ^ (value >> 31)) * 0x9E3779B97F4A7C15 & HASH_MASK
    value = (value ^ (value >> 29)) * 0xBF58476D1CE4E5B9 & HASH_MASK
    return value ^ (value >> 32)


class Candidate(NamedTuple):
    """A server that may become an owner; its share of the keys is proportional to its weight."""

    salt: int
    weight: float
    number: int


class Owner(NamedTuple):
    """An owner of a key: its rank for this router, and whether it was selected among the zone's servers."""

    number: int
    rank: int
    in_zone: bool


class Rendezvous:
    """The candidates from which owners are selected: all servers, and those of this router's zone."""

    __slots__ = ("_fleet", "_router_salt", "_zone", "default_owner_count", "version")

    def __init__(self, router_index: int, default_owner_count: int) -> None:
        self.default_owner_count = default_owner_count  # owners of a key in each of the two groups
        self.version = 0  # of the candidates
        self._router_salt = mix(router_index + 1)
        self._fleet: list[Candidate] = []
        self._zone: list[Candidate] = []

    def update(self, fleet: list[Candidate], zone: list[Candidate]) -> None:
        """Set the candidates; if all servers are in the zone there is only one group."""
        self.version += 1
        self._fleet = _with_min_weight(fleet)
        self._zone = _with_min_weight(zone) if len(zone) < len(fleet) else []

    def owners(self, key: int, owner_count: int = 0) -> list[Owner]:
        """Return the owners that this router uses for a key (a 64-bit hash), those of the zone first.

        owner_count: the owners of a hot key over the whole fleet; 0 for the default ones.
        """
        return [
            *self._select(key, owner_count, self._zone, in_zone=True),
            *self._select(key, owner_count, self._fleet, in_zone=False),
        ]

    def _select(self, key: int, owner_count: int, group: list[Candidate], in_zone: bool) -> list[Owner]:
        scored = _score(key, group)
        group_owner_count = math.ceil(owner_count * len(group) / len(self._fleet)) if group else 0
        if group_owner_count > self.default_owner_count:
            # Select again, by this router's own hash, among the owners that are the same at all routers.
            shared_owners = [candidate for _, _, candidate in nlargest(group_owner_count, scored)]
            scored = _score(key ^ self._router_salt, shared_owners)
        selected = nlargest(self.default_owner_count, scored)
        return [Owner(number, rank, in_zone) for rank, (_, number, _) in enumerate(selected)]


def _with_min_weight(candidates: list[Candidate]) -> list[Candidate]:
    return [candidate._replace(weight=max(candidate.weight, MIN_WEIGHT)) for candidate in candidates]


def _score(key: int, group: list[Candidate]) -> list[tuple[float, int, Candidate]]:
    """Return the score of each candidate, its number, which breaks ties, and the candidate.

    The greatest scores select the owners. These are plain tuples as there is one per server for each new key.
    """
    return [
        (math.log((mix(key ^ candidate.salt) + 1) / HASH_MASK) / candidate.weight, candidate.number, candidate)
        for candidate in group
    ]


def is_key_in_share(key: int, salt: int, share: float) -> bool:
    """Return whether a key is in the share of the keys that a server takes; salt: of the server.

    Hashed twice: a key's owners are the servers with the greatest of its hashes, and of those none would be under a
    share.
    """
    return mix(mix(key ^ salt) ^ salt) < share * HASH_MASK
