"""Retries and hedged requests."""

from __future__ import annotations

import pytest

from starlingthread.actions import Fail
from starlingthread.events import AttemptResult, RequestCancelled
from starlingthread.state.records import AffinityCount

from .balancer_driver import (
    HEDGED,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT,
    READ,
    THROUGH,
    BalancerDriver,
    answers,
    only_send,
    sends,
    warm_up_key,
)


def test_a_slow_request_is_hedged_once_at_another_server_unless_it_is_not_idempotent() -> None:
    """Guards against connections that stop responding: a time-out at the deadline would be too late."""
    driver = BalancerDriver(HEDGED)
    owner = warm_up_key(driver)
    first = only_send(driver.submit_request(7))
    assert first.server == owner and not sends(driver.advance_time(324.0))
    second = only_send(driver.advance_time(2.0))
    assert second.server != owner and not sends(driver.advance_time(400.0))
    driver.end_attempt(second, AttemptResult.OK, attempt=1, elapsed=30.0)
    only_send(driver.submit_request(7, NOT_IDEMPOTENT))
    assert not sends(driver.advance_time(900.0))


def test_a_cancelled_request_is_not_hedged() -> None:
    driver = BalancerDriver(HEDGED)
    warm_up_key(driver)
    first = only_send(driver.submit_request(7))
    driver.advance_time(324.0)  # the hedge is due 1 ms later
    driver.handle_event(RequestCancelled(first.id))
    assert not sends(driver.advance_time(700.0))


def test_a_slow_request_at_a_server_that_answers_others_is_not_hedged() -> None:
    """Where servers also finish cancelled requests, three hedges in a hundred requests were a tenth of all work."""
    driver = BalancerDriver(HEDGED)
    owner = warm_up_key(driver)
    slow_send, driver.now = only_send(driver.submit_request(7)), driver.now + 100.0
    assert driver.read(7) == owner and slow_send.server == owner
    assert not sends(driver.advance_time(800.0))


def test_overtaken_requests_are_hedged_while_such_requests_are_lost() -> None:
    """In scenario rate+silent+leave, 19 of 20 overtaken requests timed out, as single connections were dead."""
    driver = BalancerDriver(HEDGED)

    def is_hedged(result: AttemptResult, remaining_ms: float) -> bool:
        warm_up_key(driver)
        first, sent_at = only_send(driver.submit_request(7)), driver.now
        driver.now += 100.0
        assert any(driver.read(7) == first.server for _ in range(5))
        hedges = sends(driver.advance_time(400.0 + sent_at - driver.now))
        for hedge in hedges:
            driver.end_attempt(hedge, AttemptResult.OK, attempt=1)
            driver.end_attempt(first, AttemptResult.CANCELLED)
        if not hedges:
            driver.now = sent_at + 1000.0 - remaining_ms
            driver.end_attempt(first, result, elapsed=1000.0 - remaining_ms)
        return bool(hedges)

    assert [is_hedged(AttemptResult.TIMEOUT, 0.0) for _ in range(40)].index(True) in range(10, 20)
    # Some of these requests are not hedged, to learn that they are answered again.
    assert sum(is_hedged(AttemptResult.OK, 500.0) for _ in range(80)) in range(5, 60)
    assert not any(is_hedged(AttemptResult.OK, 500.0) for _ in range(20))


@pytest.mark.parametrize("lost_share", [0.0, 0.9])
def test_lost_requests_do_not_lower_limits_and_earn_more_hedges(lost_share: float) -> None:
    """A regression in scenario churn+long at the second site, where a tenth of all requests got no response for 15 s.

    Because of that, a fifth of all requests was rejected.
    """
    driver = BalancerDriver(HEDGED)
    warm_up_key(driver)
    budget = driver.balancer.hedging.budget
    origin_limit = driver.balancer.load.origin_limit
    budget.lost_share = lost_share
    driver.balancer.affinity.prior_hit_probability = [0.0, 0.0]
    for key in range(100, 140):
        budget.tokens = 0.0
        if not (sent := sends(driver.submit_request(key))):
            break
        first = sent[0]
        driver.now += 10.0
        while driver.read(7) != first.server:
            driver.now += 1.0
            driver.balancer.affinity.keys[7].counts = {first.server: AffinityCount(50.0, driver.now, 1.0)}
        driver.now += 900.0
        driver.end_attempt(first, AttemptResult.TIMEOUT, elapsed=990.0)
    assert origin_limit.limit.is_learned == (lost_share == 0.0)
    for _ in range(20):
        budget.on_first_attempt(500.0, True)
    assert (budget.tokens >= 2.0) == (lost_share > 0)
    outliers = driver.balancer.fleet.servers[first.server].outliers
    # With a hit probability of 0, only a request that is outstanding for far longer than a fetch is hedged.
    assert budget.should_hedge(outliers.last_response_at - 1.0, outliers, 0.0, 3.0, 0.5) == (lost_share > 0)
    assert not budget.should_hedge(outliers.last_response_at - 1.0, outliers, 0.0, 1.0, 0.5)


