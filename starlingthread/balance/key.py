"""One key's owners, kept until the list or the key's popularity changes."""

from __future__ import annotations

from .popularity import FleetDemand, Popularity
from .rendezvous import Owner, Rendezvous


class KeyOwners:
    """The owners that a router uses for one key."""

    __slots__ = ("_popularity", "_owners", "_version", "spread")

    def __init__(self) -> None:
        self._owners: list[Owner] = []
        self._version = -1  # of the list that they were drawn from
        self._popularity: Popularity | None = None
        self.spread = False  # whether it has more owners than this router uses: it is counted at others then, too

    def owners(self, now: float, key: int, write: bool, places: Rendezvous, demand: FleetDemand | None) -> list[Owner]:
        """Return the owners of a key (a 64-bit hash) that is asked for now; without a demand none counts as hot."""
        if demand is not None:
            self._popularity = self._popularity or Popularity()
            if self._popularity.record(now, write, demand):
                self._version = -1
        if self._version != places.version:
            copies = self._popularity.owner_count if demand is not None and self._popularity is not None else 0
            self._owners, self._version = places.owners(key, copies), places.version
            self.spread = copies > places.default_owner_count
        return self._owners
