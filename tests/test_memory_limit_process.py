"""The memory of a real router process whose clients make it hold as much as they can."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from starlingthread.core.messages import Rejected
from starlingthread.net import meta
from starlingthread.net.clients.limits import REQUEST_OVERHEAD_BYTES
from starlingthread.net.meta import CommandParser
from starlingthread.net.upstreams import messages
from starlingthread.net.upstreams.connection import PendingHealthCheck

from .fakes import ClientHarness, ServerActorHarness, run_client_script
from .memory_plays import KINDS, play

CLIENTS = 420
MEMORY_LIMIT_MB = 96
WRITE = b"ms a 4000 O1 Pc=keyed,d=500,k=7\r\n"
VALUE = b"v" * 4000


@pytest.mark.parametrize("kind", KINDS)
def test_a_crowd_of_clients_does_not_take_a_router_over_its_memory_limit(tmp_path: Path, kind: str) -> None:
    """Guards against memory that is not counted, above all for heads of many short fields."""
    memory_play = asyncio.run(play(tmp_path, kind, CLIENTS, MEMORY_LIMIT_MB))
    print(f"{kind}: peak {memory_play.peak_mb:.0f} MB of {MEMORY_LIMIT_MB}")
    assert memory_play.peak_mb <= MEMORY_LIMIT_MB


def test_only_the_fields_that_are_used_are_kept() -> None:
    """Guards against a head of 2 KB that takes 40 KB, as each of its fields is kept."""
    text = b"mg a v O1 Pa=1,c=read,d=500,%b,h=7,size=,r=1,cc=9,k\r\n" % b",".join(b"%x=" % n for n in range(16, 300))
    (command,) = CommandParser().feed(text)
    assert isinstance(command, meta.Command)
    assert command.fields == {"c": "read", "h": "7", "size": "", "r": "1", "k": ""}


def test_a_value_is_discarded_and_its_write_rejected_while_memory_is_full() -> None:
    """Guards against values that arrive slowly, which were not counted before they were complete."""

    async def script(harness: ClientHarness) -> None:
        buffers = harness.listener.buffers
        harness.reader.feed_data(WRITE + VALUE[:1000])
        assert await harness.settle() == []
        assert len(WRITE) + len(VALUE) >= buffers.used >= len(VALUE)
        buffers.limit = 0
        harness.reader.feed_data(VALUE[1000:2000])
        assert await harness.settle() == [] and buffers.used == 0
        harness.reader.feed_data(VALUE[2000:] + b"\r\nmn\r\n")
        assert await harness.settle() == []

    sent = run_client_script(script)
    assert sent == meta.busy_line(Rejected().retry_after) + meta.READY_LINE


def test_a_request_counts_with_its_head_and_its_records() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(WRITE + VALUE + b"\r\n")
        (submitted,) = await harness.settle()
        assert harness.listener.buffers.used == REQUEST_OVERHEAD_BYTES + len(WRITE) + len(VALUE)
        harness.actor.requests.answer(submitted.request, Rejected())
        await harness.settle()

    run_client_script(script)


def test_what_is_held_for_a_server_counts_until_the_exchange_ends() -> None:
    """Guards against commands that a hanging server does not read and answers that it does not finish."""
    harness = ServerActorHarness()
    buffers = harness.fleet.context.buffers
    attempt = harness.attempt()
    harness.writer.transport.unsent = 300
    harness.deliver(messages.StartExchange(attempt))
    assert buffers.used == 300
    harness.receive(b"VA 9000 O1 h1\r\n" + b"v" * 100)
    assert buffers.used == 300 + 9000
    harness.receive(b"v" * 8900 + b"\r\n")
    assert buffers.used == 0


def test_a_health_check_keeps_only_the_fields_of_the_settings() -> None:
    """Guards against a server that reports ever new names and never ends its report."""
    harness = ServerActorHarness()
    check = PendingHealthCheck(harness.router_harness.clock.now())
    harness.writer.write = harness.writer.transport.sent.extend  # type: ignore[attr-defined]
    harness.deliver(messages.StartExchange(check))
    harness.receive(b"".join(b"STAT name%d 1\r\n" % number for number in range(500)) + b"STAT util 0.5\r\n")
    assert check.load == {"util": 0.5}
