"""Tests of the router's actor: one outcome per attempt, at most one answer per request, deadlines in order."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from unittest.mock import Mock, patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.core.deadline_timer import DeadlineTimer
from starlingthread.core.deadlines import Deadline, Deadlines
from starlingthread.core.event_loop import MeteredSelector
from starlingthread.core.mailbox import Mailbox
from starlingthread.core.messages import (
    AttemptEnded,
    ClientDisconnected,
    Failed,
    PendingRequest,
    Rejected,
    RequestReceived,
    Served,
)
from starlingthread.events import AttemptResult, CacheStatus

from .balancer_driver import HEDGED, IDEMPOTENCY_KEY, NOT_IDEMPOTENT, READ, THROUGH
from .router_harness import ManualClock, RouterHarness


def test_an_answer_goes_to_the_client_and_the_request_is_removed() -> None:
    harness = RouterHarness()
    request = harness.submit_request()
    harness.deliver(AttemptEnded(harness.started[0], AttemptResult.OK, payload=b"value"))
    assert harness.answers == [(request, Served(b"value"))]
    assert not harness.router.requests and not harness.router.attempts.by_request


def test_a_late_outcome_is_dropped_and_an_abandoned_attempt_has_one_outcome() -> None:
    harness = RouterHarness()
    request = harness.submit_request()
    harness.advance_time(900.0)
    assert harness.abandoned == harness.started and not harness.started[0].pending
    assert harness.answers == [(request, Rejected(harness.answers[0][1].retry_after))]  # type: ignore[union-attr]
    harness.deliver(AttemptEnded(harness.started[0], AttemptResult.OK, payload=b"late"))
    assert len(harness.answers) == 1


def test_an_answer_in_the_mailbox_takes_precedence_over_an_expired_deadline() -> None:
    """After a pause of the process, the answer and the deadline are due in the same turn; messages come first."""
    harness = RouterHarness()
    request = harness.submit_request()
    harness.router.mailbox.force_put(AttemptEnded(harness.started[0], AttemptResult.OK, payload=b"v"))
    harness.clock.time += 2000.0
    harness.router.turn()
    assert harness.answers == [(request, Served(b"v"))]


def test_a_disconnected_client_gets_no_answer_and_its_attempt_is_abandoned() -> None:
    harness = RouterHarness()
    request = harness.submit_request()
    harness.deliver(ClientDisconnected(request))
    assert harness.answers == [] and harness.abandoned == harness.started
    assert not harness.router.requests


@pytest.mark.parametrize("result", [AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.ERROR])
def test_an_unsafe_request_that_may_have_run_is_never_sent_again(result: AttemptResult) -> None:
    harness = RouterHarness()
    harness.submit_request(NOT_IDEMPOTENT)
    harness.deliver(AttemptEnded(harness.started[0], result))
    harness.advance_time(2000.0)
    assert len(harness.started) == 1
    assert [type(answer) for _, answer in harness.answers] == [Failed]


def test_an_exception_of_the_module_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = RouterHarness()
    with monkeypatch.context() as failing_module:
        failing_module.setattr(harness.router.balancer, "handle", lambda *_: 1 // 0)
        failed_request = harness.submit_request()
    assert harness.answers == [(failed_request, Failed())]
    harness.submit_request()
    assert len(harness.started) == 1


def test_a_request_that_the_module_leaves_unanswered_fails_after_its_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = RouterHarness()
    monkeypatch.setattr(harness.router.balancer, "handle", lambda *_: [])
    request = harness.submit_request(deadline_in=300.0)
    harness.advance_time(400.0)
    assert harness.answers == [(request, Failed())]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "outcome", "disconnect", "time"]),
        st.integers(0, 9),
        st.sampled_from(list(AttemptResult)[:7]),
    ),
    min_size=20,
    max_size=120,
)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(STEPS)
def test_every_request_gets_one_answer_at_most_and_in_time(steps: list[tuple[str, int, AttemptResult]]) -> None:
    harness = RouterHarness()
    requests: list[PendingRequest] = []
    disconnected: set[int] = set()
    for step, number, result in steps:
        harness.clock.time += 1.0
        if step == "request":
            requests.append(
                harness.submit_request((READ, IDEMPOTENCY_KEY, NOT_IDEMPOTENT)[number % 3], 100.0 + 200 * number)
            )
        elif step == "outcome" and harness.started:
            harness.deliver(AttemptEnded(harness.started[-1 - number % len(harness.started)], result, payload=b"v"))
        elif step == "disconnect" and requests:
            request = requests[number % len(requests)]
            if not request.finished:
                disconnected.add(request.id)
            harness.deliver(ClientDisconnected(request))
        else:
            harness.advance_time(30.0 * number)
    harness.advance_time(5000.0)
    assert sorted([answered.id for answered, _ in harness.answers] + list(disconnected)) == [
        each.id for each in requests
    ]
    assert not harness.router.requests and not any(attempt.pending for attempt in harness.started)
    assert all(each.attempts_started <= THROUGH.max_attempts for each in requests)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 100), st.booleans())))
def test_deadlines_expire_in_order_and_never_once_cleared(items: list[tuple[float, bool]]) -> None:
    deadlines, expired = Deadlines(), []
    handles: list[Deadline] = []
    for at, _ in items:
        handles.append(deadlines.set(at, lambda at=at: expired.append(at)))  # type: ignore[misc]
    for handle, (_, keep) in zip(handles, items, strict=True):
        if not keep:
            deadlines.clear(handle)
    for now in (25.0, 50.0, 100.0):
        deadlines.sweep(now)
    assert expired == sorted(at for at, keep in items if keep)
    assert len(deadlines) == 0 and deadlines.first() is None


def test_a_deadline_cleared_by_one_of_the_same_sweep_does_not_expire() -> None:
    deadlines, expired = Deadlines(), []
    later = Deadline(0.0, 0)
    deadlines.set(1.0, lambda: deadlines.clear(later))
    later = deadlines.set(2.0, lambda: expired.append(2))
    deadlines.sweep(3.0)
    assert expired == []


def test_a_full_mailbox_accepts_only_forced_messages() -> None:
    mailbox: Mailbox[int] = Mailbox(1)
    assert mailbox.put(1) and not mailbox.put(2)
    mailbox.force_put(3)
    assert list(mailbox.take()) == [1, 3]


def test_one_timer_serves_all_deadlines_and_is_only_replaced_for_an_earlier_one() -> None:
    class Loop:
        def __init__(self) -> None:
            self.timer_times: list[float] = []
            self.callback: Callable[[], None] = lambda: None

        def call_at(self, at: float, callback: Callable[[], None]) -> asyncio.Handle:
            self.timer_times.append(at)
            self.callback = callback
            return Mock()

    clock, loop, deadlines, wake = ManualClock(), Loop(), Deadlines(), Mock()
    timer = DeadlineTimer(clock, deadlines, wake)
    with patch("asyncio.get_running_loop", return_value=loop):
        for at in (5.0, 9.0, 3.0, 4.0):
            deadlines.set(at, lambda: None)
            timer.arm()
        assert len(loop.timer_times) == 2
        wake.assert_not_called()
        loop.callback()
        wake.assert_called_once_with()
        deadlines.sweep(3.0)
        timer.arm()
        assert loop.timer_times == [clock.to_loop_time(at) for at in (5.0, 3.0, 4.0)]


def test_queue_time_is_passed_to_the_module_only_while_the_cpu_is_saturated(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against load shedding on a core with spare capacity because connections arrive in a burst."""
    harness = RouterHarness()
    queue_times: list[float] = []
    used_cpu_s = 0.0
    monkeypatch.setattr(time, "process_time", lambda: used_cpu_s)
    harness.router.core_load.cores = 0.4
    harness.router.begin()
    for share in (0.3, 0.39, 0.3):
        used_cpu_s += share * 0.25
        harness.advance_time(250.0)
        request = PendingRequest(
            harness, THROUGH.classes[READ], 7, harness.clock.time + 900.0, b"p", harness.clock.time - 30.0
        )
        with patch.object(harness.router.balancer, "handle", return_value=[]) as handle:
            harness.deliver(RequestReceived(request))
        queue_times.append(handle.call_args.args[1].queue_time)
    assert queue_times == [0.0, 30.0, 0.0]


