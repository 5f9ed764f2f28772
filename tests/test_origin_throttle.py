"""Tests of the fetches that the origin throttle allows while the origin is healthy, overloaded or recovered."""

from __future__ import annotations

from starlingthread.actions import Reject
from starlingthread.events import AttemptResult

from .balancer_driver import NOT_IDEMPOTENT, ORIGIN, BalancerDriver, answers, only_send, sends


def fetch_result(driver: BalancerDriver, key: int, result: AttemptResult, elapsed: float) -> bool:
    """Read a key that is not cached and end its fetch with a result; return whether a fetch was sent."""
    first = only_send(driver.submit_request(key))
    if first.server != ORIGIN:
        actions = driver.end_attempt(first, AttemptResult.MISS)
        if not sends(actions):
            assert answers(actions) == [Reject(first.id)]
            return False
        fetch = only_send(actions)
    else:
        fetch = first
    assert fetch.server == ORIGIN
    driver.now += elapsed
    driver.end_attempt(fetch, result, len(driver.checker.requests[fetch.id].attempts) - 1, elapsed=elapsed)
    return True


def test_a_healthy_origin_gets_every_fetch() -> None:
    driver = BalancerDriver()
    assert all(fetch_result(driver, key, AttemptResult.OK, 60.0) for key in range(1, 60))


def test_an_overloaded_origin_gets_few_fetches() -> None:
    """Guards against incident if95e43: fetches were not limited while 97% of them failed."""
    driver = BalancerDriver()
    fetched = [fetch_result(driver, key, AttemptResult.TIMEOUT, 400.0) for key in range(1, 60)]
    assert sum(fetched[20:]) < 0.4 * len(fetched[20:])


def test_slow_fetches_raise_the_pressure_before_any_fails() -> None:
    driver = BalancerDriver()
    for key in range(1, 20):
        fetch_result(driver, key, AttemptResult.OK, 60.0)
    fetched = [fetch_result(driver, key, AttemptResult.OK, 900.0) for key in range(20, 40)]
    assert not all(fetched)


def test_fetches_are_allowed_again_after_a_pause() -> None:
    driver = BalancerDriver()
    for key in range(1, 40):
        fetch_result(driver, key, AttemptResult.TIMEOUT, 400.0)
    driver.now += 60000
    assert fetch_result(driver, 1000, AttemptResult.OK, 60.0)


def test_a_write_is_retried_at_a_full_origin_and_rejected_before_its_deadline() -> None:
    driver = BalancerDriver()
    send = only_send(driver.submit_request(class_index=NOT_IDEMPOTENT, budget=2000.0))
    assert not answers(driver.end_attempt(send, AttemptResult.FULL))
    final_answers, attempt_number = [], 0
    for _ in range(60):
        actions = driver.advance_time(50.0)
        for retry in sends(actions):
            assert retry.server == ORIGIN
            attempt_number += 1
            actions = actions + driver.end_attempt(retry, AttemptResult.FULL, attempt_number)
        final_answers += answers(actions)
    assert attempt_number >= 1
    assert final_answers == [Reject(send.id)]
