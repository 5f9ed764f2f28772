"""The actor, pool and reader of a cache server's connections, driven by messages and bytes without any socket."""

from __future__ import annotations

from unittest.mock import Mock

import pytest

from starlingthread.core.messages import AttemptEnded
from starlingthread.events import AttemptResult, CacheStatus
from starlingthread.net.upstreams import messages, pool
from starlingthread.net.upstreams.idle_failures import IdleFailureRates
from starlingthread.net.upstreams.opener import PendingConnect

from .balancer_driver import THROUGH
from .chunked_values import ANSWER_HEAD, VALUE
from .fakes import ANSWER, ServerActorHarness


def test_a_command_carries_the_attempts_timeout_and_its_connection_returns_to_the_pool() -> None:
    harness = ServerActorHarness()
    attempt = harness.attempt()
    assert harness.deliver(messages.StartExchange(attempt)) == [] and not harness.actor.pool.idle
    assert harness.writer.transport.sent == b"mg a v O1 Pc=read,d=400\r\n"
    (ended,) = harness.receive(b"VA 1 O1 h0 Lutil=0.5,inflight=3\r\nx\r\n")
    assert (ended.result, ended.cache_status, ended.load_report) == (AttemptResult.OK, CacheStatus.MISS, (0.5, 3.0))
    assert harness.actor.pool.idle == [harness.connection] and not harness.actor.pool.busy


@pytest.mark.parametrize(
    ("line", "result", "reused"),
    [
        (b"SERVER_ERROR busy\r\n", AttemptResult.FULL, True),
        (b"SERVER_ERROR failed\r\n", AttemptResult.ERROR, True),
        (b"HD O1 c5\r\n", AttemptResult.RESET, False),
        (b"VA 1 O2\r\nx\r\n", AttemptResult.RESET, False),
        (b"what\r\n", AttemptResult.RESET, False),
    ],
)
def test_other_answers_end_the_attempt_with_their_result(line: bytes, result: AttemptResult, reused: bool) -> None:
    harness = ServerActorHarness()
    attempt = harness.attempt()
    harness.deliver(messages.StartExchange(attempt))
    (ended,) = harness.receive(line)
    assert ended.result == result and (harness.connection in harness.actor.pool.idle) == reused
    assert harness.writer.transport.closed != reused and harness.actor.pool.open_count == reused


@pytest.mark.parametrize("extra", [ANSWER, b"\xffnoise", b"SERVER_ERROR busy\r\n"])
def test_data_after_an_answer_does_not_answer_the_next_request(extra: bytes) -> None:
    """Extra data must not be mistaken for the answer to the next request on the connection.

    A stray 'busy' would even make the router send a non-idempotent request again that may have been executed.
    """
    for together in (True, False):
        harness = ServerActorHarness()
        attempt = harness.attempt()
        harness.deliver(messages.StartExchange(attempt))
        results = harness.receive(ANSWER + extra) if together else harness.receive(ANSWER) + harness.receive(extra)
        assert [m.result for m in results] == [AttemptResult.OK]
        assert harness.writer.transport.closed and not harness.actor.pool.idle and harness.actor.pool.open_count == 0


def test_busy_right_after_an_answer_does_not_prove_that_a_write_never_ran() -> None:
    for pause, result in ((49.0, AttemptResult.RESET), (50.0, AttemptResult.FULL)):
        harness = ServerActorHarness()
        attempt = harness.attempt()
        harness.deliver(messages.StartExchange(attempt))
        harness.receive(ANSWER)
        harness.router_harness.clock.time += pause
        harness.deliver(messages.StartExchange(harness.attempt(b"ms a 1 O1 Pc=put,d=500\r\nx\r\n")))
        assert [m.result for m in harness.receive(b"SERVER_ERROR busy\r\n")] == [result]


def test_busy_right_after_an_answer_does_not_prove_that_a_read_that_must_run_once_never_ran() -> None:
    """Guards against running a read twice whose class is not idempotent."""
    for class_index, result in ((0, AttemptResult.FULL), (2, AttemptResult.RESET)):
        harness = ServerActorHarness()
        harness.deliver(messages.StartExchange(harness.attempt()))
        harness.receive(ANSWER)
        attempt = harness.attempt()
        attempt.request.request_class = THROUGH.classes[class_index]
        harness.deliver(messages.StartExchange(attempt))
        assert [m.result for m in harness.receive(b"SERVER_ERROR busy\r\n")] == [result]


