"""Selection of the servers, routers and links that a fault affects."""

from __future__ import annotations

import math

import numpy as np

from ..experiment.scenario import Fault, Scenario, link_groups

ROUTER_LINK_KINDS = frozenset({"discovery-cut", "peers-cut"})
_ROUTER_KIND_SUFFIX = "-router"
# Tolerance for floating-point error, so that a share of exactly n servers is not rounded up to n + 1.
_ROUNDING_TOLERANCE = 1e-9


def affects_routers(fault: Fault) -> bool:
    """Return whether the targets of a fault are routers rather than servers."""
    return fault.kind.endswith(_ROUTER_KIND_SUFFIX) or fault.kind in ROUTER_LINK_KINDS


def targets(fault: Fault, scenario: Scenario, rng: np.random.Generator) -> tuple[int, ...]:
    """Return the numbers of the servers or routers that a fault affects: those it names, else a random sample."""
    if fault.kind in ROUTER_LINK_KINDS:
        return fault.routers or _routers_of_groups(affected_link_groups(fault, scenario), scenario)
    if affects_routers(fault):
        return fault.routers or (int(rng.integers(scenario.routers.count)),)
    if fault.servers:
        return fault.servers
    servers, zones = scenario.fleet.servers, scenario.fleet.zones
    if fault.zone:
        return tuple(n for n in range(servers) if zones[n % len(zones)] == fault.zone)
    # A sample is drawn even for faults that affect no server: other faults then get the same targets for a seed.
    count = max(1, math.ceil(servers * fault.server_share - _ROUNDING_TOLERANCE)) if fault.server_share else 1
    return tuple(sorted(int(n) for n in rng.choice(servers, size=min(count, servers), replace=False)))


def affected_link_groups(fault: Fault, scenario: Scenario) -> list[int]:
    """Return the groups of routers whose links a fault affects, limited to its ``groups`` and ``from_zone`` if set."""
    zones = scenario.fleet.zones
    return [
        group
        for group in range(link_groups(scenario))
        if (not fault.groups or group in fault.groups)
        and (not fault.from_zone or zones[group % len(zones)] == fault.from_zone)
    ]


def _routers_of_groups(groups: list[int], scenario: Scenario) -> tuple[int, ...]:
    return tuple(n for n in range(scenario.routers.count) if n % link_groups(scenario) in groups)
