"""Regions made of zones, as the operator's file tells them. Without it each zone is a region."""

from __future__ import annotations

from collections.abc import Mapping, Sequence


class TopologyError(Exception):
    """The regions make no sense; the text says which and why."""


class Topology:
    """Which zones are near one another: the own one, then those of its region, then the rest."""

    __slots__ = ("_region", "unknown", "zones")

    def __init__(self, zones: Sequence[str], regions: Mapping[str, Sequence[str]]) -> None:
        """zones: all that the configuration names, in their order; regions: zones by region. Raise a TopologyError."""
        self.zones = tuple(zones)
        where: dict[str, str] = {}
        for region, members in regions.items():
            for zone in members:
                if zone in where:
                    raise TopologyError(f"zone {zone!r} is in the regions {where[zone]!r} and {region!r}")
                where[zone] = region
        # A zone that the file does not name is a region of its own: nobody guesses which others are near it.
        self._region = [where.get(zone, f"zone {zone}") for zone in self.zones]
        self.unknown = sorted(set(where) - set(self.zones))  # named in the file, but not by the platform

    def region(self, zone: int) -> str:
        """Return the region of a zone; one beyond the configuration's is a region of its own."""
        return self._region[zone] if 0 <= zone < len(self._region) else f"zone number {zone}"

    def step(self, here: int, there: int) -> int:
        """Return how far a zone is: 0 the same one, 1 in the same region, 2 beyond."""
        return 0 if here == there else 1 if self.region(here) == self.region(there) else 2
