"""Tests of the baseline policies' choice of servers."""

from __future__ import annotations

import math

from starlingthread.baselines.policies import POLICIES
from starlingthread.events import EndpointList, EndpointListKind, Request

from .balancer_driver import THROUGH, BalancerDriver, make_endpoints, sends


def test_hashing_with_bounded_loads_keeps_its_bound_and_always_finds_a_server() -> None:
    driver = BalancerDriver(THROUGH, make_endpoints(6))
    balancer = POLICIES["bounded-hash"](driver.settings, 1)
    balancer.handle(0.0, EndpointList(EndpointListKind.FULL, 1, make_endpoints(6)[:6]))
    for request_count in range(1, 61):
        assert sends(balancer.handle(1.0, Request(request_count, 0, 1000.0, key=7)))
        max_in_flight = max(server.attempts_in_flight for server in balancer.fleet.ready)
        assert max_in_flight <= math.ceil(1.25 * request_count / 6)