def test_busy_right_after_a_streamed_value_does_not_prove_that_a_write_never_ran() -> None:
    """Guards against running a write twice: the time was counted from the value's head, which may be much earlier."""
    for pause, result in ((49.0, AttemptResult.RESET), (50.0, AttemptResult.FULL)):
        harness = ServerActorHarness()
        harness.deliver(messages.StartExchange(harness.attempt()))
        harness.receive(ANSWER_HEAD + VALUE[:100])
        harness.router_harness.clock.time += 240.0
        harness.receive(VALUE[100:] + b"\r\n")
        harness.router_harness.clock.time += pause
        harness.deliver(messages.StartExchange(harness.attempt(b"ms a 1 O1 Pc=put,d=500\r\nx\r\n")))
        assert [m.result for m in harness.receive(b"SERVER_ERROR busy\r\n")] == [result]


def test_a_partial_answer_ends_its_attempt_on_the_second_read_timeout() -> None:
    harness = ServerActorHarness()
    attempt = harness.attempt()
    harness.deliver(messages.StartExchange(attempt))
    assert harness.receive(b"VA 9 O1\r\nx\r\n") == []
    now = harness.router_harness.clock.time
    harness.actor._on_read_timeout(harness.connection, is_recheck=False, due=now)
    # This timeout is handled late: the rest of the answer may wait unread in the socket.
    harness.actor._on_read_timeout(harness.connection, is_recheck=True, due=now - 20.0)
    assert list(harness.router_harness.router.mailbox.take()) == [] and not harness.writer.transport.closed
    harness.actor._on_read_timeout(harness.connection, is_recheck=True, due=now)
    (ended,) = harness.router_harness.router.mailbox.take()
    assert isinstance(ended, AttemptEnded) and ended.result == AttemptResult.RESET and harness.writer.transport.closed


def test_a_connect_timeout_that_is_handled_late_is_extended() -> None:
    """On an overloaded core all connects would time out otherwise, and their retries would add to its load."""
    harness = ServerActorHarness()
    attempt = harness.attempt()
    opener = harness.actor.opener
    opener.pending[attempt] = PendingConnect(Mock(), opener._set_timeout(attempt))
    now = harness.router_harness.clock.time
    assert harness.deliver(messages.ConnectTimedOut(attempt, now - 20.0)) == [] and attempt in opener.pending
    assert [m.result for m in harness.deliver(messages.ConnectTimedOut(attempt, now))] == [AttemptResult.CONNECT_FAILED]


def test_a_malformed_load_report_is_ignored_and_its_answer_accepted() -> None:
    for report in (b"Lutil=x,inflight=3", b"L\xff\xfe", b"Lutil=0.5", b"Linflight=99999999999,util=1"):
        harness = ServerActorHarness()
        attempt = harness.attempt()
        harness.deliver(messages.StartExchange(attempt))
        (ended,) = harness.receive(b"VA 1 O1 h0 " + report + b"\r\nx\r\n")
        assert (ended.result, ended.cache_status, ended.load_report) == (AttemptResult.OK, CacheStatus.MISS, ())


def test_connections_to_an_old_address_or_that_have_ended_are_not_reused() -> None:
    """A new server may be at the old address; a request on a connection that has ended would be lost."""
    for cause in ("address changed", "connection ended"):
        harness = ServerActorHarness()
        attempt = harness.attempt()
        if cause == "address changed":
            harness.actor.pool.replace_server(("127.0.0.1", 2), 0.0)
        else:
            harness.reader.feed_eof()
        assert harness.actor.pool.acquire(False) is None and harness.writer.transport.closed
        assert attempt.pending and harness.actor.pool.open_count == 0


