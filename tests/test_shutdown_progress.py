"""A graceful shutdown passes on whole what makes progress, however slowly, and ends what stalls."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterator
from pathlib import Path

import pytest

from starlingthread.net.clients.draining import (
    FAIL_TIMEOUT_MS,
    MAX_COUNTED_INTERVAL_MS,
    DrainLimits,
    Progress,
    StallMonitor,
)
from starlingthread.net.clients.limits import WRITE_STALL_TIMEOUT_MS
from starlingthread.router_process import shutdown

from .peers import CLASSES, Listener, Peer, RunningRouter, connect, read_command, running_router, until, value_answer

QUIET_TIMEOUT_S = 0.3
GRADES = [{**grade, "promiseMs": 100.0, "hardLimitMs": 250.0} for grade in CLASSES]
PIECE = 80_000  # larger than what is buffered completely
PIECES = 18
PACE_S = 0.1  # all pieces take longer than a shutdown that is limited as a whole


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)
    monkeypatch.setattr(shutdown, "DRAIN_TIMEOUT_S", QUIET_TIMEOUT_S)
    yield


def head(number: int) -> bytes:
    return b"VA %d O%d h1\r\n" % (PIECES * PIECE, number)


async def begin_value(harness: RunningRouter, client: Peer, number: int) -> Peer:
    """Send a read and the first piece of its value; return the server's peer."""
    await client.send(read_command(number, timeout_ms=250.0))
    server = await harness.server.accept()
    await server.until(b"\r\n")
    await server.send(head(number) + b"x" * PIECE)
    return server


async def send_rest(server: Peer) -> None:
    for _ in range(PIECES - 1):
        await asyncio.sleep(PACE_S)
        await server.send(b"x" * PIECE)
    await server.send(b"\r\n")


def value(number: int) -> bytes:
    return b"VA %d O%d\r\n" % (PIECES * PIECE, number) + b"x" * (PIECES * PIECE) + b"\r\n"


@pytest.mark.parametrize("behind", [0, 2])
def test_a_value_that_its_server_gives_slowly_is_passed_on_whole_with_those_behind_it(
    tmp_path: Path, behind: int
) -> None:
    """Guards against a process that ends after SIGTERM while cache servers still give values."""

    async def scenario() -> None:
        async with running_router(tmp_path, settings__grades=GRADES) as harness:
            client = await harness.client()
            servers = [await begin_value(harness, client, number) for number in range(1 + behind)]
            await client.until(b"\r\n")
            harness.program.stop_requested.set()
            sending = asyncio.gather(*(send_rest(server) for server in servers))
            received = b"VA %d O0\r\n" % (PIECES * PIECE) + await client.read_to_eof()
            assert received == b"".join(value(number) for number in range(1 + behind))
            await sending

    asyncio.run(scenario())


def test_a_value_that_its_client_sends_slowly_is_received_and_answered(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path, settings__grades=GRADES) as harness:
            client = await harness.client()
            await client.send(b"ms k %d O1 Pc=once,d=250\r\n" % (PIECES * PIECE))
            harness.program.stop_requested.set()
            for _ in range(PIECES):
                await asyncio.sleep(PACE_S)
                await client.send(b"x" * PIECE)
            await client.send(b"\r\n")
            server = await harness.server.accept()
            await server.until(b"x\r\n")
            await server.send(b"HD O1 c5\r\n")
            assert await client.read_to_eof() == b"HD O1 c5\r\n"

    asyncio.run(scenario())


def test_what_a_slow_client_still_reads_is_not_lost_to_a_command_that_it_sends(tmp_path: Path) -> None:
    """Guards against a close while the system holds unread responses: it drops them when a command arrives."""

    async def scenario() -> None:
        async with running_router(tmp_path, settings__grades=GRADES) as harness:
            client = await connect(harness.port, buffer=65536)
            harness.clients.append(client)
            server = await begin_value(harness, client, 0)
            await server.send(b"x" * (PIECES - 1) * PIECE + b"\r\n")
            harness.program.stop_requested.set()
            received = b""
            while data := await client.receive():
                received += data
                await asyncio.sleep(PACE_S / 2)
                if len(received) < len(value(0)) / 2:
                    await client.send(b"mn\r\n")
            assert received.startswith(value(0))

    asyncio.run(scenario())


