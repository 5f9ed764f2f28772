"""The four rules of sending and answering, checked with examples and with random event streams."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.actions import Fail, Reject, Send, SetTimer, WatchEndpoints
from starlingthread.events import (
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointListKind,
    FirstByte,
    Outcome,
    RequestCancelled,
    ServerState,
)
from starlingthread.settings import Settings

from .balancer_driver import (
    ASIDE,
    CLASSES,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT,
    ORIGIN,
    READ,
    THROUGH,
    BalancerDriver,
    answers,
    make_endpoints,
    only_send,
    sends,
)


def test_a_miss_is_fetched_from_the_origin() -> None:
    driver = BalancerDriver()
    first = only_send(driver.submit_request())
    assert first.server != ORIGIN
    fetch = only_send(driver.end_attempt(first, AttemptResult.MISS))
    assert fetch.server == ORIGIN
    assert answers(driver.end_attempt(fetch, AttemptResult.OK, 1)) == []
    driver.checker.check_all_answered()


@pytest.mark.parametrize("class_index", [IDEMPOTENCY_KEY, NOT_IDEMPOTENT])
def test_writes_go_to_the_origin_in_aside_mode(class_index: int) -> None:
    driver = BalancerDriver()
    assert only_send(driver.submit_request(class_index=class_index)).server == ORIGIN


@pytest.mark.parametrize(
    "result", [AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED]
)
def test_a_not_idempotent_request_that_may_have_been_executed_fails(result: AttemptResult) -> None:
    driver = BalancerDriver(THROUGH)
    send = only_send(driver.submit_request(class_index=NOT_IDEMPOTENT, budget=2000.0))
    done = driver.end_attempt(send, result)
    assert sends(done) == []
    assert answers(done) == [Fail(send.id)]


@pytest.mark.parametrize("result", [AttemptResult.FULL, AttemptResult.CONNECT_FAILED])
def test_a_not_idempotent_request_that_was_not_executed_is_retried(result: AttemptResult) -> None:
    driver = BalancerDriver(THROUGH)
    send = only_send(driver.submit_request(class_index=NOT_IDEMPOTENT, budget=2000.0))
    assert only_send(driver.end_attempt(send, result)).server != send.server


def test_a_keyed_request_is_retried_in_its_deduplication_scope_and_window() -> None:
    zoned = (CLASSES[0], CLASSES[1]._replace(deduplication_scope="zone"), CLASSES[2])
    driver = BalancerDriver(THROUGH._replace(classes=zoned), make_endpoints(4, zones=2))
    send = only_send(driver.submit_request(class_index=IDEMPOTENCY_KEY, budget=2000.0))
    driver.now += 100
    again = driver.end_attempt(send, AttemptResult.ERROR)
    for more in sends(again):
        assert more.server % 2 == send.server % 2
    assert all(isinstance(a, Fail) for a in answers(again))


def test_a_keyed_request_is_not_retried_after_its_idempotency_window() -> None:
    driver = BalancerDriver(THROUGH)
    send = only_send(driver.submit_request(class_index=IDEMPOTENCY_KEY, budget=2000.0))
    driver.now += 1600
    assert answers(driver.end_attempt(send, AttemptResult.ERROR)) == [Fail(send.id)]


def test_a_timeout_at_the_deadline_gets_an_answer() -> None:
    driver = BalancerDriver()
    send = only_send(driver.submit_request())
    driver.now += 1000
    done = driver.end_attempt(send, AttemptResult.TIMEOUT)
    assert len(answers(done)) == 1 and sends(done) == []


def test_nothing_is_sent_for_a_cancelled_request() -> None:
    driver = BalancerDriver()
    send = only_send(driver.submit_request())
    driver.handle_event(RequestCancelled(send.id))
    assert sends(driver.end_attempt(send, AttemptResult.MISS)) == []
    assert driver.handle_event(RequestCancelled(send.id)) == []


def test_a_request_whose_response_has_begun_is_not_retried() -> None:
    streamed = (CLASSES[0]._replace(streamed=True), *CLASSES[1:])
    driver = BalancerDriver(ASIDE._replace(classes=streamed))
    send = only_send(driver.submit_request())
    driver.handle_event(FirstByte(send.id, 0, send.server, 10.0))
    driver.now += 5000
    assert driver.handle_event(Outcome(send.id, 0, send.server, AttemptResult.RESET, 5000.0, True)) == []


def test_a_request_is_rejected_at_once_without_servers_and_origin() -> None:
    driver = BalancerDriver(ASIDE, ())
    assert answers(driver.submit_request()) == [Reject(1)]
    assert answers(driver.submit_request(class_index=NOT_IDEMPOTENT)) == [Reject(2)]


def test_the_origin_is_used_without_cache_servers() -> None:
    driver = BalancerDriver(ASIDE, (Endpoint(ORIGIN, kind=3),))
    assert only_send(driver.submit_request()).server == ORIGIN


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_a_server_that_is_draining_or_gone_gets_nothing_more(state: ServerState) -> None:
    driver = BalancerDriver()
    owner = driver.read()
    driver.handle_event(EndpointList(EndpointListKind.DELTA, 2, (Endpoint(owner, state=state),)))
    for _ in range(20):
        assert driver.read() != owner


def test_a_server_missing_from_a_full_list_is_gone() -> None:
    driver = BalancerDriver()
    owner = driver.read()
    driver.handle_event(
        EndpointList(
            EndpointListKind.FULL, 2, tuple(endpoint for endpoint in make_endpoints() if endpoint.server != owner)
        )
    )
    assert driver.read() != owner


def test_waiting_requests_share_one_fetch_and_then_go_to_the_cache() -> None:
    driver = BalancerDriver()
    first = only_send(driver.submit_request())
    second = only_send(driver.submit_request())
    fetch = only_send(driver.end_attempt(first, AttemptResult.MISS))
    assert sends(driver.end_attempt(second, AttemptResult.MISS)) == []
    again = only_send(driver.end_attempt(fetch, AttemptResult.OK, 1))
    assert (again.id, again.server) == (second.id, second.server)
    driver.end_attempt(again, AttemptResult.OK, 1)
    driver.checker.check_all_answered()


def test_a_waiting_request_is_answered_before_its_deadline() -> None:
    driver = BalancerDriver()
    first = only_send(driver.submit_request(budget=1000.0))
    second = only_send(driver.submit_request(budget=400.0))
    driver.end_attempt(first, AttemptResult.MISS)
    driver.end_attempt(second, AttemptResult.MISS)
    assert answers(driver.advance_time(400)) == [Reject(second.id)]


def test_a_server_in_slow_start_gets_a_growing_share_of_keys() -> None:
    def share(age: float) -> float:
        accepted = 0
        for key in range(1, 201):
            driver = BalancerDriver(
                ASIDE._replace(router_count=1), (Endpoint(1, started=1000.0), Endpoint(ORIGIN, kind=3))
            )
            driver.now = 1000.0 + age
            accepted += only_send(driver.submit_request(key)).server == 1
        return accepted / 200

    assert share(0.0) < 0.45
    assert share(0.0) < share(4000.0) < share(8000.0) == 1.0


def test_a_server_in_slow_start_gets_few_requests_in_a_window_from_one_router() -> None:
    driver = BalancerDriver(ASIDE._replace(router_count=1), (Endpoint(1, started=1000.0), Endpoint(ORIGIN, kind=3)))
    driver.now += 7000.0
    key = next(k for k in range(1, 50) if only_send(driver.submit_request(k)).server == 1)
    assert [only_send(driver.submit_request(key)).server for _ in range(10)] == [ORIGIN] * 10


def test_unknown_ids_are_ignored() -> None:
    driver = BalancerDriver()
    for event in (RequestCancelled(77), Outcome(77, 0, 1, AttemptResult.OK, 1.0, True), FirstByte(77, 0, 1, 1.0)):
        assert driver.balancer.handle(driver.now, event) == []


def _run_random_events(module_settings: Settings, seed: int) -> list[object]:
    rng = random.Random(seed)
    driver = BalancerDriver(module_settings, make_endpoints(5, zones=2), seed=seed)
    in_flight: dict[tuple[int, int], tuple[Send, float]] = {}
    recorded_actions: list[object] = []

    def record(actions: list[object]) -> None:
        recorded_actions.extend(actions)
        for action in actions:
            if isinstance(action, Send):
                number = len(driver.checker.requests[action.id].attempts) - 1
                in_flight[action.id, number] = (action, driver.now)

    def time_out_overdue() -> None:
        """Time out the attempts whose deadline has passed, as the transport does."""
        for (request_id, number), (send, _) in list(in_flight.items()):
            request = driver.checker.requests[request_id]
            if driver.now >= request.deadline:
                del in_flight[request_id, number]
                driver.now, current_time = request.deadline, driver.now
                record(
                    [
                        *driver.handle_event(
                            Outcome(request_id, number, send.server, AttemptResult.TIMEOUT, 0.0, request.is_over)
                        )
                    ]
                )
                driver.now = current_time

    for _ in range(150):
        draw = rng.random()
        if draw < 0.4:
            class_index = rng.choice((READ, READ, IDEMPOTENCY_KEY, NOT_IDEMPOTENT))
            record([*driver.submit_request(rng.randrange(6), class_index, rng.uniform(50, 2000))])
        elif draw < 0.75 and in_flight:
            (request_id, number), (send, sent_at) = rng.choice(list(in_flight.items()))
            del in_flight[request_id, number]
            result = rng.choice(list(AttemptResult))
            is_over = driver.checker.requests[request_id].is_over or result == AttemptResult.OK
            record(
                [*driver.handle_event(Outcome(request_id, number, send.server, result, driver.now - sent_at, is_over))]
            )
        elif draw < 0.8:
            endpoint = Endpoint(
                rng.randrange(1, 7),
                zone=rng.randrange(2),
                state=rng.choice(list(ServerState)),
                started=rng.choice((0.0, driver.now)),
            )
            record([*driver.handle_event(EndpointList(EndpointListKind.DELTA, 2, (endpoint,)))])
        elif draw < 0.83 and driver.checker.requests:
            record([*driver.handle_event(RequestCancelled(rng.choice(list(driver.checker.requests))))])
        record([*driver.advance_time(rng.choice((0, 0, 5, 40, 200)))])
        time_out_overdue()
    for _ in range(60):
        record([*driver.advance_time(50)])
        time_out_overdue()
    driver.checker.check_all_answered()
    return recorded_actions


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    aside=st.booleans(),
    scope=st.sampled_from(("all", "zone", "cell")),
    hedging=st.booleans(),
)
def test_random_streams_keep_the_rules(seed: int, aside: bool, scope: str, hedging: bool) -> None:
    base = ASIDE if aside else THROUGH
    classes = (CLASSES[0], CLASSES[1]._replace(deduplication_scope=scope), CLASSES[2])
    _run_random_events(base._replace(classes=classes, hedging_allowed=hedging), seed)


def test_equal_events_give_equal_actions_and_instances_share_nothing() -> None:
    first_run = _run_random_events(ASIDE, 5)
    _run_random_events(ASIDE, 6)
    assert _run_random_events(ASIDE, 5) == first_run


def test_a_failed_list_is_polled_again_before_a_drain_counts_as_notified() -> None:
    """Guards the drain rule: 6 s after discovery has recovered a change counts as notified, even after a rejected poll.

    A poll that is queued for 2 s and rejected, with a backoff before and after it, leaves 1 s for the answer.
    """
    driver = BalancerDriver(THROUGH._replace(must_poll=True), make_endpoints(4))
    for _ in range(12):
        (timer,) = driver.handle_event(EndpointList(EndpointListKind.FAILED, 1))
        assert isinstance(timer, SetTimer) and timer.at - driver.now <= 1500.0
        assert WatchEndpoints(True) in driver.advance_time(1500.0)
