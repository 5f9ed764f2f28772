"""The state of the decision module is bounded."""

from __future__ import annotations

from starlingthread.events import Endpoint, EndpointList, EndpointListKind, ServerState

from .balancer_driver import THROUGH, BalancerDriver


def test_the_state_of_removed_servers_and_unused_keys_is_dropped() -> None:
    """Guards against unbounded memory use when servers and keys change continuously."""
    driver = BalancerDriver(THROUGH)
    for round_number in range(40):
        removed, added = round_number + 1, round_number + 5
        driver.handle_event(
            EndpointList(
                EndpointListKind.DELTA, round_number + 2, (Endpoint(removed, state=ServerState.GONE), Endpoint(added))
            )
        )
        for key in range(50):
            driver.now += 100.0
            driver.read(round_number * 1000 + key)
    assert len(driver.balancer.fleet.servers) < 10 and len(driver.balancer.affinity.keys) <= 400