def test_hedges_are_few_and_none_are_sent_while_all_servers_are_slow() -> None:
    driver = BalancerDriver(HEDGED)
    warm_up_key(driver)
    first_attempts = [only_send(driver.submit_request(7)) for _ in range(100)]
    hedges = len(sends(driver.advance_time(400.0)))
    assert 0 < hedges <= 0.04 * (len(first_attempts) + 41) + 1
    slow = BalancerDriver(HEDGED)
    warm_up_key(slow)
    slow.balancer.load.wait_estimates.mean_wait = 300.0
    slow.submit_request(7)
    assert not sends(slow.advance_time(400.0))


def test_a_reset_attempt_is_retried_once_at_the_same_server_and_then_elsewhere() -> None:
    driver = BalancerDriver(THROUGH)
    owner = warm_up_key(driver)
    first = only_send(driver.submit_request(7))
    second = only_send(driver.end_attempt(first, AttemptResult.RESET))
    third = only_send(driver.end_attempt(second, AttemptResult.RESET, attempt=1))
    assert first.server == second.server == owner != third.server


def test_an_unexecuted_attempt_does_not_clear_another_one_at_the_same_server_and_time() -> None:
    """Guards the rule on rejections when a reset write with an idempotency key is retried at its server at once."""
    keyed = THROUGH.classes[IDEMPOTENCY_KEY]._replace(deduplication_scope="zone")
    driver = BalancerDriver(THROUGH._replace(classes=(THROUGH.classes[READ], keyed)))
    first = only_send(driver.submit_request(7, IDEMPOTENCY_KEY))
    second = only_send(driver.end_attempt(first, AttemptResult.RESET, elapsed=0.0))
    assert second.server == first.server
    driver.balancer.fleet.servers[first.server].unavailable = True
    for server in driver.balancer.fleet.servers.values():
        server.outliers.ejected_until = driver.now + 9000.0
    done = driver.end_attempt(second, AttemptResult.CONNECT_FAILED, attempt=1, elapsed=0.0)
    assert [type(a) for a in answers(done)] == [Fail]


def test_an_unexecuted_attempt_does_not_clear_a_later_one_that_may_have_been_executed() -> None:
    """Guards against applying a write again after its window, once its first attempt turns out never to have run."""
    for pause, may_retry in ((0.9, True), (1.1, False)):
        driver = BalancerDriver(HEDGED)
        warm_up_key(driver)
        first = only_send(driver.submit_request(7, IDEMPOTENCY_KEY, budget=4000.0))
        second = only_send(driver.advance_time(326.0))
        sent_at = driver.now
        driver.end_attempt(second, AttemptResult.RESET, attempt=1)
        driver.now = sent_at + pause * THROUGH.classes[IDEMPOTENCY_KEY].idempotency_window
        done = driver.end_attempt(first, AttemptResult.FULL)
        assert [type(a) for a in answers(done)] == ([] if may_retry else [Fail])
        assert [send.write_deadline - sent_at < 1501.0 for send in sends(done)] == [True] * may_retry


def test_a_failed_fetch_is_not_retried() -> None:
    """A retry would add to the origin's overload, and a count would point to a server that stored no value."""
    driver = BalancerDriver(THROUGH)
    driver.balancer.affinity.prior_hit_probability = [0.1, 0.1]
    first = only_send(driver.submit_request(9))
    assert len(answers(driver.end_attempt(first, AttemptResult.ERROR, elapsed=200.0))) == 1
    assert (
        driver.balancer.affinity.keys[9].counts[first.server].request_count < 0.1
        and min(driver.balancer.affinity.prior_hit_probability) < 0.1
    )
