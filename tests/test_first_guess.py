"""A router that has just started knows no service time: first guesses may be far off and must do no lasting harm."""

from __future__ import annotations

import pytest

from starlingthread.actions import Send
from starlingthread.events import AttemptResult, CacheStatus, Outcome, Request

from .test_origin_throttle import fetch_result
from .world import NOT_IDEMPOTENT, READ, THROUGH, World, answers, only_send, sends

OBJECTIVE_MS = 500.0  # of all classes of World; a tenth of it is the first guess of a service time


@pytest.mark.parametrize("fetch_ms", [60.0, 300.0, 450.0])
def test_a_healthy_origin_slower_than_the_first_guess_gets_every_fetch(fetch_ms: float) -> None:
    """It got 3 of 59: fetches over four times the guess counted as an overload, and being throttled taught nothing."""
    world = World()
    assert all(fetch_result(world, key, AttemptResult.OK, fetch_ms) for key in range(1, 60))


@pytest.mark.parametrize("service_ms", [40.0, 300.0, 450.0])
def test_servers_slower_than_the_first_guess_are_not_taken_for_overloaded(service_ms: float) -> None:
    """127 to 133 of 199 reads were rejected: the time over the guess counted as a wait, and as a late response."""
    world = World(THROUGH)
    in_flight: list[tuple[float, Send]] = []
    for number in range(1, 200):
        world.now += 10.0
        while in_flight and in_flight[0][0] <= world.now:
            world.finish(in_flight.pop(0)[1], service_ms)
        actions = world.do(Request(number, READ, 1000.0, key=number % 20 + 1))
        assert not answers(actions), number
        in_flight.append((world.now + service_ms, only_send(actions)))


def test_one_slow_first_response_does_not_make_a_class_look_hopeless() -> None:
    """The first response replaces the guess; if it happens to be late, the next requests must go out all the same."""
    world = World(THROUGH)
    for number in range(1, 40):
        world.now += 100.0
        (send,) = sends(world.do(Request(number, NOT_IDEMPOTENT, 2000.0, key=number, is_write=True)))
        elapsed = 1.2 * OBJECTIVE_MS if number == 1 else 40.0
        world.do(Outcome(number, 0, send.server, AttemptResult.OK, elapsed, True, CacheStatus.MISS))


def test_a_class_without_responses_costs_no_more_than_the_mean() -> None:
    """A guess of 50 ms beside a learned mean of 5 ms took ten tokens of a slow start's budget for one request."""
    world = World(THROUGH)
    for number in range(1, 60):
        world.now += 50.0
        world.finish(only_send(world.do(Request(number, READ, 1000.0, key=number))), 5.0)
    load = world.balancer.load
    assert load.service_times.mean == pytest.approx(5.0)
    assert load.service_times.relative_cost("unsafe", load.service_times["unsafe"].expected(0.0)) == 1.0
