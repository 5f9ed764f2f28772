"""The state of the decision module is bounded."""

from __future__ import annotations

from starlingthread.events import Endpoint, EndpointList, EndpointListKind, ServerState

from .world import THROUGH, World


def test_the_state_of_removed_servers_and_unused_keys_is_dropped() -> None:
    """Guards memory on a day on which servers and keys come and go."""
    world = World(THROUGH)
    for turn in range(40):
        gone, new = turn + 1, turn + 5
        world.do(
            EndpointList(EndpointListKind.DELTA, turn + 2, (Endpoint(gone, state=ServerState.GONE), Endpoint(new)))
        )
        for key in range(50):
            world.now += 100.0
            world.read(turn * 1000 + key)
    assert len(world.balancer.fleet.servers) < 10 and len(world.balancer.affinity.keys) <= 400
