"""Estimates of the queueing at servers from responses and time-outs."""

from __future__ import annotations

from starlingthread.events import AttemptResult, CacheStatus, Outcome

from .balancer_driver import THROUGH, BalancerDriver, only_send


def test_a_timeout_shows_no_queue_if_later_requests_were_answered() -> None:
    """Guards against rejecting all requests when one connection stops responding while its server still does."""
    driver = BalancerDriver(THROUGH)
    unresponsive = only_send(driver.submit_request(7))
    driver.now += 100.0
    driver.read(7)
    driver.now += 800.0
    before = driver.balancer.load.wait_estimates.mean_wait
    driver.end_attempt(unresponsive, AttemptResult.TIMEOUT, elapsed=930.0)
    assert driver.balancer.load.wait_estimates.mean_wait == before
    unanswered = only_send(driver.submit_request(7))
    driver.now += 930.0
    driver.end_attempt(unanswered, AttemptResult.TIMEOUT, elapsed=930.0)
    # One unresponsive server does not indicate queues at the others.
    assert driver.balancer.load.wait_estimates.mean_wait == before
    delayed = only_send(driver.submit_request(7))
    driver.now += 10.0
    unanswered_later = only_send(driver.submit_request(7))
    assert delayed.server == unanswered_later.server
    driver.now += 890.0
    driver.end_attempt(delayed, AttemptResult.OK, elapsed=900.0)
    before = driver.balancer.load.wait_estimates.mean_wait
    driver.now += 40.0
    driver.end_attempt(unanswered_later, AttemptResult.TIMEOUT, elapsed=930.0)
    assert driver.balancer.load.wait_estimates.mean_wait > before


def test_the_time_of_a_fetch_shows_no_queue_at_its_server() -> None:
    driver = BalancerDriver(THROUGH)
    driver.read(7)
    send = only_send(driver.submit_request(9))
    driver.now += 400.0
    before = driver.balancer.load.wait_estimates.mean_wait
    driver.handle_event(Outcome(send.id, 0, send.server, AttemptResult.OK, 400.0, True, cache_status=CacheStatus.MISS))
    assert driver.balancer.load.wait_estimates.mean_wait == before