@pytest.mark.parametrize("is_pipelined", [False, True])
def test_a_server_that_stalls_in_a_value_does_not_hold_a_shutdown(tmp_path: Path, is_pipelined: bool) -> None:
    """The client sees the end of its connection before the end of the value; requests behind it are answered or end."""

    async def scenario() -> None:
        async with running_router(tmp_path, settings__grades=GRADES) as harness:
            client = await harness.client()
            await begin_value(harness, client, 0)
            if is_pipelined:
                await client.send(read_command(1, timeout_ms=250.0))
            harness.program.stop_requested.set()
            await until(lambda: not harness.program.actors.clients.connections)
            assert harness.counters["clients.stalled_at_shutdown"] == 1
            assert len(await client.read_to_eof()) < len(value(0))

    asyncio.run(scenario())


def test_a_client_that_always_sends_the_next_request_does_not_hold_a_shutdown(tmp_path: Path) -> None:
    """Every request that was read is answered; the connection ends although its client is never idle."""

    async def scenario() -> None:
        async with running_router(tmp_path, settings__grades=GRADES) as harness:
            client = await harness.client()
            await client.send(read_command(1) + read_command(2))
            answering = asyncio.create_task(answer_when_the_next_has_arrived(harness.server))
            harness.program.stop_requested.set()
            sent, received = 2, b""
            while data := await client.receive():
                received += data
                for _ in range(data.count(b"VA ")):
                    sent += 1
                    await client.send(read_command(sent))
            answering.cancel()
            await asyncio.gather(answering, return_exceptions=True)
            answers = received.count(b"VA ") + received.count(b"SERVER_ERROR")
            assert answers >= harness.counters["requests.received"] > 20

    asyncio.run(scenario())


async def answer_when_the_next_has_arrived(server: Listener) -> None:
    """Answer each read once the next one has arrived, so that one is always open."""
    reads: asyncio.Queue[tuple[Peer, int]] = asyncio.Queue()

    async def read_all(peer: Peer) -> None:
        while True:
            line = await peer.until(b"\r\n")
            reads.put_nowait((peer, int(line.split(b" O")[1].split()[0])))

    async def accept_all() -> None:
        while True:
            tasks.create_task(read_all(await server.accept()))

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(accept_all())
        peer, number = await reads.get()
        while True:
            following = await reads.get()
            await peer.send(value_answer(number))
            peer, number = following


class FakeConnection:
    """A connection on which nothing moves by itself."""

    def __init__(self, awaits_client: bool = False) -> None:
        self.moved = 0
        self.is_awaiting_client = awaits_client
        self.calls: list[str] = []

    def progress(self) -> Progress:
        return Progress(0, self.moved)

    def awaits_client(self) -> bool:
        return self.is_awaiting_client

    def fail_requests(self) -> None:
        self.calls.append("fail")

    def abort(self) -> None:
        self.calls.append("abort")


@pytest.mark.parametrize("awaits_client", [False, True])
def test_the_time_of_a_stall_starts_anew_with_each_byte_and_stands_still_with_the_process(awaits_client: bool) -> None:
    connection = FakeConnection(awaits_client)
    timeout = WRITE_STALL_TIMEOUT_MS if awaits_client else 500.0
    monitor, now = StallMonitor(500.0, 0.0), 0.0
    for _ in range(100):
        now += 1e6  # the process did not run
        connection.moved += 1
        monitor.check(now, [connection])
    for _ in range(math.ceil(timeout / MAX_COUNTED_INTERVAL_MS) - 1):
        now += 1e6
        monitor.check(now, [connection])
    assert not connection.calls
    failed_at = 0.0
    while "abort" not in connection.calls:
        now += 50.0
        monitor.check(now, [connection])
        failed_at = failed_at or (now if connection.calls else 0.0)
    assert connection.calls == ["fail", "abort"] and now - failed_at == (0.0 if awaits_client else FAIL_TIMEOUT_MS)


def test_requests_are_answered_before_the_process_may_be_killed_and_in_their_time_after_that() -> None:
    limits = DrainLimits(answer_deadline=100.0, kill_time=150.0)
    assert limits.time_to_answer(40.0) == 60.0 and limits.time_to_answer(149.0) == -49.0
    assert limits.time_to_answer(150.0) == float("inf")
