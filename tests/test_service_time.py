"""Tests of service times learned from cost hints in any unit: exact, inexact, missing or out of range."""

from __future__ import annotations

import math
from random import Random

import pytest

from starlingthread.events import Request
from starlingthread.limits.service_time import ServiceTime

from .balancer_driver import READ, THROUGH, BalancerDriver, only_send


def learned(scale: float, noise: float, responses: int = 2000) -> ServiceTime:
    """Learn from responses of 40 to 160 ms whose hints differ from them by a constant factor and by random noise."""
    rng, service_time = Random(5), ServiceTime(500.0)
    for _ in range(responses):
        response_time = 80.0 * 2 ** rng.uniform(-1, 1)
        service_time.observe(response_time * scale * math.exp(rng.gauss(0, noise)), response_time)
    return service_time


@pytest.mark.parametrize("scale", [1e-3, 1.0, 1000.0])
def test_an_exact_hint_is_used_fully_whatever_its_unit(scale: float) -> None:
    service_time = learned(scale, 0.0)
    for response_time in (50.0, 100.0, 150.0):
        assert service_time.expected_time(response_time * scale) == pytest.approx(response_time, rel=0.1)


def test_an_inexact_hint_is_used_in_part_and_a_random_one_not_at_all() -> None:
    inexact, random = learned(1.0, 0.5), learned(1.0, 0.5)
    rng = Random(6)
    for _ in range(3000):
        random.observe(math.exp(rng.gauss(0, 1)), 80.0 * 2 ** rng.uniform(-1, 1))
    assert 0.2 < inexact.slope < 0.7
    assert random.slope < 0.1


@pytest.mark.parametrize("hint", [0.0, -5.0, math.nan, math.inf, -math.inf, 1e300, 1e12])
def test_a_hint_out_of_range_has_a_bounded_effect(hint: float) -> None:
    service_time = learned(1.0, 0.1)
    before = service_time.expected_time(80.0)
    assert before / 5 < service_time.expected_time(hint) < before * 5
    for _ in range(20):
        service_time.observe(hint, 80.0)
    assert service_time.expected_time(80.0) == pytest.approx(before, rel=0.3)
    assert math.isfinite(service_time.expected_time(hint))


@pytest.mark.parametrize("hint", [0.0, 0.08, 80.0, 80000.0, 1e12])
def test_the_balancer_learns_the_service_time_whatever_the_hints(hint: float) -> None:
    driver = BalancerDriver(THROUGH)
    for key in range(1, 300):
        send = only_send(driver.handle_event(Request(key, READ, 1000.0, key=key, cost_hint=hint)))
        driver.now += 80.0
        driver.complete_as_hit(send, 80.0)
    expected_time = driver.balancer.load.service_times["read"].expected_time(hint)
    assert expected_time == pytest.approx(80.0, rel=0.1)
