"""Checks that a run fits the limits of the machine."""

from __future__ import annotations

import resource

from ..experiment.scenario import Scenario
from .errors import RunError

MAX_CONNECTIONS_PER_ROUTER_AND_SERVER = 40  # connections that one router opens to one server
DESCRIPTORS_PER_ROUTER = 6  # descriptors that the coordinator opens for each router
SPARE_DESCRIPTORS = 200


def check_machine(scenario: Scenario) -> None:
    """Raise the soft limit of file descriptors as needed. Raise a RunError if the hard limit is too low."""
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
    """Return an estimate of the file descriptors that the largest process of a run has open."""
    per_server = 2 + min(scenario.fleet.connections, MAX_CONNECTIONS_PER_ROUTER_AND_SERVER * scenario.routers.count)
    server_process = scenario.fleet.servers / scenario.machine.server_processes * per_server
    load_process = 2 * scenario.traffic.connections / scenario.machine.load_processes + SPARE_DESCRIPTORS
    coordinator = DESCRIPTORS_PER_ROUTER * scenario.routers.count + SPARE_DESCRIPTORS
    return int(max(server_process, load_process, coordinator))
