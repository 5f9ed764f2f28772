"""A router that has just started only has initial estimates of times; wrong ones must have no lasting effect."""

from __future__ import annotations

import pytest

from starlingthread.actions import Send
from starlingthread.events import AttemptResult, CacheStatus, Outcome, Request

from .balancer_driver import NOT_IDEMPOTENT, READ, THROUGH, BalancerDriver, answers, only_send, sends
from .test_origin_throttle import fetch_result

# Latency objective of all classes of BalancerDriver; a tenth of it is the initial estimate of a service time.
OBJECTIVE_MS = 500.0


@pytest.mark.parametrize("fetch_ms", [60.0, 300.0, 450.0])
def test_a_healthy_origin_slower_than_the_initial_estimate_gets_every_fetch(fetch_ms: float) -> None:
    """A regression: the origin got 3 of 59 fetches.

    Fetches that took over four times the initial estimate counted as an overload, and throttled fetches did not
    improve the estimate.
    """
    driver = BalancerDriver()
    assert all(fetch_result(driver, key, AttemptResult.OK, fetch_ms) for key in range(1, 60))


@pytest.mark.parametrize("service_ms", [40.0, 300.0, 450.0])
def test_servers_slower_than_the_initial_estimate_are_not_considered_overloaded(service_ms: float) -> None:
    """A regression: 127 to 133 of 199 reads were rejected.

    The part of the response time above the initial estimate counted as a wait, and the response as late.
    """
    driver = BalancerDriver(THROUGH)
    in_flight: list[tuple[float, Send]] = []
    for number in range(1, 200):
        driver.now += 10.0
        while in_flight and in_flight[0][0] <= driver.now:
            driver.complete_as_hit(in_flight.pop(0)[1], service_ms)
        actions = driver.handle_event(Request(number, READ, 1000.0, key=number % 20 + 1))
        assert not answers(actions), number
        in_flight.append((driver.now + service_ms, only_send(actions)))


def test_one_slow_first_response_does_not_get_later_requests_of_its_class_rejected() -> None:
    """The first response replaces the initial estimate; even if it was late, the next requests must be sent."""
    driver = BalancerDriver(THROUGH)
    for number in range(1, 40):
        driver.now += 100.0
        (send,) = sends(driver.handle_event(Request(number, NOT_IDEMPOTENT, 2000.0, key=number, is_write=True)))
        elapsed = 1.2 * OBJECTIVE_MS if number == 1 else 40.0
        driver.handle_event(Outcome(number, 0, send.server, AttemptResult.OK, elapsed, True, CacheStatus.MISS))


def test_a_class_without_responses_costs_no_more_than_the_mean() -> None:
    """A regression: with an estimate of 50 ms and a learned mean of 5 ms, one request cost ten slow-start tokens."""
    driver = BalancerDriver(THROUGH)
    for number in range(1, 60):
        driver.now += 50.0
        driver.complete_as_hit(only_send(driver.handle_event(Request(number, READ, 1000.0, key=number))), 5.0)
    load = driver.balancer.load
    assert load.service_times.mean_time == pytest.approx(5.0)
    assert load.service_times.relative_cost("unsafe", load.service_times["unsafe"].expected_time(0.0)) == 1.0
