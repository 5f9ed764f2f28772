"""What responses and time-outs show of the queueing at servers."""

from __future__ import annotations

from starlingthread.events import AttemptResult, CacheStatus, Outcome

from .balancer_driver import THROUGH, BalancerDriver, only_send


def test_a_timeout_shows_no_queue_if_later_requests_were_answered() -> None:
    """Guards against rejecting everything when one connection falls silent: its server responds as ever."""
    driver = BalancerDriver(THROUGH)
    silent = only_send(driver.submit_request(7))
    driver.now += 100.0
    driver.read(7)
    driver.now += 800.0
    before = driver.balancer.load.wait_estimates.mean_wait
    driver.end_attempt(silent, AttemptResult.TIMEOUT, elapsed=930.0)
    assert driver.balancer.load.wait_estimates.mean_wait == before
    unanswered = only_send(driver.submit_request(7))
    driver.now += 930.0
    driver.end_attempt(unanswered, AttemptResult.TIMEOUT, elapsed=930.0)
    assert driver.balancer.load.wait_estimates.mean_wait == before  # a lost server is no sign of queues at the others
    busy = only_send(driver.submit_request(7))
    driver.now += 10.0
    alone = only_send(driver.submit_request(7))
    assert busy.server == alone.server
    driver.now += 890.0
    driver.end_attempt(busy, AttemptResult.OK, elapsed=900.0)
    before = driver.balancer.load.wait_estimates.mean_wait
    driver.now += 40.0
    driver.end_attempt(alone, AttemptResult.TIMEOUT, elapsed=930.0)
    assert driver.balancer.load.wait_estimates.mean_wait > before


def test_the_time_of_a_fetch_shows_no_queue_at_its_server() -> None:
    driver = BalancerDriver(THROUGH)
    driver.read(7)
    send = only_send(driver.submit_request(9))
    driver.now += 400.0
    before = driver.balancer.load.wait_estimates.mean_wait
    driver.handle_event(Outcome(send.id, 0, send.server, AttemptResult.OK, 400.0, True, cache_status=CacheStatus.MISS))
    assert driver.balancer.load.wait_estimates.mean_wait == before
