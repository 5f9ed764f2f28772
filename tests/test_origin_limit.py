"""Tests that the limit on origin fetches is raised by successful fetches of the origin and not by elapsed time."""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

import pytest

from starlingthread.events import AttemptResult, Outcome
from starlingthread.limits.concurrency import RECOVERY_LIMIT_REQUESTS, ConcurrencyLimit
from starlingthread.limits.limit_adjustment import adjust_limits
from starlingthread.limits.origin_limit import OriginLimit

from .balancer_driver import IDEMPOTENCY_KEY, THROUGH, BalancerDriver, answers, make_endpoints, only_send, sends


class Fetch(NamedTuple):
    """A fetch in flight: the time at which it ends, and whether it will succeed."""

    ends_at: float
    success: bool


class Counts(NamedTuple):
    """The numbers of fetches that were requested, allowed by the limit, and served by the origin."""

    requested: int
    allowed: int
    served: int


def simulate_fetches(limit: OriginLimit, begin: float, duration: float, fetches_per_s: float, capacity: int) -> Counts:
    """Simulate fetches at a constant rate from an origin that serves `capacity` of them concurrently.

    A served fetch takes 100 ms; the origin fails the others.
    """
    rng = Random(3)
    now = begin
    requested = allowed = served = 0
    in_flight: list[Fetch] = []
    while now < begin + duration:
        now += 1000.0 / fetches_per_s
        for fetch in [fetch for fetch in in_flight if fetch.ends_at <= now]:
            in_flight.remove(fetch)
            limit.on_finished(1.0)
            limit.on_fetch(fetch.success, 100.0 if fetch.success else 1000.0, 1000.0)
        requested += 1
        if limit.allows(now, 1.0, rng.random()):
            allowed += 1
            success = len(in_flight) < capacity
            served += success
            limit.on_sent(1.0)
            in_flight.append(Fetch(now + (100.0 if success else 500.0), success))
    for _ in in_flight:
        limit.on_finished(1.0)
    return Counts(requested, allowed, served)


def test_the_limit_allows_little_more_than_the_origin_can_serve_and_is_raised_after_an_overload() -> None:
    origin_limit = OriginLimit()
    requested, allowed, _ = simulate_fetches(origin_limit, 0.0, 5000.0, 100.0, 1000)
    assert allowed == requested and not origin_limit.limit.is_learned  # no limit before the first failure
    requested, allowed, served = simulate_fetches(origin_limit, 5000.0, 10000.0, 200.0, 5)
    assert served > 0.4 * 500 and allowed < 0.6 * requested
    requested, allowed, _ = simulate_fetches(origin_limit, 15000.0, 3000.0, 100.0, 1000)
    assert allowed > 0.8 * requested


def test_a_failed_origin_gets_trial_fetches_and_unlikely_fetches_are_allowed() -> None:
    origin_limit = OriginLimit()
    requested, allowed, _ = simulate_fetches(origin_limit, 0.0, 30000.0, 100.0, 0)
    assert 0 < allowed < 0.1 * requested
    assert origin_limit.rejected_share > 0.8 and origin_limit.replicas.level > 1.0
    assert not origin_limit.allows(30000.0, 1.0, 0.99, is_write=True)  # a write would fail at the origin too
    origin_limit.on_sent(1.0)
    assert origin_limit.allows(30000.0, 0.02, 0.99) and origin_limit.allows(30000.0, 0.0, 0.99)
    assert not origin_limit.allows(30000.0, 1.0, 0.0) and origin_limit.allows(30000.0, 1.0, 0.0, is_write=True)
    origin_limit.on_finished(1.0)
    _, allowed, _ = simulate_fetches(origin_limit, 30000.0, 20000.0, 100.0, 1000)
    assert allowed > 1000 and origin_limit.rejected_share < 0.1


@pytest.mark.parametrize("failure_share", [0.0, 0.02, 0.1])
def test_a_few_failures_limit_nothing(failure_share: float) -> None:
    limit, rng = ConcurrencyLimit(), Random(4)
    for _ in range(5000):
        if rng.random() < failure_share:
            limit.on_failure(1)
        else:
            limit.on_success(1)
    assert limit.limit > RECOVERY_LIMIT_REQUESTS - 2.0


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
def test_servers_that_fail_at_once_or_are_silent_do_not_limit_the_origin(
    result: AttemptResult, elapsed: float, typical_fetch_time: float
) -> None:
    """Guards against failures of servers that count as failed fetches.

    With three faulty servers of sixty, and later with a lost zone, 40 routers rejected three quarters of the requests.
    """
    origin_limit, server = OriginLimit(), ConcurrencyLimit()
    for _ in range(100):
        outcome = Outcome(1, 0, 1, result, elapsed, False)
        adjust_limits(server, origin_limit, outcome, 1, 1.0, 50.0, 1000.0, typical_fetch_time)
    assert not origin_limit.limit.is_learned
    adjust_limits(server, origin_limit, Outcome(1, 0, 1, AttemptResult.ERROR, 200.0, False), 1, 1.0, 50.0, 1000.0, 80.0)
    assert origin_limit.limit.is_learned


def test_writes_show_the_origins_capacity_have_precedence_and_are_limited_under_overload() -> None:
    """Guards against unlimited writes to an overloaded origin.

    On the first site all writes failed at the overloaded origin and filled the queues of the servers.
    """
    driver = BalancerDriver(THROUGH)
    for _ in range(60):
        for send in sends(driver.submit_request(7, IDEMPOTENCY_KEY)):
            driver.now += 500.0
            driver.end_attempt(send, AttemptResult.ERROR, elapsed=400.0)
    limit = driver.balancer.load.origin_limit.limit
    assert limit.limit < 0.3 and sum(bool(sends(driver.submit_request(8, IDEMPOTENCY_KEY))) for _ in range(100)) < 40
    limit.limit = 2.0
    # Key 9 has never been requested, so a read of it is most likely a fetch.
    assert len(sends(driver.submit_request(8, IDEMPOTENCY_KEY))) == 1 and not sends(driver.submit_request(9))


def test_while_servers_reject_requests_their_last_slots_go_to_hits() -> None:
    """Guards against fetches that occupy the slots that hits need.

    On the overloaded second site a fetch took three times as long as a hit.
    """
    driver = BalancerDriver(THROUGH, make_endpoints(1))
    for _ in range(6):
        driver.complete_as_hit(only_send(driver.submit_request(7)), 30.0)  # afterwards key 7 is cached
    (server,) = driver.balancer.fleet.servers.values()
    server.concurrency.limit = 8.5
    driver.balancer.affinity.prior_hit_probability = [0.0, 0.0]  # a request at a server without a count is a fetch
    for key in range(100, 105):
        assert sends(driver.submit_request(key))  # there are free slots, so fetches are sent too
    assert sends(driver.submit_request(105))
    while sends(driver.submit_request(7)):
        pass
    for _ in range(30):
        assert answers(driver.submit_request(7))
    server.attempts_in_flight -= 3  # three attempts end and free their slots
    assert not sends(driver.submit_request(200)) and sends(driver.submit_request(7))
    for _ in range(300):
        driver.balancer.admission.trunk_reservation.observe(False)
    assert sends(driver.submit_request(200))
