"""Regions made of zones, as configured in the operator's file. Without it each zone is a region of its own."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import IntEnum


class TopologyError(Exception):
    """The regions contradict each other; the text says which and why."""


class Distance(IntEnum):
    """How far one zone is from another."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Topology:
    """The regions that zones belong to."""

    __slots__ = ("_region_by_zone", "unknown_zones", "zones")

    def __init__(self, zones: Sequence[str], regions: Mapping[str, Sequence[str]]) -> None:
        """zones: all that the configuration names, in its order; regions: zones by region. Raise a TopologyError."""
        self.zones = tuple(zones)
        region_of: dict[str, str] = {}
        for region, members in regions.items():
            for zone in members:
                if zone in region_of:
                    raise TopologyError(f"zone {zone!r} is in the regions {region_of[zone]!r} and {region!r}")
                region_of[zone] = region
        # A zone that the file does not name is a region of its own: its neighbours are unknown.
        self._region_by_zone = [region_of.get(zone, f"zone {zone}") for zone in self.zones]
        self.unknown_zones = sorted(set(region_of) - set(self.zones))  # named in the file, but not by the platform

    def region(self, zone: int) -> str:
        """Return the region of a zone; one beyond the configuration's zones is a region of its own."""
        if 0 <= zone < len(self._region_by_zone):
            return self._region_by_zone[zone]
        return f"zone number {zone}"

    def distance(self, source: int, target: int) -> Distance:
        """Return how far the target zone is from the source zone."""
        if source == target:
            return Distance.SAME_ZONE
        if self.region(source) == self.region(target):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
