"""The limit on fetches from the origin: it opens as the origin recovers, not by the clock."""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

import pytest

from starlingthread.events import AttemptResult, Outcome
from starlingthread.limits.concurrency import SAFE_LIMIT, ConcurrencyLimit
from starlingthread.limits.limit_adjustment import adjust_limits
from starlingthread.limits.origin_limit import OriginLimit

from .balancer_driver import IDEMPOTENCY_KEY, THROUGH, BalancerDriver, answers, make_endpoints, only_send, sends


class Fetch(NamedTuple):
    """A fetch in flight: when it ends, and whether it will succeed."""

    ends_at: float
    success: bool


class Counts(NamedTuple):
    """How many fetches were wanted, allowed by the limit, and served by the origin."""

    wanted: int
    allowed: int
    served: int


def play(limit: OriginLimit, begin: float, span: float, per_s: float, capacity: int) -> Counts:
    """Want fetches at a steady rate from an origin that serves `capacity` at a time in 100 ms and fails the others."""
    rng = Random(3)
    now = begin
    wanted = allowed = served = 0
    in_flight: list[Fetch] = []
    while now < begin + span:
        now += 1000.0 / per_s
        for fetch in [fetch for fetch in in_flight if fetch.ends_at <= now]:
            in_flight.remove(fetch)
            limit.on_finished(1.0)
            limit.on_fetch(fetch.success, 100.0 if fetch.success else 1000.0, 1000.0)
        wanted += 1
        if limit.allows(now, 1.0, rng.random()):
            allowed += 1
            success = len(in_flight) < capacity
            served += success
            limit.on_sent(1.0)
            in_flight.append(Fetch(now + (100.0 if success else 500.0), success))
    for _ in in_flight:
        limit.on_finished(1.0)
    return Counts(wanted, allowed, served)


def test_what_the_origin_can_serve_is_allowed_and_little_more_and_a_past_overload_is_forgotten() -> None:
    fetches = OriginLimit()
    wanted, allowed, _ = play(fetches, 0.0, 5000.0, 100.0, 1000)
    assert allowed == wanted and not fetches.limit.is_learned  # no limit before the first failure
    wanted, allowed, served = play(fetches, 5000.0, 10000.0, 200.0, 5)
    assert served > 0.4 * 500 and allowed < 0.6 * wanted
    wanted, allowed, _ = play(fetches, 15000.0, 3000.0, 100.0, 1000)
    assert allowed > 0.8 * wanted


def test_a_dead_origin_gets_trial_fetches_and_unlikely_fetches_are_allowed() -> None:
    fetches = OriginLimit()
    wanted, allowed, _ = play(fetches, 0.0, 30000.0, 100.0, 0)
    assert 0 < allowed < 0.1 * wanted
    assert fetches.rejected_share > 0.8 and fetches.replicas.level > 1.0
    assert not fetches.allows(30000.0, 1.0, 0.99, is_write=True)  # it would fail there as well
    fetches.on_sent(1.0)
    assert fetches.allows(30000.0, 0.02, 0.99) and fetches.allows(30000.0, 0.0, 0.99)
    assert not fetches.allows(30000.0, 1.0, 0.0) and fetches.allows(30000.0, 1.0, 0.0, is_write=True)
    fetches.on_finished(1.0)
    _, allowed, _ = play(fetches, 30000.0, 20000.0, 100.0, 1000)
    assert allowed > 1000 and fetches.rejected_share < 0.1


@pytest.mark.parametrize("failure_share", [0.0, 0.02, 0.1])
def test_a_few_failures_limit_nothing(failure_share: float) -> None:
    limit, rng = ConcurrencyLimit(), Random(4)
    for _ in range(5000):
        if rng.random() < failure_share:
            limit.on_failure(1)
        else:
            limit.on_success(1)
    assert limit.limit > SAFE_LIMIT - 2.0


def test_a_limit_is_never_below_its_minimum_and_finite_once_learned() -> None:
    limit = ConcurrencyLimit()
    assert limit.allows(10**6) and not limit.is_learned
    limit.on_rejection(0)
    for _ in range(100):
        limit.on_failure(3)
        limit.on_rejection(1)
    assert limit.limit == 1.0 and limit.allows(0) and not limit.allows(1) and math.isfinite(limit.limit)


@pytest.mark.parametrize(
    ("result", "elapsed", "typical_fetch_time"),
    [
        (AttemptResult.ERROR, 20.0, 80.0),
        (AttemptResult.TIMEOUT, 900.0, math.inf),
        (AttemptResult.CONNECT_FAILED, 250.0, 80.0),
    ],
)
def test_servers_that_fail_at_once_or_are_silent_say_nothing_about_the_origin(
    result: AttemptResult, elapsed: float, typical_fetch_time: float
) -> None:
    """Three bad servers of sixty, then a lost zone, made forty routers reject three quarters of the requests."""
    fetches, server = OriginLimit(), ConcurrencyLimit()
    for _ in range(100):
        outcome = Outcome(1, 0, 1, result, elapsed, False)
        adjust_limits(server, fetches, outcome, 1, 1.0, 50.0, 1000.0, typical_fetch_time)
    assert not fetches.limit.is_learned
    adjust_limits(server, fetches, Outcome(1, 0, 1, AttemptResult.ERROR, 200.0, False), 1, 1.0, 50.0, 1000.0, 80.0)
    assert fetches.limit.is_learned


def test_writes_reveal_the_origins_capacity_have_precedence_and_are_thinned_under_overload() -> None:
    """On the first site's overloaded day all writes failed at an overloaded origin and filled the servers' queues."""
    driver = BalancerDriver(THROUGH)
    for _ in range(60):
        for send in sends(driver.submit_request(7, IDEMPOTENCY_KEY)):
            driver.now += 500.0
            driver.end_attempt(send, AttemptResult.ERROR, elapsed=400.0)
    limit = driver.balancer.load.origin_limit.limit
    assert limit.limit < 0.3 and sum(bool(sends(driver.submit_request(8, IDEMPOTENCY_KEY))) for _ in range(100)) < 40
    limit.limit = 2.0
    assert len(sends(driver.submit_request(8, IDEMPOTENCY_KEY))) == 1 and not sends(
        driver.submit_request(9)
    )  # never asked for: a fetch, most likely


def test_while_servers_reject_requests_their_last_slots_go_to_hits() -> None:
    """On an overloaded day of the second site fetches, three times as long, held the slots that hits needed."""
    driver = BalancerDriver(THROUGH, make_endpoints(1))
    for _ in range(6):
        driver.complete_as_hit(only_send(driver.submit_request(7)), 30.0)  # key 7 is cached now
    (server,) = driver.balancer.fleet.servers.values()
    server.concurrency.limit = 8.5
    driver.balancer.affinity.prior_hit_probability = [0.0, 0.0]  # what is not counted is a fetch
    for key in range(100, 105):
        assert sends(driver.submit_request(key))  # free slots for all: fetches are sent as well
    assert sends(driver.submit_request(105))
    while sends(driver.submit_request(7)):
        pass
    for _ in range(30):
        assert answers(driver.submit_request(7))
    server.attempts_in_flight -= 3  # some end and free their slots
    assert not sends(driver.submit_request(200)) and sends(driver.submit_request(7))
    for _ in range(300):
        driver.balancer.admission.trunk_reservation.observe(False)
    assert sends(driver.submit_request(200))
