"""The state of the decision module is bounded."""

from __future__ import annotations

from starlingthread.events import Endpoint, EndpointList, EndpointListKind, ServerState

from .balancer_driver import THROUGH, BalancerDriver


def test_the_state_of_removed_servers_and_unused_keys_is_dropped() -> None:
    """Guards memory on a day on which servers and keys come and go."""
    driver = BalancerDriver(THROUGH)
    for turn in range(40):
        gone, new = turn + 1, turn + 5
        driver.handle_event(
            EndpointList(EndpointListKind.DELTA, turn + 2, (Endpoint(gone, state=ServerState.GONE), Endpoint(new)))
        )
        for key in range(50):
            driver.now += 100.0
            driver.read(turn * 1000 + key)
    assert len(driver.balancer.fleet.servers) < 10 and len(driver.balancer.affinity.keys) <= 400
