"""Client connections on fake streams, without network and without waiting."""

from __future__ import annotations

import asyncio

import pytest

from starlingthread.core.messages import ClientDisconnected, Failed, Rejected, RequestReceived, Served
from starlingthread.net import meta
from starlingthread.net.clients import ClientConnectionActor, key_hash, limits

from .fakes import READS, ClientHarness, FakeWriter, run_client_script


def test_responses_come_in_the_order_of_the_commands() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(READS)
        first, second = (m.request for m in await harness.settle())
        harness.actor.requests.answer(second, Rejected(250.0))
        await harness.settle()
        assert not harness.writer.transport.sent
        value = meta.ServerAnswer(meta.AnswerKind.VALUE, b"1", (b"VA 1 O1\r\n", b"x\r\n"))
        harness.actor.requests.answer(first, Served(value))
        harness.actor.requests.answer(first, Failed())  # a second answer is not sent

    assert run_client_script(script) == b"VA 1 O1\r\nx\r\nSERVER_ERROR busy 250\r\nMN\r\n"


def test_a_disconnect_cancels_requests_in_flight() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(READS)
        received = await harness.settle()
        harness.reader.feed_eof()
        disconnects = await harness.settle()
        assert [m.request for m in disconnects] == [m.request for m in received]
        assert all(isinstance(m, ClientDisconnected) for m in disconnects) and harness.writer.transport.closed

    run_client_script(script)


def test_lost_framing_is_answered_and_the_connection_closed() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(b"mg a v O1 Pc=what,d=5\r\nms k nine O1\r\nmn\r\n")
        await harness.settle()
        assert harness.writer.transport.closed

    assert run_client_script(script) == b"CLIENT_ERROR unknown class\r\nCLIENT_ERROR bad data length\r\n"


def test_pipelining_is_bounded() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(b"".join(b"mg a v O%d Pc=read,d=500\r\n" % n for n in range(40)))
        assert len(await harness.settle()) == 16
        while harness.actor.requests.slots_by_request:
            harness.actor.requests.answer(next(iter(harness.actor.requests.slots_by_request)), Failed())
            await harness.settle()

    assert run_client_script(script) == b"SERVER_ERROR failed\r\n" * 40


def test_closing_waits_for_pending_responses() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(READS[:25])
        (message,) = await harness.settle()
        harness.actor.close_when_idle()
        await harness.settle()
        assert isinstance(message, RequestReceived) and not harness.writer.transport.closed
        harness.actor.requests.answer(message.request, Failed())
        await harness.settle()
        assert harness.writer.transport.closed

    assert run_client_script(script) == b"SERVER_ERROR failed\r\n"


async def advance_time(harness: ClientHarness, duration_ms: float) -> None:
    """Advance the clock, and run the deadlines that have expired and all tasks."""
    harness.router.clock.time += duration_ms  # type: ignore[attr-defined]
    harness.listener.deadlines.sweep(harness.listener.clock.now())
    await harness.settle()


def test_a_client_that_reads_no_responses_is_disconnected() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.writer.transport.unsent = 1 << 20
        harness.reader.feed_data(b"mn\r\n")
        await harness.settle()
        for _ in range(3):
            await advance_time(harness, limits.WRITE_STALL_CHECK_INTERVAL_MS)
        await advance_time(harness, 1500.0)
        assert not harness.writer.transport.closed  # after 9 s
        await advance_time(harness, 1000.0)
        assert harness.writer.transport.closed and harness.listener.counters["clients.write_stalled"] == 1

    run_client_script(script)


def test_a_command_is_not_timed_out_while_its_value_arrives() -> None:
    """Guards against an error for a client that sends a value steadily, but for longer than a command may take."""

    async def script(harness: ClientHarness) -> None:
        for piece in (b"ms a 9 O1 Pc=read,d=5\r\n", *(b"%d" % number for number in range(9))):
            harness.reader.feed_data(piece)
            await advance_time(harness, limits.COMMAND_TIMEOUT_MS - 1.0)
            harness.actor.check_idle(harness.listener.clock.now(), False)
        harness.reader.feed_data(b"\r\n")
        (submitted,) = await harness.settle()
        harness.actor.requests.answer(submitted.request, Failed())

    assert run_client_script(script) == meta.FAILED_LINE


def test_a_client_is_disconnected_only_once_it_has_stopped_reading() -> None:
    """Guards against cutting off a value under a client that reads it steadily, but slowly."""

    async def script(harness: ClientHarness) -> None:
        transport = harness.writer.transport
        transport.unsent = 1 << 20
        harness.reader.feed_data(b"mn\r\n")
        await harness.settle()
        for _ in range(100):
            transport.unsent -= 1
            await advance_time(harness, limits.WRITE_STALL_TIMEOUT_MS - limits.WRITE_STALL_CHECK_INTERVAL_MS)
        assert not transport.closed
        await advance_time(harness, limits.WRITE_STALL_CHECK_INTERVAL_MS)
        for _ in range(3):
            await advance_time(harness, limits.WRITE_STALL_CHECK_INTERVAL_MS)
        assert transport.closed

    run_client_script(script)


