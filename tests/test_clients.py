"""Clients' connections, with hand-fed streams: no socket, no waiting."""

from __future__ import annotations

import asyncio

import pytest

from starlingthread.core.messages import ClientDisconnected, Failed, Rejected, RequestReceived, Served
from starlingthread.net import meta
from starlingthread.net.clients import ClientConnectionActor, key_number

from .standins import READS, ClientHarness, Writer, run_client_script


def test_answers_come_in_the_order_of_the_commands() -> None:
    async def script(now: ClientHarness) -> None:
        now.reader.feed_data(READS)
        first, second = (m.request for m in await now.settle())
        now.actor.requests.answer(second, Rejected(250.0))
        await now.settle()
        assert not now.writer.transport.sent
        value = meta.ServerAnswer(meta.AnswerKind.VALUE, b"1", (b"VA 1 O1\r\n", b"x\r\n"))
        now.actor.requests.answer(first, Served(value))
        now.actor.requests.answer(first, Failed())  # a second answer is not sent

    assert run_client_script(script) == b"VA 1 O1\r\nx\r\nSERVER_ERROR busy 250\r\nMN\r\n"


def test_a_client_that_leaves_withdraws_what_is_out() -> None:
    async def script(now: ClientHarness) -> None:
        now.reader.feed_data(READS)
        asked = await now.settle()
        now.reader.feed_eof()
        gone = await now.settle()
        assert [m.request for m in gone] == [m.request for m in asked]
        assert all(isinstance(m, ClientDisconnected) for m in gone) and now.writer.transport.gone

    run_client_script(script)


def test_lost_framing_is_answered_and_the_connection_closed() -> None:
    async def script(now: ClientHarness) -> None:
        now.reader.feed_data(b"mg a v O1 Pc=what,d=5\r\nms k nine O1\r\nmn\r\n")
        await now.settle()
        assert now.writer.transport.gone

    assert run_client_script(script) == b"CLIENT_ERROR unknown class\r\nCLIENT_ERROR bad data length\r\n"


def test_a_client_that_sends_on_and_on_is_not_read_past_its_share() -> None:
    async def script(now: ClientHarness) -> None:
        now.reader.feed_data(b"".join(b"mg a v O%d Pc=read,d=500\r\n" % n for n in range(40)))
        assert len(await now.settle()) == 16
        while now.actor.requests.slots_by_request:
            now.actor.requests.answer(next(iter(now.actor.requests.slots_by_request)), Failed())
            await now.settle()

    assert run_client_script(script) == b"SERVER_ERROR failed\r\n" * 40


def test_closing_waits_for_what_is_owed() -> None:
    async def script(now: ClientHarness) -> None:
        now.reader.feed_data(READS[:25])
        (message,) = await now.settle()
        now.actor.close_when_idle()
        await now.settle()
        assert isinstance(message, RequestReceived) and not now.writer.transport.gone
        now.actor.requests.answer(message.request, Failed())
        await now.settle()
        assert now.writer.transport.gone

    assert run_client_script(script) == b"SERVER_ERROR failed\r\n"


def test_a_client_that_reads_nothing_is_cut_off() -> None:
    async def script(now: ClientHarness) -> None:
        now.writer.transport.unsent = 1 << 20
        now.reader.feed_data(b"mn\r\n")
        await now.settle()
        now.front.deadlines.sweep(now.front.clock.now() + 9000.0)
        await now.settle()
        assert not now.writer.transport.gone
        now.front.deadlines.sweep(now.front.clock.now() + 10000.0)
        assert now.writer.transport.gone and now.front.counters["clients.cut_off"] == 1

    run_client_script(script)


@pytest.mark.parametrize(
    ("sent", "after", "answer"),
    [
        (b"", 2000.0, b""),
        (b"mg a v O1", 2200.0, b"CLIENT_ERROR command not finished\r\n"),
        (b"ms a 9 O1 Pc=read,d=5\r\nabc", 2200.0, b"CLIENT_ERROR command not finished\r\n"),
        (b"mn\r\n", 8000.0, b"MN\r\n"),
    ],
)
def test_a_connection_that_asks_for_nothing_is_closed(sent: bytes, after: float, answer: bytes) -> None:
    """Guards descriptors and memory against clients that hold their connection and say nothing, or half."""

    async def script(now: ClientHarness) -> None:
        now.reader.feed_data(sent)
        await now.settle()
        now.router.clock.time += after - 1.0  # type: ignore[attr-defined]
        now.actor.check_idle(now.front.clock.now(), crowded=False)
        await now.settle()
        assert not now.writer.transport.gone
        now.router.clock.time += 1.0  # type: ignore[attr-defined]
        now.actor.check_idle(now.front.clock.now(), crowded=False)
        await now.settle()
        assert now.writer.transport.gone

    assert run_client_script(script) == answer


