"""The owners of one key, cached until the endpoint list or the number of the key's owners changes."""

from __future__ import annotations

from .popularity import FleetDemand, Popularity
from .rendezvous import Owner, Rendezvous


class KeyOwners:
    """The owners that this router uses for one key."""

    __slots__ = ("_owners", "_popularity", "_version", "is_spread")

    def __init__(self) -> None:
        self._owners: list[Owner] = []
        self._version = -1  # version of the candidates from which the owners were computed; -1: recompute
        self._popularity: Popularity | None = None
        # Whether the key has more owners than this router uses, so that other routers use other owners.
        self.is_spread = False

    def owners(
        self, now: float, key: int, is_write: bool, rendezvous: Rendezvous, demand: FleetDemand | None
    ) -> list[Owner]:
        """Return the owners for a request for the key (a 64-bit hash); without a demand no key counts as hot."""
        owner_count = 0
        if demand is not None:
            popularity = self._popularity = self._popularity or Popularity()
            if popularity.record(now, is_write, demand):
                self._version = -1
            owner_count = popularity.owner_count
        if self._version != rendezvous.version:
            self._owners = rendezvous.owners(key, owner_count)
            self._version = rendezvous.version
            self.is_spread = owner_count > rendezvous.default_owner_count
        return self._owners
