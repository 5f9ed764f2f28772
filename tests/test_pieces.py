"""Large values on their way in pieces: back-pressure, bounds, and what becomes of one that breaks off."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.core.messages import (
    Attempt,
    AttemptEnded,
    BodyReceived,
    ClientDisconnected,
    Failed,
    PendingRequest,
    Rejected,
    Served,
)
from starlingthread.core.pipe import WINDOW, ByteBudget, Pipe
from starlingthread.core.telemetry import FinalStatus
from starlingthread.events import AttemptResult, CacheStatus, Request
from starlingthread.net import meta
from starlingthread.net.clients.limits import COMMAND_TIMEOUT_MS
from starlingthread.net.upstreams import messages

from .router_harness import RouterHarness
from .standins import ClientHarness, ServerActorHarness, run_client_script
from .world import THROUGH, World, answers, only_send, sends

LONG = meta.MAX_UNCHUNKED_BYTES + 5000
VALUE = bytes(n % 251 for n in range(LONG))
PUT = b"ms a %d O1 Pc=keyed,d=500,k=1\r\n" % LONG
GOT = b"VA %d O1 h1\r\n" % LONG


# the pipe


@settings(max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(["put", "take", "end", "break", "abandon"]),
            st.integers(1, 3 * WINDOW // 2),
        ),
        max_size=60,
    )
)
def test_a_pipe_preserves_its_bytes_and_releases_its_budget(steps: list[tuple[int, str, int]]) -> None:
    budget = ByteBudget(WINDOW)
    pipes = [Pipe(budget) for _ in range(3)]
    put, got = [b"", b"", b""], [b"", b"", b""]
    settled = [0, 0, 0]
    for number, pipe in enumerate(pipes):
        pipe.on_settled(lambda number=number: settled.__setitem__(number, settled[number] + 1))  # type: ignore[misc]
    for which, what, size in steps:
        pipe = pipes[which]
        if what == "put" and not pipe.is_full():
            if not pipe.abandoned and pipe.complete is None:
                put[which] += b"x" * size
            pipe.put(b"x" * size)
            # One piece always; more only within the window, and only while the budget allows.
            assert pipe.buffered < WINDOW + size
        elif what == "take":
            got[which] += b"".join(pipe.take())
            assert not pipe.is_full()  # so that none ever waits for another one's writer
        elif what in ("end", "break"):
            pipe.finish(what == "end")
        elif what == "abandon":
            pipe.abandon()
        assert budget.used == sum(p.buffered for p in pipes) >= 0
    for which, pipe in enumerate(pipes):
        if not pipe.abandoned:
            assert got[which] + b"".join(pipe.take()) == put[which]
        pipe.abandon()
        assert settled[which] == 1 and pipe.is_finished()
    assert budget.used == 0


def test_back_pressure_affects_only_its_own_pipe() -> None:
    async def play() -> None:
        budget = ByteBudget(10)
        slow, quick = Pipe(budget), Pipe(budget)
        slow.put(b"x" * 11)  # all the budget there is
        quick.put(b"y")
        reading = asyncio.ensure_future(quick.until_not_full())
        await asyncio.sleep(0)
        assert not reading.done()
        assert quick.take() == [b"y"]
        await reading
        taking = asyncio.ensure_future(quick.until_more())
        await asyncio.sleep(0)
        assert not taking.done()
        quick.finish(False)
        await taking
        waiting = asyncio.ensure_future(slow.until_not_full())
        await asyncio.sleep(0)
        slow.abandon()
        await waiting
        assert budget.used == 0

    asyncio.run(play())


# from a cache server to a client


async def settle() -> None:
    for _ in range(12):
        await asyncio.sleep(0)


async def start_attempt(server: ServerActorHarness, text: bytes = b"mg a v O1 Pc=read,d=500\r\n") -> Attempt:
    job = server.attempt(text)
    server.deliver(messages.StartExchange(job))
    return job


def test_a_chunked_answer_is_reported_with_its_head_and_frees_its_connection_at_its_end() -> None:
    server = ServerActorHarness()
    asyncio.run(start_attempt(server))
    (ended,) = server.receive(GOT + VALUE[:100])
    assert (
        ended.result == AttemptResult.OK
        and ended.cache_status == CacheStatus.HIT
        and ended.pipe.take() == [VALUE[:100]]
    )
    assert (
        not server.actor.pool.busy and not server.actor.pool.idle and server.actor.pool.streaming == {server.connection}
    )
    assert server.receive(VALUE[100:] + b"\r") == [] and ended.pipe.complete is None
    assert server.receive(b"\n") == [] and ended.pipe.complete and server.actor.pool.idle == [server.connection]
    assert b"".join(ended.pipe.take()) == VALUE[100:] + b"\r\n" and not server.actor.pool.streaming


def test_a_broken_chunked_answer_ends_its_pipe_and_closes_its_connection() -> None:
    for failure in ("reset", "no end", "stalled", "gone", "nobody waits"):
        server = ServerActorHarness()
        job = asyncio.run(start_attempt(server))
        (ended,) = server.receive(GOT + VALUE)
        if failure == "reset":
            server.deliver(messages.ConnectionLost(server.connection))
        elif failure == "no end":
            server.receive(b"xy")
        elif failure == "stalled":
            server.actor._on_read_timeout(server.connection, is_recheck=True, due=server.place.clock.time)
        elif failure == "gone":
            server.actor.close()
        else:
            ended.pipe.abandon()
            assert not asyncio.run(server.actor.reader.wait_until_not_full(server.connection, ended.pipe))
            server.deliver(messages.ConnectionLost(server.connection))
        assert server.writer.transport.closed and server.actor.pool.open_count == 0 and not server.actor.pool.streaming
        assert ended.pipe.complete is False or failure == "nobody waits"
        assert not server.actor.pool.busy and job not in server.actor.pool.busy


def test_a_chunked_answer_to_another_request_is_a_reset() -> None:
    server = ServerActorHarness()
    asyncio.run(start_attempt(server))
    (ended,) = server.receive(b"VA %d O2\r\n" % LONG + VALUE)
    assert ended.result == AttemptResult.RESET and ended.pipe is None and server.writer.transport.closed


def test_a_late_chunked_answer_is_abandoned() -> None:
    place = RouterHarness()
    place.ask()
    (attempt,) = place.started
    late = Pipe(ByteBudget(0))
    place.pass_time(900.0)
    place.give(AttemptEnded(attempt, AttemptResult.OK, payload=b"x", pipe=late))
    assert late.abandoned


def test_a_chunked_answer_is_timed_by_its_first_bytes_and_counted_once_complete() -> None:
    for complete, end in ((True, FinalStatus.SUCCESS), (False, FinalStatus.FAILURE), (None, FinalStatus.ABANDONED)):
        place = RouterHarness()
        request, pipe = place.ask(), Pipe(ByteBudget(0))
        place.give(AttemptEnded(place.started[0], AttemptResult.OK, payload=b"x", pipe=pipe))
        assert place.answers == [(request, Served(b"x", pipe))] and place.router.telemetry.inflight == 1
        place.pass_time(5000.0)  # long past its deadline: what the server still gives is not cut off
        assert not pipe.abandoned and len(place.answers) == 1
        pipe.abandon() if complete is None else pipe.finish(complete)
        assert place.router.telemetry.finished_count("read", end) == 1 and place.router.telemetry.inflight == 0


async def begin_large_answer(harness: ClientHarness, piece: bytes = VALUE[:9]) -> Pipe:
    """Have a client ask for a large value, and its head and a first piece come."""
    harness.writer.write = harness.writer.transport.sent.extend  # type: ignore[attr-defined]
    harness.reader.feed_data(b"mg a v O1 Pc=read,d=500\r\nmn\r\n")
    (asked,) = await harness.settle()
    pipe = Pipe(harness.listener.budget)
    pipe.put(piece)
    answer = meta.ServerAnswer(meta.AnswerKind.VALUE, b"1", (GOT,), length=LONG)
    harness.actor.requests.answer(asked.request, Served(answer, pipe))
    await harness.settle()
    assert bytes(harness.writer.transport.sent) == GOT + piece
    return pipe


def test_a_chunked_value_is_written_as_it_arrives_and_the_next_response_behind_it() -> None:
    async def script(harness: ClientHarness) -> None:
        pipe = await begin_large_answer(harness)
        pipe.put(VALUE[9:] + b"\r\n")
        pipe.finish(True)

    assert run_client_script(script) == GOT + VALUE + b"\r\n" + meta.READY_LINE


def test_a_client_sees_that_a_chunked_value_broke_off() -> None:
    async def script(harness: ClientHarness) -> None:
        pipe = await begin_large_answer(harness)
        pipe.finish(False)
        await harness.settle()
        assert harness.writer.transport.closed and pipe.is_finished()

    assert run_client_script(script) == GOT + VALUE[:9]  # and nothing behind it


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
        pipe.put(VALUE[20:])  # the writer waits, so this one stays
        await harness.settle()
        assert pipe.buffered == LONG - 20 and pipe.is_full()  # there is no budget beyond one piece
        harness.writer.transport.unsent = 0
        await harness.settle()
        assert not pipe.is_full()
        pipe.put(b"\r\n")
        pipe.finish(True)

    assert run_client_script(script) == GOT + VALUE + b"\r\n" + meta.READY_LINE


# from a client to a cache server


def test_a_chunked_write_is_submitted_early_and_timed_from_its_last_byte() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.listener.budget.limit = 1 << 20
        harness.reader.feed_data(PUT + VALUE[:7])
        assert await harness.settle() == []  # a head alone holds no place at a server
        harness.reader.feed_data(VALUE[7:-9])
        (asked,) = await harness.settle()
        request, pipe = asked.request, asked.request.body
        assert request.is_write and b"".join(pipe.take()) == VALUE[:-9] and pipe.complete is None
        harness.router.clock.time += 2000.0  # type: ignore[attr-defined]
        harness.reader.feed_data(VALUE[-9:] + b"\r\nmn\r\n")
        (received,) = await harness.settle()
        assert isinstance(received, BodyReceived) and received.deadline == harness.listener.clock.now() + 500.0 - 4.0
        assert b"".join(pipe.take()) == VALUE[-9:] + b"\r\n" and pipe.complete
        harness.actor.requests.answer(request, Failed())

    assert run_client_script(script) == meta.FAILED_LINE + meta.READY_LINE


def test_an_answer_to_an_incomplete_write_is_deferred_to_its_last_byte() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(PUT + VALUE[:7])
        (asked,) = await harness.settle()
        asked.request.body.abandon()
        harness.actor.requests.answer(asked.request, Rejected(100.0))
        await harness.settle()
        assert not harness.writer.transport.sent
        harness.reader.feed_data(VALUE[7:] + b"\r\n" + b"mn\r\n")
        assert await harness.settle() == [] and harness.listener.budget.used == 0

    assert run_client_script(script) == b"SERVER_ERROR busy 100\r\n" + meta.READY_LINE


def test_a_chunked_write_that_ends_wrongly_or_never_is_cancelled() -> None:
    for failure in ("bad end", "stuck", "left"):

        async def script(harness: ClientHarness, failure: str = failure) -> None:
            harness.listener.budget.limit = 1 << 20
            harness.reader.feed_data(PUT + VALUE[:-7])
            (asked,) = await harness.settle()
            if failure == "bad end":
                harness.reader.feed_data(VALUE[-7:] + b"xy")
            elif failure == "left":
                harness.reader.feed_eof()
            else:
                asked.request.body.take()
                harness.router.clock.time += COMMAND_TIMEOUT_MS  # type: ignore[attr-defined]
                harness.actor.check_idle(harness.listener.clock.now(), False)
            (cancelled,) = await harness.settle()
            assert isinstance(cancelled, ClientDisconnected) and asked.request.body.complete is False
            assert harness.writer.transport.closed and not harness.listener.open_ids
            asked.request.body.abandon()

        sent = run_client_script(script)
        assert sent.startswith(b"CLIENT_ERROR") if failure != "left" else sent == b""


def test_a_head_whose_value_never_arrives_is_not_submitted() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.listener.budget.limit = 1 << 20
        harness.reader.feed_data(PUT + VALUE[:7])
        assert await harness.settle() == []
        harness.router.clock.time += COMMAND_TIMEOUT_MS  # type: ignore[attr-defined]
        harness.actor.check_idle(harness.listener.clock.now(), False)
        assert await harness.settle() == [] and harness.writer.transport.closed
        assert not harness.listener.open_ids and harness.listener.budget.used == harness.router.telemetry.inflight == 0

    assert run_client_script(script) == b"CLIENT_ERROR command not finished\r\n"


def test_a_client_that_waits_for_the_server_is_not_timed_out() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(PUT + VALUE[:7])
        (asked,) = await harness.settle()
        assert asked.request.body.is_full()
        harness.router.clock.time += 2 * COMMAND_TIMEOUT_MS  # type: ignore[attr-defined]
        harness.actor.check_idle(harness.listener.clock.now(), False)
        assert await harness.settle() == []
        asked.request.body.abandon()

    run_client_script(script)


class WritingServerHarness(ServerActorHarness):
    """A server's actor that has begun to write a large value."""

    def __init__(self) -> None:
        super().__init__()
        self.writer.write = self.writer.transport.sent.extend  # type: ignore[attr-defined]
        self.job = self.attempt(PUT)
        self.body = self.job.request.body = Pipe(ByteBudget(0))
        self.body.put(VALUE[:7])

    async def begin(self) -> None:
        self.fleet.context.watcher = type(self.fleet.context.watcher)()
        self.deliver(messages.StartExchange(self.job))
        await settle()
        assert self.writer.transport.sent == PUT.replace(b"d=500", b"d=400") + VALUE[:7]


