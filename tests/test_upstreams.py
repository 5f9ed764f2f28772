"""Cache servers' connections, with hand-fed streams: no socket, no waiting."""

from __future__ import annotations

from unittest.mock import Mock

import pytest

from starlingthread.core.messages import AttemptEnded
from starlingthread.events import AttemptResult, CacheStatus
from starlingthread.net.upstreams import messages, pool

from .standins import ANSWER, ServerActorHarness
from .world import THROUGH


def test_a_command_goes_out_with_the_time_we_will_wait_and_the_connection_comes_back() -> None:
    held, job = (h := ServerActorHarness()), h.attempt()
    assert held.deliver(messages.Start(job)) == [] and not held.actor.pool.idle
    assert held.writer.transport.sent == b"mg a v O1 Pc=read,d=400\r\n"
    (ended,) = held.receive(b"VA 1 O1 h0 Lutil=0.5,inflight=3\r\nx\r\n")
    assert (ended.result, ended.cache_status, ended.load_report) == (AttemptResult.OK, CacheStatus.MISS, (0.5, 3.0))
    assert held.actor.pool.idle == [held.connection] and not held.actor.pool.busy


@pytest.mark.parametrize(
    ("line", "result", "kept"),
    [
        (b"SERVER_ERROR busy\r\n", AttemptResult.FULL, True),
        (b"SERVER_ERROR failed\r\n", AttemptResult.ERROR, True),
        (b"HD O1 c5\r\n", AttemptResult.RESET, False),
        (b"VA 1 O2\r\nx\r\n", AttemptResult.RESET, False),
        (b"what\r\n", AttemptResult.RESET, False),
    ],
)
def test_other_answers(line: bytes, result: AttemptResult, kept: bool) -> None:
    held, job = (h := ServerActorHarness()), h.attempt()
    held.deliver(messages.Start(job))
    (ended,) = held.receive(line)
    assert ended.result == result and (held.connection in held.actor.pool.idle) == kept
    assert held.writer.transport.closed != kept and held.actor.pool.open == kept


@pytest.mark.parametrize("behind", [ANSWER, b"\xffnoise", b"SERVER_ERROR busy\r\n"])
def test_what_comes_behind_an_answer_is_nobodys_answer(behind: bytes) -> None:
    """Guards the next request on that connection, and the never-twice rule against a stray 'busy'."""
    for together in (True, False):
        held, job = (h := ServerActorHarness()), h.attempt()
        held.deliver(messages.Start(job))
        told = held.receive(ANSWER + behind) if together else held.receive(ANSWER) + held.receive(behind)
        assert [m.result for m in told] == [AttemptResult.OK]
        assert held.writer.transport.closed and not held.actor.pool.idle and held.actor.pool.open == 0


def test_a_busy_right_behind_an_answer_proves_nothing_for_a_write() -> None:
    for pause, result in ((49.0, AttemptResult.RESET), (50.0, AttemptResult.FULL)):
        held, job = (h := ServerActorHarness()), h.attempt()
        held.deliver(messages.Start(job))
        held.receive(ANSWER)
        held.place.clock.time += pause
        held.deliver(messages.Start(held.attempt(b"ms a 1 O1 Pc=put,d=500\r\nx\r\n")))
        assert [m.result for m in held.receive(b"SERVER_ERROR busy\r\n")] == [result]


def test_an_answer_that_stops_short_is_given_up_when_it_is_looked_at_again() -> None:
    held, job = (h := ServerActorHarness()), h.attempt()
    held.deliver(messages.Start(job))
    assert held.receive(b"VA 9 O1\r\nx\r\n") == []
    now = held.place.clock.time
    held.actor._stalled(held.connection, sure=False, due=now)
    held.actor._stalled(held.connection, sure=True, due=now - 20.0)  # we look late: it may be here by now
    assert list(held.place.router.mailbox.take()) == [] and not held.writer.transport.closed
    held.actor._stalled(held.connection, sure=True, due=now)
    (ended,) = held.place.router.mailbox.take()
    assert isinstance(ended, AttemptEnded) and ended.result == AttemptResult.RESET and held.writer.transport.closed


def test_a_connection_that_we_look_at_too_late_is_not_given_up() -> None:
    """Guards a core that is too small: it would open them all again."""
    held, job = (h := ServerActorHarness()), h.attempt()
    held.actor.opening.jobs[job] = (Mock(), held.actor.opening._limit(job))
    now = held.place.clock.time
    assert held.deliver(messages.ConnectLate(job, now - 20.0)) == [] and job in held.actor.opening.jobs
    assert [m.result for m in held.deliver(messages.ConnectLate(job, now))] == [AttemptResult.CONNECT_FAILED]


