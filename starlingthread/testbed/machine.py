"""Limits of the machine that a run must fit into."""

from __future__ import annotations

import resource

from ..experiment.scenario import Scenario
from .errors import RunError

CONNECTIONS_PER_ROUTER = 40  # of one router to one server, at most
ROUTER_DESCRIPTORS = 6  # of the coordinator, for each router
SPARE_DESCRIPTORS = 200


def check_machine(scenario: Scenario) -> None:
    """Raise the soft limit of descriptors as needed. Raise a RunError if the machine can't hold the scenario."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = descriptors_needed(scenario)
    if needed <= soft:
        return
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise RunError(
            f"scenario {scenario.name!r} needs about {needed} descriptors in one process, this machine allows "
            f"{hard}: raise machine.server_processes or machine.load_processes, or lower fleet.servers, "
            f"routers.count or traffic.connections"
        )
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(needed * 2, hard) if hard > 0 else needed * 2, hard))


def descriptors_needed(scenario: Scenario) -> int:
    """Return about how many descriptors the largest process of a run has open."""
    per_server = 2 + min(scenario.fleet.connections, CONNECTIONS_PER_ROUTER * scenario.routers.count)
    servers = scenario.fleet.servers / scenario.machine.server_processes * per_server
    load = 2 * scenario.traffic.connections / scenario.machine.load_processes + SPARE_DESCRIPTORS
    coordinator = ROUTER_DESCRIPTORS * scenario.routers.count + SPARE_DESCRIPTORS
    return int(max(servers, load, coordinator))
