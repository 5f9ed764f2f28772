"""Chunked values that are forwarded from a client to a cache server."""

from __future__ import annotations

import asyncio

from starlingthread.core.messages import (
    BodyReceived,
    ClientDisconnected,
    Failed,
    PendingRequest,
    Rejected,
)
from starlingthread.core.pipe import ByteBudget, Pipe
from starlingthread.events import AttemptResult, Request
from starlingthread.net import meta
from starlingthread.net.clients.limits import COMMAND_TIMEOUT_MS, VALUE_TIMEOUT_MS
from starlingthread.net.upstreams import messages

from .balancer_driver import THROUGH, BalancerDriver, answers, only_send, sends
from .chunked_values import VALUE, WRITE_HEAD, take_all
from .fakes import ClientHarness, ServerActorHarness, run_client_script, settle
from .router_harness import RouterHarness


def test_a_chunked_write_is_submitted_early_and_timed_from_its_last_byte() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.listener.budget.limit = 8 << 20
        harness.reader.feed_data(WRITE_HEAD + VALUE[:7])
        # A head with little of its value is not submitted, so that it occupies no capacity of a server.
        assert await harness.settle() == []
        harness.reader.feed_data(VALUE[7:-9])
        (submitted,) = await harness.settle()
        request, pipe = submitted.request, submitted.request.body
        assert request.is_write and take_all(pipe) == VALUE[:-9] and pipe.complete is None
        harness.router.clock.time += 2000.0  # type: ignore[attr-defined]
        harness.reader.feed_data(VALUE[-9:] + b"\r\nmn\r\n")
        (received,) = await harness.settle()
        assert isinstance(received, BodyReceived) and received.deadline == harness.listener.clock.now() + 500.0 - 4.0
        assert take_all(pipe) == VALUE[-9:] + b"\r\n" and pipe.complete
        harness.actor.requests.answer(request, Failed())

    assert run_client_script(script) == meta.FAILED_LINE + meta.READY_LINE


def test_an_answer_to_an_incomplete_write_is_deferred_to_its_last_byte() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(WRITE_HEAD + VALUE[:7])
        (submitted,) = await harness.settle()
        submitted.request.body.abandon()
        harness.actor.requests.answer(submitted.request, Rejected(100.0))
        await harness.settle()
        assert not harness.writer.transport.sent
        harness.reader.feed_data(VALUE[7:] + b"\r\n" + b"mn\r\n")
        assert await harness.settle() == [] and harness.listener.budget.used == 0

    assert run_client_script(script) == b"SERVER_ERROR busy 100\r\n" + meta.READY_LINE


def test_a_chunked_write_that_ends_wrongly_or_never_is_cancelled() -> None:
    for failure in ("wrong CRLF", "stalled", "disconnected"):

        async def script(harness: ClientHarness, failure: str = failure) -> None:
            harness.listener.budget.limit = 8 << 20
            harness.reader.feed_data(WRITE_HEAD + VALUE[:-7])
            (submitted,) = await harness.settle()
            if failure == "wrong CRLF":
                harness.reader.feed_data(VALUE[-7:] + b"xy")
            elif failure == "disconnected":
                harness.reader.feed_eof()
            else:
                take_all(submitted.request.body)
                harness.router.clock.time += COMMAND_TIMEOUT_MS  # type: ignore[attr-defined]
                harness.actor.check_idle(harness.listener.clock.now(), False)
            (cancelled,) = await harness.settle()
            assert isinstance(cancelled, ClientDisconnected) and submitted.request.body.complete is False
            assert harness.writer.transport.closed and not harness.listener.open_ids
            submitted.request.body.abandon()

        sent = run_client_script(script)
        assert sent.startswith(b"CLIENT_ERROR") if failure != "disconnected" else sent == b""


def test_a_head_whose_value_never_arrives_is_not_submitted() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.listener.budget.limit = 8 << 20
        harness.reader.feed_data(WRITE_HEAD + VALUE[:7])
        assert await harness.settle() == []
        harness.router.clock.time += COMMAND_TIMEOUT_MS  # type: ignore[attr-defined]
        harness.actor.check_idle(harness.listener.clock.now(), False)
        assert await harness.settle() == [] and harness.writer.transport.closed
        assert not harness.listener.open_ids and harness.listener.budget.used == harness.router.telemetry.inflight == 0

    assert run_client_script(script) == b"CLIENT_ERROR command not finished\r\n"


