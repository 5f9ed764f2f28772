"""Regions of zones, as configured in the operator's file. A zone that is in no region there is a region of its own."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import IntEnum


class TopologyError(Exception):
    """The regions in the operator's file are inconsistent; the text names the regions and the conflict."""


class Distance(IntEnum):
    """How far one zone is from another."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Topology:
    """The regions that zones belong to."""

    __slots__ = ("_region_by_zone", "unknown_zones", "zones")

    def __init__(self, zones: Sequence[str], regions: Mapping[str, Sequence[str]]) -> None:
        """zones: all zones of the platform's configuration, in its order; regions: the zones of each region.

        Raise a TopologyError if a zone is in two regions.
        """
        self.zones = tuple(zones)
        region_by_zone: dict[str, str] = {}
        for region, region_zones in regions.items():
            for zone in region_zones:
                if zone in region_by_zone:
                    raise TopologyError(f"zone {zone!r} is in the regions {region_by_zone[zone]!r} and {region!r}")
                region_by_zone[zone] = region
        # A zone that the operator's file does not name is a region of its own, as its location is unknown.
        self._region_by_zone = [region_by_zone.get(zone, f"zone {zone}") for zone in self.zones]
        # Zones that the operator's file names and the platform's configuration does not.
        self.unknown_zones = sorted(set(region_by_zone) - set(self.zones))

    def region(self, zone: int) -> str:
        """Return the region of a zone; a zone number outside the configuration is a region of its own."""
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
