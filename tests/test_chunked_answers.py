"""Chunked values that are forwarded from a cache server to a client."""

from __future__ import annotations

import asyncio

from starlingthread.core.messages import (
    Attempt,
    AttemptEnded,
    Served,
)
from starlingthread.core.pipe import ByteBudget, Pipe
from starlingthread.core.telemetry import FinalStatus
from starlingthread.events import AttemptResult, CacheStatus
from starlingthread.net import meta
from starlingthread.net.upstreams import messages

from .chunked_values import ANSWER_HEAD, VALUE, VALUE_LENGTH_BYTES, take_all
from .fakes import ClientHarness, ServerActorHarness, run_client_script
from .router_harness import RouterHarness


async def start_attempt(server: ServerActorHarness, text: bytes = b"mg a v O1 Pc=read,d=500\r\n") -> Attempt:
    attempt = server.attempt(text)
    server.deliver(messages.StartExchange(attempt))
    return attempt


def test_a_chunked_answer_is_reported_with_its_head_and_frees_its_connection_at_its_end() -> None:
    server = ServerActorHarness()
    asyncio.run(start_attempt(server))
    (ended,) = server.receive(ANSWER_HEAD + VALUE[:100])
    assert (
        ended.result == AttemptResult.OK
        and ended.cache_status == CacheStatus.HIT
        and take_all(ended.pipe) == VALUE[:100]
    )
    assert (
        not server.actor.pool.busy and not server.actor.pool.idle and server.actor.pool.streaming == {server.connection}
    )
    assert server.receive(VALUE[100:] + b"\r") == [] and ended.pipe.complete is None
    assert server.receive(b"\n") == [] and ended.pipe.complete and server.actor.pool.idle == [server.connection]
    assert take_all(ended.pipe) == VALUE[100:] + b"\r\n" and not server.actor.pool.streaming


def test_a_broken_chunked_answer_ends_its_pipe_and_closes_its_connection() -> None:
    for failure in ("reset", "missing CRLF", "stalled", "actor closed", "abandoned"):
        server = ServerActorHarness()
        attempt = asyncio.run(start_attempt(server))
        (ended,) = server.receive(ANSWER_HEAD + VALUE)
        if failure == "reset":
            server.deliver(messages.ConnectionLost(server.connection))
        elif failure == "missing CRLF":
            server.receive(b"xy")
        elif failure == "stalled":
            server.actor._on_read_timeout(server.connection, is_recheck=True, due=server.router_harness.clock.time)
        elif failure == "actor closed":
            server.actor.close()
        else:
            ended.pipe.abandon()
            assert not asyncio.run(server.actor.reader.wait_until_not_full(server.connection, ended.pipe))
            server.deliver(messages.ConnectionLost(server.connection))
        assert server.writer.transport.closed and server.actor.pool.open_count == 0 and not server.actor.pool.streaming
        assert ended.pipe.complete is False or failure == "abandoned"
        assert not server.actor.pool.busy and attempt not in server.actor.pool.busy


def test_a_chunked_answer_to_another_request_is_a_reset() -> None:
    server = ServerActorHarness()
    asyncio.run(start_attempt(server))
    (ended,) = server.receive(b"VA %d O2\r\n" % VALUE_LENGTH_BYTES + VALUE)
    assert ended.result == AttemptResult.RESET and ended.pipe is None and server.writer.transport.closed


def test_a_late_chunked_answer_is_abandoned() -> None:
    harness = RouterHarness()
    harness.submit_request()
    (attempt,) = harness.started
    late_pipe = Pipe(ByteBudget(0))
    harness.advance_time(900.0)
    harness.deliver(AttemptEnded(attempt, AttemptResult.OK, payload=b"x", pipe=late_pipe))
    assert late_pipe.abandoned


def test_a_chunked_answer_is_timed_by_its_first_bytes_and_counted_once_complete() -> None:
    for complete, final_status in (
        (True, FinalStatus.SUCCESS),
        (False, FinalStatus.FAILURE),
        (None, FinalStatus.ABANDONED),
    ):
        harness = RouterHarness()
        request, pipe = harness.submit_request(), Pipe(ByteBudget(0))
        harness.deliver(AttemptEnded(harness.started[0], AttemptResult.OK, payload=b"x", pipe=pipe))
        assert harness.answers == [(request, Served(b"x", pipe))] and harness.router.telemetry.inflight == 1
        harness.advance_time(5000.0)  # far beyond the deadline: the rest of the value is still forwarded
        assert not pipe.abandoned and len(harness.answers) == 1
        pipe.abandon() if complete is None else pipe.finish(complete)
        assert (
            harness.router.telemetry.finished_count("read", final_status) == 1
            and harness.router.telemetry.inflight == 0
        )


async def begin_large_answer(harness: ClientHarness, piece: bytes = VALUE[:9]) -> Pipe:
    """Have a client request a large value, and the value's head and first piece arrive."""
    harness.writer.write = harness.writer.transport.sent.extend  # type: ignore[attr-defined]
    harness.reader.feed_data(b"mg a v O1 Pc=read,d=500\r\nmn\r\n")
    (submitted,) = await harness.settle()
    pipe = Pipe(harness.listener.budget)
    pipe.put(piece)
    answer = meta.ServerAnswer(meta.AnswerKind.VALUE, b"1", (ANSWER_HEAD,), length=VALUE_LENGTH_BYTES)
    harness.actor.requests.answer(submitted.request, Served(answer, pipe))
    await harness.settle()
    assert bytes(harness.writer.transport.sent) == ANSWER_HEAD + piece
    return pipe


def test_a_chunked_value_is_written_as_it_arrives_and_the_next_response_after_it() -> None:
    async def script(harness: ClientHarness) -> None:
        pipe = await begin_large_answer(harness)
        pipe.put(VALUE[9:] + b"\r\n")
        pipe.finish(True)

    assert run_client_script(script) == ANSWER_HEAD + VALUE + b"\r\n" + meta.READY_LINE


def test_a_client_sees_that_a_chunked_value_was_truncated() -> None:
    async def script(harness: ClientHarness) -> None:
        pipe = await begin_large_answer(harness)
        pipe.finish(False)
        await harness.settle()
        assert harness.writer.transport.closed and pipe.is_finished()

    assert run_client_script(script) == ANSWER_HEAD + VALUE[:9]  # and nothing after it


def test_a_disconnect_abandons_the_value_being_written() -> None:
    async def script(harness: ClientHarness) -> None:
        pipe = await begin_large_answer(harness)
        harness.reader.feed_eof()
        await harness.settle()
        assert pipe.abandoned and harness.writer.transport.closed and harness.listener.budget.used == 0

    run_client_script(script)


def test_a_slow_client_applies_back_pressure_to_its_own_value() -> None:
    async def script(harness: ClientHarness) -> None:
        pipe = await begin_large_answer(harness)
        harness.writer.transport.unsent = 1 << 20
        pipe.put(VALUE[9:20])
        await harness.settle()
        pipe.put(VALUE[20:])  # the writer waits, so this piece stays in the pipe
        await harness.settle()
        assert pipe.buffered == VALUE_LENGTH_BYTES - 20 and pipe.is_full()  # the budget allows only one piece
        harness.writer.transport.unsent = 0
        await harness.settle()
        assert not pipe.is_full()
        pipe.put(b"\r\n")
        pipe.finish(True)

    assert run_client_script(script) == ANSWER_HEAD + VALUE + b"\r\n" + meta.READY_LINE
