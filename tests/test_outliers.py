"""Servers that fail again and again are left alone, single failures are not."""

from __future__ import annotations

from starlingthread.events import AttemptResult

from .world import COPIES, THROUGH, World, only_send, sends, warmed_up


def test_single_failures_leave_no_server_out_and_a_row_of_them_does() -> None:
    """Guards against spoilt answers that leave out half a fleet and scatter its keys."""
    for result, row in ((AttemptResult.ERROR, 3), (AttemptResult.RESET, 3), (AttemptResult.CONNECT_FAILED, 2)):
        world = World(THROUGH)
        owner = [world.read(7) for _ in range(12)][-1]
        for failed in range(row + 1):
            world.now += 50.0
            send = only_send(world.ask(7))
            assert (send.server == owner) == (failed < row)
            world.now += 20.0
            world.end(send, result, elapsed=20.0)


def test_what_was_out_when_a_server_failed_is_not_held_against_it_again() -> None:
    world = World(THROUGH)
    owner = [world.read(7) for _ in range(12)][-1]
    out = [s for s in (only_send(world.ask(7)) for _ in range(5)) if s.server == owner]
    assert len(out) > 3
    for send in out:
        world.now += 1.0
        world.end(send, AttemptResult.RESET, elapsed=500.0)
    assert world.balancer.fleet.servers[owner].outliers.consecutive_failures <= 1


def test_a_server_that_answers_nothing_is_found_out_before_the_deadline() -> None:
    """Guards against machines that vanish and say nothing, not even that they are gone."""
    world = World(COPIES)
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