def test_connections_are_not_reused_after_idle_times_at_which_they_often_break() -> None:
    """Middleboxes may drop idle connections early and without notice: the next request on them would be lost."""

    def new_harness() -> ServerActorHarness:
        harness = ServerActorHarness()
        harness.fleet.context.idle_failure_rates = rates
        harness.connection.idle_since = harness.router_harness.clock.time - 200.0
        return harness

    rates, now = IdleFailureRates(), ServerActorHarness().router_harness.clock.time
    for _ in range(20):
        rates.record(now, 20.0, False)
        rates.record(now, None, False)
    rates.record(now, 200.0, True)
    assert new_harness().actor.pool.acquire(False) is not None and new_harness().actor.pool.acquire(True) is None
    rates.record(now, 200.0, True)
    assert new_harness().actor.pool.acquire(False) is None
    assert rates.excess_failure_rate(now + 60000.0, 200.0) < pool.MAX_EXCESS_FAILURE_SHARE_WRITE  # reused again later
    for _ in range(20):  # new connections fail as often: the idle time is not the cause
        rates.record(now, None, True)
    assert new_harness().actor.pool.acquire(True) is not None


def test_a_connection_lost_after_the_write_is_a_reset_and_an_idle_one_ends_no_attempt() -> None:
    harness = ServerActorHarness()
    attempt = harness.attempt(b"ms a 1 O1 Pc=put,d=500\r\nx\r\n")
    harness.deliver(messages.StartExchange(attempt))
    (ended,) = harness.deliver(messages.ConnectionLost(harness.connection))
    assert ended.result == AttemptResult.RESET and harness.actor.pool.open_count == 0
    assert (idle := ServerActorHarness()).deliver(
        messages.ConnectionLost(idle.connection)
    ) == [] and not idle.actor.pool.idle


@pytest.mark.parametrize(
    "cause",
    ["not pending", "finished", "cancelled", "after deadline", "after deduplication window", "after drain grace"],
)
def test_a_request_that_must_not_run_any_more_is_not_written(cause: str) -> None:
    """The check runs immediately before the write, because time has passed since the router decided to send."""
    harness = ServerActorHarness()
    attempt = harness.attempt()
    if cause == "not pending":
        attempt.pending = False
    elif cause == "finished":
        attempt.request.finished = True
    elif cause == "cancelled":
        attempt.request.cancelled = True
    elif cause == "after deduplication window":
        # The request would reach the server after the server has discarded the idempotency key of the first attempt.
        attempt.write_deadline = harness.router_harness.clock.time + 4.0
    elif cause == "after deadline":
        harness.router_harness.clock.time += 401.0
    else:
        harness.actor.draining_since = harness.router_harness.clock.time - THROUGH.drain_grace + 50.0
    assert [m.result for m in harness.deliver(messages.StartExchange(attempt))] == [AttemptResult.NOT_SENT]
    assert not harness.writer.transport.sent


def test_an_abandoned_attempt_closes_its_connection_and_idle_ones_are_closed_early() -> None:
    harness = ServerActorHarness()
    attempt = harness.attempt()
    harness.deliver(messages.StartExchange(attempt))
    assert harness.deliver(messages.AbandonExchange(attempt)) == [] and harness.writer.transport.closed
    idle_harness = ServerActorHarness()
    idle_harness.router_harness.clock.time += 9000.0
    idle_harness.deliver(messages.CloseIdle(idle_harness.fleet.context.settings.max_idle))
    assert not idle_harness.writer.transport.closed
    idle_harness.router_harness.clock.time += 1000.0
    idle_harness.deliver(messages.CloseIdle(idle_harness.fleet.context.settings.max_idle))
    assert idle_harness.writer.transport.closed and idle_harness.actor.pool.open_count == 0


def test_a_stray_answer_closes_the_connection() -> None:
    harness = ServerActorHarness()
    assert harness.receive(b"MN\r\n") == [] and harness.writer.transport.closed


def test_the_result_of_an_attempt_is_reported_once() -> None:
    harness = ServerActorHarness()
    attempt = harness.attempt()
    harness.deliver(messages.StartExchange(attempt))
    results = harness.receive(b"SERVER_ERROR busy\r\n") + harness.deliver(messages.AbandonExchange(attempt))
    assert [type(m) for m in results] == [AttemptEnded]