def test_when_descriptors_are_out_those_who_said_nothing_go_first() -> None:
    async def script(now: ClientHarness) -> None:
        def join(sent: bytes) -> ClientConnectionActor:
            reader = asyncio.StreamReader()
            now.front._accept(reader, Writer())  # type: ignore[arg-type]
            reader.feed_data(sent)
            return next(a for a in now.front.connections if a.reader is reader)

        now.front.max_clients = 4
        now.reader.feed_data(READS[:25])
        half, mute, idle = join(b"mg "), join(b""), join(b"mn\r\n")
        await now.settle()
        now.router.clock.time += 200.0  # type: ignore[attr-defined]
        fresh = [join(READS[25:50]), join(b"mg c v O3 Pc=read,d=5\r\n")]
        await now.settle()
        assert mute not in now.front.connections and half not in now.front.connections
        assert {now.actor, idle, *fresh} == now.front.connections
        told = half.writer.transport.sent  # type: ignore[attr-defined]
        assert bytes(told) == b"CLIENT_ERROR command not finished\r\n"
        fresh.append(join(b"mg d v O4 Pc=read,d=5\r\n"))
        await now.settle()
        assert {now.actor, *fresh} == now.front.connections
        now.front._accept(asyncio.StreamReader(), (last := Writer()))  # type: ignore[arg-type]
        assert last.transport.gone and now.front.counters["clients.turned_away"] == 1

    run_client_script(script)


def test_clients_that_keep_connections_for_good_leave_some_for_those_who_ask() -> None:
    """Guards against clients that find no connection left, of which a router hears nothing."""

    async def script(now: ClientHarness) -> None:
        now.front.idle_client_threshold = 2
        now.reader.feed_data(READS[:25])
        readers = [asyncio.StreamReader() for _ in range(3)]
        for reader in readers:
            now.front._accept(reader, Writer())  # type: ignore[arg-type]
            reader.feed_data(b"mn\r\n")
            await now.settle()
            now.router.clock.time += 10.0  # type: ignore[attr-defined]
        now.front._check_idle_connections()
        await now.settle()
        assert len(now.front.connections) == 4
        now.router.clock.time += 85.0  # type: ignore[attr-defined]
        now.front._check_idle_connections()  # two have been idle for long enough, and there are two too many
        await now.settle()
        assert {a.reader for a in now.front.connections} == {now.reader, readers[2]}

    run_client_script(script)


def test_a_connection_is_not_closed_while_bytes_lie_unread_in_its_socket() -> None:
    async def script(now: ClientHarness) -> None:
        now.writer.other.send(b"mg a v O1 Pc=read,d=500")  # the system has them, the reader has not
        now.actor.close_when_idle()
        await now.settle()
        assert not now.writer.transport.gone
        now.writer.mine.recv(100)
        now.actor.responses.mailbox.wake()
        await now.settle()
        assert now.writer.transport.gone

    assert run_client_script(script) == b""


def test_a_request_that_crosses_our_close_is_answered_if_it_was_taken_off_the_socket() -> None:
    """Guards against a loss: nobody else can read that request any more, and its client would see a close."""

    async def script(now: ClientHarness) -> None:
        await now.settle()
        now.actor.close_when_idle()  # the actor's turn to close comes before the reader's
        now.reader.feed_data(READS[:25])
        (asked,) = await now.settle()
        assert not now.writer.transport.gone and not now.writer.transport.paused
        now.actor.requests.answer(asked.request, Failed())

    assert run_client_script(script) == b"SERVER_ERROR failed\r\n"


def test_an_id_that_is_open_is_an_error_and_free_again_after_its_answer() -> None:
    async def script(now: ClientHarness) -> None:
        now.reader.feed_data(READS[:25] * 2)
        (first,) = await now.settle()
        now.actor.requests.answer(first.request, Failed())
        await now.settle()
        now.reader.feed_data(READS[:25])
        assert len(await now.settle()) == 1

    assert run_client_script(script) == b"SERVER_ERROR failed\r\nCLIENT_ERROR id in use\r\n"


def test_who_sends_nothing_but_nonsense_is_not_listened_to_for_ever() -> None:
    async def script(now: ClientHarness) -> None:
        now.reader.feed_data(b"what\r\n" * 100)
        await now.settle()
        assert now.writer.transport.gone

    assert run_client_script(script) == b"ERROR\r\n" * 8


def test_a_key_is_the_same_number_everywhere() -> None:
    assert key_number(b"7f3a9c21e0b4d655") == 0xD54B9BF28703F94E
    assert key_number(b"a") == key_number(b"a") != key_number(b"b")
