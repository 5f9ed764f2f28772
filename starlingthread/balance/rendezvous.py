"""The owners of a key by weighted rendezvous hashing, equal at all routers with the same endpoint list.

A hot key has more owners than one router uses. All routers compute the same owners, and each router uses a few of them,
selected by a hash that includes the router's index. So the load of the key is distributed evenly over its owners
without coordination, each owner gets enough requests to keep the key cached, and a router with a lower estimate of the
key's popularity uses owners that the other routers use too.
"""

from __future__ import annotations

import math
from heapq import nlargest
from typing import NamedTuple

HASH_MASK = (1 << 64) - 1
# A server of this weight owns almost no keys; a weight of 0 would cause a division by zero.
MIN_WEIGHT = 1e-3


def mix(value: int) -> int:
    """Return a hash of a 64-bit number; it is the same at every router."""
    value = (value ^ (value >> 31)) * 0x9E3779B97F4A7C15 & HASH_MASK
    value = (value ^ (value >> 29)) * 0xBF58476D1CE4E5B9 & HASH_MASK
    return value ^ (value >> 32)


class Candidate(NamedTuple):
    """A server that may become an owner; its share of the keys is proportional to its weight."""

    salt: int
    weight: float
    number: int


class Owner(NamedTuple):
    """An owner of a key, its rank for this router, and whether it was selected among the servers of the zone."""

    number: int
    rank: int
    in_zone: bool


class Rendezvous:
    """The candidates from which owners are selected: all servers, and those of this router's zone."""

    __slots__ = ("_fleet", "_router_salt", "_zone", "default_owner_count", "version")

    def __init__(self, router_index: int, default_owner_count: int) -> None:
        self.default_owner_count = default_owner_count  # owners of a key in each of the two groups
        self.version = 0  # version of the candidates
        self._router_salt = mix(router_index + 1)
        self._fleet: list[Candidate] = []
        self._zone: list[Candidate] = []

    def update(self, fleet: list[Candidate], zone: list[Candidate]) -> None:
        """Set the candidates; if all servers are in the zone, only the fleet group is used."""
        self.version += 1
        self._fleet = _with_min_weight(fleet)
        self._zone = _with_min_weight(zone) if len(zone) < len(fleet) else []

    def owners(self, key: int, owner_count: int = 0) -> list[Owner]:
        """Return the owners that this router uses for a key (a 64-bit hash), those of the zone first.

        owner_count: the number of owners of a hot key in the whole fleet; 0 for the default owners.
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
    """Return a tuple of the score, the number (which breaks ties) and the candidate for each candidate.

    The candidates with the greatest scores become owners. Plain tuples are used for speed, as each new key needs one
    per server.
    """
    return [
        (math.log((mix(key ^ candidate.salt) + 1) / HASH_MASK) / candidate.weight, candidate.number, candidate)
        for candidate in group
    ]


def is_key_in_share(key: int, salt: int, share: float) -> bool:
    """Return whether a key is in the share of the keys that a server accepts; salt: the salt of the server.

    The key is hashed twice, because the owners of a key are the servers with its greatest hashes: these hashes would
    always exceed the share.
    """
    return mix(mix(key ^ salt) ^ salt) < share * HASH_MASK
