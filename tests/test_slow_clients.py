"""Clients that read their responses slowly, and such that stop, on real sockets with the buffers of the system."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from starlingthread.net.clients import ClientConnectionActor, limits

from .peers import Peer, RunningRouter, read_command, run_loop_turns, running_router, until

VALUE_BYTES = 4 << 20
SMALL_BUFFER_BYTES = 4096
ROUNDS = 12
ROUND_MS = 4000.0
SEND_BUFFER_BYTES = 1 << 18
SMALL_VALUE_BYTES = 8192


async def advance_time(harness: RunningRouter, duration_ms: float) -> None:
    """Advance the router's clock, and let it handle the deadlines that have expired."""
    harness.router.clock._base += duration_ms
    harness.router.mailbox.wake()
    await run_loop_turns()


async def begin_value(harness: RunningRouter) -> tuple[Peer, ClientConnectionActor, asyncio.Task[None]]:
    """Have a cache server send a large value to a client that does not read yet, and wait until the router waits."""
    client = await harness.client(buffer=SMALL_BUFFER_BYTES)
    actor = harness.actor_of(client)
    await client.send(read_command(1))
    server = await harness.server.accept()
    await server.until(b"\r\n")
    value = b"VA %d O1 h1\r\n" % VALUE_BYTES + b"v" * VALUE_BYTES + b"\r\n"
    sending = asyncio.create_task(server.send(value))
    await until(lambda: actor.writer.transport.get_write_buffer_size() > 0)
    await run_loop_turns()
    return client, actor, sending


async def read_slowly(harness: RunningRouter, client: Peer) -> int:
    """Read a little in each round, in far more time than a client has that reads nothing; return the bytes."""
    received = 0
    for _ in range(ROUNDS):
        received += len(await client.receive())
        await advance_time(harness, ROUND_MS)
    assert ROUNDS * ROUND_MS > 4 * limits.WRITE_STALL_TIMEOUT_MS
    return received


def test_a_value_is_not_cut_off_while_its_client_reads_it_slowly(tmp_path: Path) -> None:
    """Guards against a time-out for a client that reads, of which the transport alone does not tell."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client, actor, sending = await begin_value(harness)
            unsent_bytes = actor.writer.transport.get_write_buffer_size()
            received = await read_slowly(harness, client)
            # All that the client got was in the system's buffer, so the transport alone shows no progress.
            assert unsent_bytes == actor.writer.transport.get_write_buffer_size() > 0
            while received < VALUE_BYTES:
                received += len(await client.receive())
            await sending
            assert harness.counters["clients.write_stalled"] == 0

    asyncio.run(scenario())


def test_a_client_that_stops_in_the_middle_of_a_value_is_closed_in_bounded_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client, _, sending = await begin_value(harness)
            await read_slowly(harness, client)
            stopped_at = harness.router.clock.now()
            while harness.program.actors.clients.connections:
                await advance_time(harness, 100.0)
            closed_after_ms = harness.router.clock.now() - stopped_at
            longest_ms = limits.WRITE_STALL_TIMEOUT_MS + limits.WRITE_STALL_CHECK_INTERVAL_MS
            assert limits.WRITE_STALL_TIMEOUT_MS - ROUND_MS <= closed_after_ms <= longest_ms + 1000.0
            assert harness.counters["clients.write_stalled"] == 1
            await asyncio.gather(sending, return_exceptions=True)

    asyncio.run(scenario())


async def fill_system_buffer(harness: RunningRouter, client: Peer) -> int:
    """Have a client get small answers, which it does not read, until part of one is unsent; return their bytes."""
    actor = harness.actor_of(client)
    actor.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    answer_bytes = 0
    server: Peer | None = None
    while not actor.writer.transport.get_write_buffer_size():
        number = harness.counters["attempts.ok"] + 1
        await client.send(read_command(number))
        server = server or await harness.server.accept()
        await server.until(b"\r\n")
        await server.send(b"VA %d O%d\r\n" % (SMALL_VALUE_BYTES, number) + b"v" * SMALL_VALUE_BYTES + b"\r\n")
        await until(lambda number=number: harness.counters["attempts.ok"] == number)  # type: ignore[misc]
        await until(lambda: not actor.responses.slots)
        answer_bytes += len(b"VA %d O%d\r\n" % (SMALL_VALUE_BYTES, number)) + SMALL_VALUE_BYTES + 2
    return answer_bytes


def test_the_last_response_is_not_cut_off_while_its_client_reads_it_slowly(tmp_path: Path) -> None:
    """Guards against the same time-out at the close of a connection, whose last response is not sent yet."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client(buffer=SMALL_BUFFER_BYTES)
            actor = harness.actor_of(client)
            answer_bytes = await fill_system_buffer(harness, client)
            actor.close_when_idle()
            await run_loop_turns()
            received = await read_slowly(harness, client)
            assert actor.writer.transport.get_write_buffer_size()
            # Another client that needs the descriptor does not get it as long as something is unsent.
            harness.program.actors.clients.capacity.evict_one()
            await run_loop_turns()
            received += len(await client.read_to_eof())
            assert received == answer_bytes and harness.counters["clients.write_stalled"] == 0

    asyncio.run(scenario())