def test_a_client_that_waits_for_the_server_is_not_timed_out() -> None:
    """Guards against an error for a client that we do not read, as its server is slow, once other values end."""

    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(WRITE_HEAD + VALUE[:7])
        (submitted,) = await harness.settle()
        assert submitted.request.body.is_full()
        harness.listener.budget.limit = 8 << 20  # other values have ended: this one is not full any more, but waits on
        harness.router.clock.time += 2 * COMMAND_TIMEOUT_MS  # type: ignore[attr-defined]
        harness.actor.check_idle(harness.listener.clock.now(), False)
        assert await harness.settle() == []
        submitted.request.body.abandon()

    run_client_script(script)


class WritingServerHarness(ServerActorHarness):
    """A server actor with an attempt whose large value has been received in part."""

    def __init__(self) -> None:
        super().__init__()
        self.writer.write = self.writer.transport.sent.extend  # type: ignore[attr-defined]
        self.write_attempt = self.attempt(WRITE_HEAD)
        self.body = self.write_attempt.request.body = Pipe(ByteBudget(0))
        self.body.put(VALUE[:7])

    async def begin(self) -> None:
        self.fleet.context.supervisor = type(self.fleet.context.supervisor)()
        self.deliver(messages.StartExchange(self.write_attempt))
        await settle()
        assert self.writer.transport.sent == WRITE_HEAD.replace(b"d=500", b"d=400") + VALUE[:7]


def test_a_chunked_write_is_counted_and_may_have_run_only_once_its_last_byte_is_written() -> None:
    async def run_write(complete: bool, failure: str) -> tuple[AttemptResult, int]:
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
        return outcomes[0].result, server.router_harness.router.telemetry.backend_calls

    assert asyncio.run(run_write(False, "reset")) == (AttemptResult.CONNECT_FAILED, 0)
    assert asyncio.run(run_write(True, "reset")) == (AttemptResult.RESET, 1)
    assert asyncio.run(run_write(False, "answer")) == (AttemptResult.ERROR, 0)
    assert asyncio.run(run_write(True, "answer")) == (AttemptResult.ERROR, 1)


def test_a_request_gets_its_deadline_once_its_value_is_received() -> None:
    harness = RouterHarness()
    now = harness.clock.time
    request = PendingRequest(
        harness, THROUGH.classes[1], 7, now + 30000.0, b"p", now, is_write=True, body=Pipe(ByteBudget(0))
    )
    harness.router.submit(request)
    harness.router.turn()
    harness.advance_time(2500.0)
    assert harness.started[0].pending and harness.answers == []
    harness.deliver(BodyReceived(request, harness.clock.time + 700.0))
    assert harness.started[0].sent_at == harness.clock.time
    harness.advance_time(699.0)
    assert harness.answers == []
    harness.advance_time(1.0)
    assert len(harness.answers) == 1 and not harness.started[0].pending and harness.abandoned == harness.started


def test_a_chunked_write_fails_only_once_no_more_of_its_value_arrives() -> None:
    """Guards against failing the write of a client that sends its value steadily, but slowly."""
    harness = RouterHarness()
    request = PendingRequest(
        harness,
        THROUGH.classes[1],
        7,
        harness.clock.time + VALUE_TIMEOUT_MS,
        b"p",
        harness.clock.time,
        is_write=True,
        body=Pipe(ByteBudget(0)),
    )
    harness.router.submit(request)
    harness.router.turn()
    for _ in range(10):
        harness.advance_time(VALUE_TIMEOUT_MS - 1.0)
        request.deadline = harness.clock.time + VALUE_TIMEOUT_MS  # as with each piece that arrives
    harness.advance_time(VALUE_TIMEOUT_MS - 1.0)
    assert harness.started[0].pending and harness.answers == []
    harness.advance_time(1.0)
    assert harness.answers == [(request, Failed())] and harness.abandoned == harness.started


def test_each_piece_of_a_chunked_write_gives_its_client_more_time() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(WRITE_HEAD + VALUE[:7])
        (submitted,) = await harness.settle()
        deadline = submitted.request.deadline
        harness.router.clock.time += VALUE_TIMEOUT_MS / 2  # type: ignore[attr-defined]
        take_all(submitted.request.body)
        harness.reader.feed_data(VALUE[7:9])
        await harness.settle()
        assert submitted.request.deadline == deadline + VALUE_TIMEOUT_MS / 2
        submitted.request.body.abandon()

    run_client_script(script)


def test_a_single_use_request_is_attempted_once() -> None:
    for result in (AttemptResult.CONNECT_FAILED, AttemptResult.FULL, AttemptResult.RESET, AttemptResult.ERROR):
        driver = BalancerDriver(THROUGH._replace(hedging_allowed=True))
        request = Request(1, 1, 2000.0, key=7, cost_hint=40.0, is_write=True, single_use=True)
        send = only_send(driver.handle_event(request))
        assert sends(driver.advance_time(400.0)) == []  # it is not hedged either
        after = driver.end_attempt(send, result)
        assert sends(after) == [] and len(answers(after)) == 1
