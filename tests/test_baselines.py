"""The baselines' choice of servers."""

from __future__ import annotations

import math

from starlingthread.baselines.policies import POLICIES
from starlingthread.events import EndpointList, EndpointListKind, Request

from .balancer_driver import THROUGH, BalancerDriver, make_endpoints, sends


def test_hashing_with_bounded_loads_keeps_its_bound_and_always_finds_a_server() -> None:
    driver = BalancerDriver(THROUGH, make_endpoints(6))
    bounded = POLICIES["bounded-hash"](driver.settings, 1)
    bounded.handle(0.0, EndpointList(EndpointListKind.FULL, 1, make_endpoints(6)[:6]))
    for requests in range(1, 61):
        assert sends(bounded.handle(1.0, Request(requests, 0, 1000.0, key=7)))
        highest = max(server.attempts_in_flight for server in bounded.fleet.ready)
        assert highest <= math.ceil(1.25 * requests / 6)