@pytest.mark.parametrize(
    ("sent", "after_ms", "answer"),
    [
        (b"", 2000.0, b""),
        (b"mg a v O1", 2200.0, b"CLIENT_ERROR command not finished\r\n"),
        (b"ms a 9 O1 Pc=read,d=5\r\nabc", 2200.0, b"CLIENT_ERROR command not finished\r\n"),
        (b"mn\r\n", 8000.0, b"MN\r\n"),
    ],
)
def test_an_idle_connection_is_closed(sent: bytes, after_ms: float, answer: bytes) -> None:
    """Guards descriptors and memory against clients that keep a connection open and send nothing, or half a command."""

    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(sent)
        await harness.settle()
        harness.router.clock.time += after_ms - 1.0  # type: ignore[attr-defined]
        harness.actor.check_idle(harness.listener.clock.now(), near_threshold=False)
        await harness.settle()
        assert not harness.writer.transport.closed
        harness.router.clock.time += 1.0  # type: ignore[attr-defined]
        harness.actor.check_idle(harness.listener.clock.now(), near_threshold=False)
        await harness.settle()
        assert harness.writer.transport.closed

    assert run_client_script(script) == answer


def test_when_descriptors_run_out_silent_connections_are_evicted_first() -> None:
    async def script(harness: ClientHarness) -> None:
        def connect(sent: bytes) -> ClientConnectionActor:
            reader = asyncio.StreamReader()
            harness.listener._accept(reader, FakeWriter())  # type: ignore[arg-type]
            reader.feed_data(sent)
            return next(a for a in harness.listener.connections if a.reader is reader)

        harness.listener.max_clients = 4
        harness.reader.feed_data(READS[:25])
        partial, silent, idle = connect(b"mg "), connect(b""), connect(b"mn\r\n")
        await harness.settle()
        harness.router.clock.time += 200.0  # type: ignore[attr-defined]
        active = [connect(READS[25:50]), connect(b"mg c v O3 Pc=read,d=5\r\n")]
        await harness.settle()
        assert silent not in harness.listener.connections and partial not in harness.listener.connections
        assert {harness.actor, idle, *active} == harness.listener.connections
        response = partial.writer.transport.sent  # type: ignore[attr-defined]
        assert bytes(response) == b"CLIENT_ERROR command not finished\r\n"
        active.append(connect(b"mg d v O4 Pc=read,d=5\r\n"))
        await harness.settle()
        assert {harness.actor, *active} == harness.listener.connections
        harness.listener._accept(asyncio.StreamReader(), (last := FakeWriter()))  # type: ignore[arg-type]
        assert last.transport.closed and harness.listener.counters["clients.rejected"] == 1

    run_client_script(script)


def test_idle_connections_above_the_threshold_are_evicted() -> None:
    """Guards against clients that can't connect, which a router does not notice."""

    async def script(harness: ClientHarness) -> None:
        harness.listener.idle_client_threshold = 2
        harness.reader.feed_data(READS[:25])
        readers = [asyncio.StreamReader() for _ in range(3)]
        for reader in readers:
            harness.listener._accept(reader, FakeWriter())  # type: ignore[arg-type]
            reader.feed_data(b"mn\r\n")
            await harness.settle()
            harness.router.clock.time += 10.0  # type: ignore[attr-defined]
        harness.listener._check_idle_connections()
        await harness.settle()
        assert len(harness.listener.connections) == 4
        harness.router.clock.time += 85.0  # type: ignore[attr-defined]
        harness.listener._check_idle_connections()  # two are idle for long enough, and two exceed the threshold
        await harness.settle()
        assert {a.reader for a in harness.listener.connections} == {harness.reader, readers[2]}

    run_client_script(script)


def test_a_connection_is_not_closed_while_its_socket_has_unread_bytes() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.writer.remote_socket.send(b"mg a v O1 Pc=read,d=500")  # in the socket's buffer, not in the reader
        harness.actor.close_when_idle()
        await harness.settle()
        assert not harness.writer.transport.closed
        harness.writer.local_socket.recv(100)
        harness.actor.responses.mailbox.wake()
        await harness.settle()
        assert harness.writer.transport.closed

    assert run_client_script(script) == b""


def test_a_request_that_crosses_our_close_is_answered_if_it_was_read_off_the_socket() -> None:
    """Guards against a lost request: no other process can read it, and its client would only see a close."""

    async def script(harness: ClientHarness) -> None:
        await harness.settle()
        harness.actor.close_when_idle()  # the actor's turn to close precedes the reader's turn
        harness.reader.feed_data(READS[:25])
        (received,) = await harness.settle()
        assert not harness.writer.transport.closed and not harness.writer.transport.paused
        harness.actor.requests.answer(received.request, Failed())

    assert run_client_script(script) == b"SERVER_ERROR failed\r\n"


def test_an_id_in_use_is_an_error_and_free_again_after_its_answer() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(READS[:25] * 2)
        (first,) = await harness.settle()
        harness.actor.requests.answer(first.request, Failed())
        await harness.settle()
        harness.reader.feed_data(READS[:25])
        assert len(await harness.settle()) == 1

    assert run_client_script(script) == b"SERVER_ERROR failed\r\nCLIENT_ERROR id in use\r\n"


def test_a_connection_that_sends_only_malformed_commands_is_closed() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(b"what\r\n" * 100)
        await harness.settle()
        assert harness.writer.transport.closed

    assert run_client_script(script) == b"ERROR\r\n" * 8


def test_key_hashes_are_stable() -> None:
    assert key_hash(b"7f3a9c21e0b4d655") == 0xD54B9BF28703F94E
    assert key_hash(b"a") == key_hash(b"a") != key_hash(b"b")