def test_the_time_in_which_this_process_was_stopped_does_not_count_as_response_time() -> None:
    """Guards against a router that avoids a server after the router's process was stopped for three seconds.

    The stop must not look like a response time of three seconds.
    """
    harness = RouterHarness()
    idle_s = 0.0
    harness.router.core_load.cpu.idle_seconds = lambda: idle_s
    expected_wait = harness.router.balancer.load.expected_wait
    waits = []
    for stopped, idle_time in ((0.0, 30.0), (3000.0, 30.0), (0.0, 3000.0)):
        harness.submit_request(deadline_in=900.0 if not stopped else 9000.0)
        attempt = harness.started[-1]
        harness.clock.time += stopped + idle_time
        idle_s += idle_time / 1000.0
        harness.deliver(AttemptEnded(attempt, AttemptResult.OK, CacheStatus.HIT))
        waits.append(expected_wait(harness.clock.time, harness.router.balancer.fleet.servers[attempt.server]))
    assert waits[1] < 100.0 < 1000.0 < waits[2]


def test_a_server_whose_response_is_unread_after_a_stop_does_not_count_as_unresponsive() -> None:
    """Guards against a router that avoids servers for seconds after its process was stopped for 3 s.

    The check before a hedged request must not count the stop as 3 s without a response.
    """
    harness = RouterHarness(HEDGED)
    harness.router.begin()
    harness.submit_request(deadline_in=9000.0)
    attempt = harness.started[-1]
    harness.clock.time += 3000.0
    harness.router.turn()  # Deadlines have expired; the response is read later in this turn of the event loop.
    harness.deliver(AttemptEnded(attempt, AttemptResult.CANCELLED))
    server = harness.router.balancer.fleet.servers[attempt.server]
    assert len(harness.started) == 1 and server.outliers.consecutive_failures == 0
    assert harness.router.balancer.load.expected_wait(harness.clock.time, server) < 100.0


def test_a_selector_that_wakes_up_late_counts_only_its_timeout_as_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a stop of the process that counts as idle time, in which the process waited for responses."""
    selector = MeteredSelector()
    times = iter((100.0, 103.0))
    monkeypatch.setattr(time, "monotonic", lambda: next(times))
    selector.select(0.01)
    selector.close()
    assert selector.blocked_seconds == pytest.approx(0.01)