def test_a_chunked_write_is_counted_and_may_have_run_only_once_its_last_byte_is_written() -> None:
    async def play(complete: bool, failure: str) -> tuple[AttemptResult, int]:
        server = WritingServerHarness()
        await server.begin()
        server.body.put(VALUE[7:50])
        await settle()
        if complete:
            server.body.put(VALUE[50:] + b"\r\n")
            server.body.finish(True)
            await settle()
            assert server.writer.transport.sent.endswith(VALUE + b"\r\n")
        reset = failure == "reset"
        outcomes = (
            server.deliver(messages.ConnectionLost(server.connection))
            if reset
            else server.receive(b"SERVER_ERROR failed\r\n")
        )
        assert server.writer.transport.closed == (reset or not complete)
        assert complete or server.body.abandoned
        return outcomes[0].result, server.place.router.telemetry.backend_calls

    assert asyncio.run(play(False, "reset")) == (AttemptResult.CONNECT_FAILED, 0)
    assert asyncio.run(play(True, "reset")) == (AttemptResult.RESET, 1)
    assert asyncio.run(play(False, "answer")) == (AttemptResult.ERROR, 0)
    assert asyncio.run(play(True, "answer")) == (AttemptResult.ERROR, 1)


def test_a_request_gets_its_deadline_once_its_value_is_received() -> None:
    place = RouterHarness()
    now = place.clock.time
    request = PendingRequest(
        place, THROUGH.classes[1], 7, now + 30000.0, b"p", now, is_write=True, body=Pipe(ByteBudget(0))
    )
    place.router.submit(request)
    place.router.turn()
    place.pass_time(2500.0)
    assert place.started[0].pending and place.answers == []
    place.give(BodyReceived(request, place.clock.time + 700.0))
    assert place.started[0].sent_at == place.clock.time
    place.pass_time(699.0)
    assert place.answers == []
    place.pass_time(1.0)
    assert len(place.answers) == 1 and not place.started[0].pending and place.abandoned == place.started


def test_a_single_use_request_is_attempted_once() -> None:
    for result in (AttemptResult.CONNECT_FAILED, AttemptResult.FULL, AttemptResult.RESET, AttemptResult.ERROR):
        world = World(THROUGH._replace(hedging_allowed=True))
        request = Request(1, 1, 2000.0, key=7, cost_hint=40.0, is_write=True, single_use=True)
        send = only_send(world.do(request))
        assert sends(world.pass_time(400.0)) == []  # no second copy of it either
        after = world.end(send, result)
        assert sends(after) == [] and len(answers(after)) == 1
