"""Which servers, routers and links a fault affects."""

from __future__ import annotations

import math

import numpy as np

from ..experiment.scenario import Fault, Scenario, link_groups

ROUTER_LINK_KINDS = frozenset({"discovery-cut", "peers-cut"})
_ROUTER_KIND_SUFFIX = "-router"
_ROUNDING_SLACK = 1e-9


def affects_routers(fault: Fault) -> bool:
    """Return whether the targets of a fault are routers rather than servers."""
    return fault.kind.endswith(_ROUTER_KIND_SUFFIX) or fault.kind in ROUTER_LINK_KINDS


def targets(fault: Fault, scenario: Scenario, rng: np.random.Generator) -> tuple[int, ...]:
    """Return the servers or routers that a fault affects: those it names, else a part drawn at random."""
    if fault.kind in ROUTER_LINK_KINDS:
        return fault.routers or _routers_of_groups(affected_link_groups(fault, scenario), scenario)
    if affects_routers(fault):
        return fault.routers or (int(rng.integers(scenario.routers.count)),)
    if fault.servers:
        return fault.servers
    servers, zones = scenario.fleet.servers, scenario.fleet.zones
    if fault.zone:
        return tuple(n for n in range(servers) if zones[n % len(zones)] == fault.zone)
    # Drawn even for faults that affect no server, so that the other faults of a seed stay the same.
    count = max(1, math.ceil(servers * fault.server_share - _ROUNDING_SLACK)) if fault.server_share else 1
    return tuple(sorted(int(n) for n in rng.choice(servers, size=min(count, servers), replace=False)))


def affected_link_groups(fault: Fault, scenario: Scenario) -> list[int]:
    """Return the groups of routers whose links a fault affects: those it names, else those of its ``from_zone``."""
    zones = scenario.fleet.zones
    return [
        group
        for group in range(link_groups(scenario))
        if (not fault.groups or group in fault.groups)
        and (not fault.from_zone or zones[group % len(zones)] == fault.from_zone)
    ]


def _routers_of_groups(groups: list[int], scenario: Scenario) -> tuple[int, ...]:
    return tuple(n for n in range(scenario.routers.count) if n % link_groups(scenario) in groups)