def test_a_load_report_that_cannot_be_read_spoils_nothing_but_itself() -> None:
    for report in (b"Lutil=x,inflight=3", b"L\xff\xfe", b"Lutil=0.5", b"Linflight=99999999999,util=1"):
        held, job = (h := ServerActorHarness()), h.attempt()
        held.deliver(messages.Start(job))
        (ended,) = held.receive(b"VA 1 O1 h0 " + report + b"\r\nx\r\n")
        assert (ended.result, ended.cache_status, ended.load_report) == (AttemptResult.OK, CacheStatus.MISS, ())


def test_connections_to_where_a_server_was_or_that_have_ended_are_not_used() -> None:
    """Guards a new server at an old address, and requests against a connection that is known to be over."""
    for spoil in ("moved", "ended"):
        held, job = (h := ServerActorHarness()), h.attempt()
        if spoil == "moved":
            held.actor.pool.address = ("127.0.0.1", 2)
        else:
            held.reader.feed_eof()
        assert held.actor.pool.take(False) is None and held.writer.transport.closed
        assert job.pending and held.actor.pool.open == 0


def test_connections_are_not_used_after_an_idle_time_at_which_they_break() -> None:
    """Guards against what drops idle connections early and silently: the next request on them is lost."""

    def fresh() -> ServerActorHarness:
        held = ServerActorHarness()
        held.fleet.risk = risk
        held.connection.idle_since = held.place.clock.time - 200.0
        return held

    risk, now = pool.IdleRisk(), ServerActorHarness().place.clock.time
    for _ in range(20):
        risk.note(now, 20.0, False)
        risk.note(now, None, False)
    risk.note(now, 200.0, True)
    assert fresh().actor.pool.take(False) is not None and fresh().actor.pool.take(True) is None
    risk.note(now, 200.0, True)
    assert fresh().actor.pool.take(False) is None
    assert risk.beyond_new(now + 60000.0, 200.0) < pool.RISK_WRITE  # tried again later
    for _ in range(20):  # new ones break as often: then it is not for having been idle
        risk.note(now, None, True)
    assert fresh().actor.pool.take(True) is not None


def test_a_break_after_the_write_may_have_run_and_an_idle_break_is_nobodys() -> None:
    held, job = (h := ServerActorHarness()), h.attempt(b"ms a 1 O1 Pc=put,d=500\r\nx\r\n")
    held.deliver(messages.Start(job))
    (ended,) = held.deliver(messages.Broken(held.connection))
    assert ended.result == AttemptResult.RESET and held.actor.pool.open == 0
    assert (idle := ServerActorHarness()).deliver(messages.Broken(idle.connection)) == [] and not idle.actor.pool.idle


@pytest.mark.parametrize("spoil", ["unwanted", "over", "withdrawn", "late", "repeat", "drained"])
def test_nothing_is_written_that_is_not_to_be_any_more(spoil: str) -> None:
    """Guards the moment before a write: time passed since the module decided."""
    held, job = (h := ServerActorHarness()), h.attempt()
    if spoil == "unwanted":
        job.pending = False
    elif spoil == "over":
        job.request.finished = True
    elif spoil == "withdrawn":
        job.request.cancelled = True
    elif spoil == "repeat":
        job.write_deadline = (
            held.place.clock.time + 4.0
        )  # it would come to the server when that has forgotten the first one
    elif spoil == "late":
        held.place.clock.time += 401.0
    else:
        held.actor.shut_at = held.place.clock.time - THROUGH.drain_grace + 50.0
    assert [m.result for m in held.deliver(messages.Start(job))] == [AttemptResult.NOT_SENT]
    assert not held.writer.transport.sent


def test_giving_up_closes_the_connection_and_idle_ones_are_retired_early() -> None:
    held, job = (h := ServerActorHarness()), h.attempt()
    held.deliver(messages.Start(job))
    assert held.deliver(messages.Abandon(job)) == [] and held.writer.transport.closed
    old = ServerActorHarness()
    old.place.clock.time += 9000.0
    old.deliver(messages.Retire(old.fleet.retire_after))
    assert not old.writer.transport.closed
    old.place.clock.time += 1000.0
    old.deliver(messages.Retire(old.fleet.retire_after))
    assert old.writer.transport.closed and old.actor.pool.open == 0


def test_a_stray_answer_closes_the_connection() -> None:
    held = ServerActorHarness()
    assert held.receive(b"MN\r\n") == [] and held.writer.transport.closed


def test_what_an_attempt_ends_with_is_told_once() -> None:
    held, job = (h := ServerActorHarness()), h.attempt()
    held.deliver(messages.Start(job))
    told = held.receive(b"SERVER_ERROR busy\r\n") + held.deliver(messages.Abandon(job))
    assert [type(m) for m in told] == [AttemptEnded]
