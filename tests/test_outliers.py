"""Tests that servers are ejected for repeated failures and not for single ones."""

from __future__ import annotations

from starlingthread.events import AttemptResult

from .balancer_driver import HEDGED, THROUGH, BalancerDriver, only_send, sends, warm_up_key


def test_single_failures_eject_no_server_and_consecutive_ones_do() -> None:
    """Guards against corrupt responses that eject half of the fleet and scatter its keys."""
    for result, max_failures in ((AttemptResult.ERROR, 3), (AttemptResult.RESET, 3), (AttemptResult.CONNECT_FAILED, 2)):
        driver = BalancerDriver(THROUGH)
        owner = [driver.read(7) for _ in range(12)][-1]
        for failures in range(max_failures + 1):
            driver.now += 50.0
            send = only_send(driver.submit_request(7))
            assert (send.server == owner) == (failures < max_failures)
            driver.now += 20.0
            driver.end_attempt(send, result, elapsed=20.0)


def test_requests_in_flight_at_a_failure_do_not_count_again() -> None:
    driver = BalancerDriver(THROUGH)
    owner = [driver.read(7) for _ in range(12)][-1]
    in_flight = [s for s in (only_send(driver.submit_request(7)) for _ in range(5)) if s.server == owner]
    assert len(in_flight) > 3
    for send in in_flight:
        driver.now += 1.0
        driver.end_attempt(send, AttemptResult.RESET, elapsed=500.0)
    assert driver.balancer.fleet.servers[owner].outliers.consecutive_failures <= 1


def test_a_silent_server_is_ejected_before_the_deadline() -> None:
    """Guards against machines that fail without closing their connections."""
    driver = BalancerDriver(HEDGED)
    owner = warm_up_key(driver)
    for _ in range(30):
        for send in sends(driver.submit_request(7)):
            if send.server != owner:
                driver.end_attempt(send, AttemptResult.OK)
        for send in sends(driver.advance_time(100.0)):
            if send.server != owner:
                driver.end_attempt(send, AttemptResult.OK, attempt=1)
    outliers = driver.balancer.fleet.servers[owner].outliers
    assert outliers.consecutive_failures >= 3 and outliers.ejected_until > 2200.0
