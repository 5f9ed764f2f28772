"""Servers that fail repeatedly are ejected, single failures eject none."""

from __future__ import annotations

from starlingthread.events import AttemptResult

from .world import HEDGED, THROUGH, World, only_send, sends, warmed_up


def test_single_failures_eject_no_server_and_consecutive_ones_do() -> None:
    """Guards against corrupt responses that eject half a fleet and scatter its keys."""
    for result, max_failures in ((AttemptResult.ERROR, 3), (AttemptResult.RESET, 3), (AttemptResult.CONNECT_FAILED, 2)):
        world = World(THROUGH)
        owner = [world.read(7) for _ in range(12)][-1]
        for failures in range(max_failures + 1):
            world.now += 50.0
            send = only_send(world.ask(7))
            assert (send.server == owner) == (failures < max_failures)
            world.now += 20.0
            world.end(send, result, elapsed=20.0)


def test_requests_in_flight_at_a_failure_do_not_count_again() -> None:
    world = World(THROUGH)
    owner = [world.read(7) for _ in range(12)][-1]
    in_flight = [s for s in (only_send(world.ask(7)) for _ in range(5)) if s.server == owner]
    assert len(in_flight) > 3
    for send in in_flight:
        world.now += 1.0
        world.end(send, AttemptResult.RESET, elapsed=500.0)
    assert world.balancer.fleet.servers[owner].outliers.consecutive_failures <= 1


def test_a_silent_server_is_ejected_before_the_deadline() -> None:
    """Guards against machines that vanish without closing their connections."""
    world = World(HEDGED)
    owner = warmed_up(world)
    for _ in range(30):
        for send in sends(world.ask(7)):
            if send.server != owner:
                world.end(send, AttemptResult.OK)
        for send in sends(world.pass_time(100.0)):
            if send.server != owner:
                world.end(send, AttemptResult.OK, attempt=1)
    outliers = world.balancer.fleet.servers[owner].outliers
    assert outliers.consecutive_failures >= 3 and outliers.ejected_until > 2200.0
