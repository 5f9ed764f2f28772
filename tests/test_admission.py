"""Admission control: which requests are rejected under overload, and the Retry-After of a rejection."""

from __future__ import annotations

from starlingthread.actions import Reject
from starlingthread.events import AttemptResult, Request

from .balancer_driver import (
    ASIDE,
    IDEMPOTENCY_KEY,
    READ,
    THROUGH,
    BalancerDriver,
    answers,
    complete_fetches,
    make_endpoints,
    only_send,
    sends,
    serve_reads,
)


def test_most_requests_that_would_be_late_are_rejected_at_once() -> None:
    """Guards against incident iddb886: queues longer than the latency objective stayed full."""
    driver = BalancerDriver(ASIDE, make_endpoints(6))
    serve_reads(driver, 60, 900.0)
    driver.now += 5000.0  # a router sends to any one server only every few seconds
    rejected = 0
    for key in range(100):
        driver.now += 1.0
        rejected += len(answers(driver.submit_request(5000 + key, cost=0.0)))
    assert 60 <= rejected < 100  # a few are sent to detect the end of the overload


def test_requests_are_admitted_again_once_responses_are_fast() -> None:
    driver = BalancerDriver(ASIDE, make_endpoints(6))
    serve_reads(driver, 60, 900.0)
    serve_reads(driver, 600, 30.0)
    driver.now += 5000.0
    assert only_send(driver.submit_request(9999, cost=0.0))


def test_nothing_is_rejected_while_responses_are_fast() -> None:
    driver = BalancerDriver(ASIDE, make_endpoints(6))
    serve_reads(driver, 100, 60.0)
    assert all(not answers(driver.submit_request(5000 + key)) for key in range(50))


def test_a_rejection_carries_a_retry_after_that_differs_by_request() -> None:
    driver = BalancerDriver(ASIDE._replace(max_retry_after=2000.0), ())
    retry_after = [a.retry_after for _ in range(20) for a in answers(driver.submit_request()) if isinstance(a, Reject)]
    assert len(retry_after) == 20 and all(1.0 <= ms <= 2000.0 for ms in retry_after) and len(set(retry_after)) > 10


def test_an_overloaded_router_sheds_the_lowest_priority_weight_first() -> None:
    """Guards against an overload in which all requests queue for the router's core and none is in time."""

    def rejected(driver: BalancerDriver, queue_time: float, class_index: int = READ) -> int:
        count = 0
        for key in range(400):
            driver.now += 10.0
            driver.next_id += 1
            actions = driver.handle_event(
                Request(driver.next_id, class_index, 900.0, key=key + 1, cost_hint=40.0, queue_time=queue_time)
            )
            count += len(answers(actions))
            for send in sends(actions):
                driver.end_attempt(send, AttemptResult.OK)
        return count

    driver = BalancerDriver(THROUGH)
    assert rejected(driver, 5.0) == 0
    reads, writes = rejected(driver, 40.0), rejected(driver, 40.0, IDEMPOTENCY_KEY)
    assert 100 < reads < 350 and 0 < writes < 200
    rejected(driver, 5.0)
    assert rejected(driver, 5.0) == 0


def test_fetches_from_a_failing_origin_are_rejected_and_cached_values_still_served() -> None:
    """Fetches from an overloaded origin occupy the servers' slots, so that cache hits would be rejected too."""
    driver = BalancerDriver(THROUGH)
    driver.balancer.affinity.prior_hit_probability = [0.1, 0.1]
    for _ in range(20):
        driver.read(7)
    complete_fetches(driver, 40, AttemptResult.OK)
    assert not [a for key in range(50) for a in answers(driver.submit_request(500000 + key))]
    complete_fetches(driver, 40, AttemptResult.ERROR, 200.0)
    rejected = len([a for key in range(50) for a in answers(driver.submit_request(600000 + key))])
    assert rejected > 25 and only_send(driver.submit_request(7))
