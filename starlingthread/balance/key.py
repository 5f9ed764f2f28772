"""One key's homes, kept until the list or the key's heat changes."""

from __future__ import annotations

from .homes import Home, Homes
from .hot import Crowd, Heat


class KeyHomes:
    """The homes that a router uses for one key."""

    __slots__ = ("_heat", "_homes", "_version", "spread")

    def __init__(self) -> None:
        self._homes: list[Home] = []
        self._version = -1  # of the list that they were drawn from
        self._heat: Heat | None = None
        self.spread = False  # whether it has more homes than this router uses: it is counted at others then, too

    def of(self, now: float, key: int, write: bool, places: Homes, crowd: Crowd | None) -> list[Home]:
        """Return the homes of a key (a 64-bit hash) that is asked for now; without a crowd none counts as hot."""
        if crowd is not None:
            self._heat = self._heat or Heat()
            if self._heat.asked(now, write, crowd):
                self._version = -1
        if self._version != places.version:
            copies = self._heat.copies if crowd is not None and self._heat is not None else 0
            self._homes, self._version = places.of(key, copies), places.version
            self.spread = copies > places.usual
        return self._homes
