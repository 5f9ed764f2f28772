"""Reloads and changes of the address of discovery while calls are open; a scripted server forces each interleaving."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

import pytest

from starlingthread.events import ServerState

from .discovery_steps import accept_watch, move_discovery, open_watch, server_states, start_watch
from .peers import (
    CLASSES,
    WATCH_HEADERS,
    Peer,
    RunningRouter,
    chunk,
    entry,
    listing,
    run_loop_turns,
    running_router,
    until,
)


async def until_ended(peer: Peer) -> None:
    """Wait until the router has closed a connection, with a reset if it had unread bytes."""
    with contextlib.suppress(ConnectionResetError):
        assert await peer.read_to_eof() == b""


def test_bytes_of_the_old_watch_are_ignored_once_the_new_address_has_answered(tmp_path: Path) -> None:
    """Some bytes are in the socket's buffer when the address changes, and others when the new address answers."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2) as harness:
            old = await open_watch(harness)
            await run_loop_turns()
            draining = entry("s-1", "127.0.0.1:1", "terminating")
            await old.send(chunk(listing(9, draining, full=False)))
            # The event loop has not read these bytes yet.
            move_discovery(harness)
            new = await accept_watch(harness)
            await new.send(chunk(listing(2, *harness.entries())))
            await until(lambda: harness.program.actors.discovery.version == 2)
            old.socket.send(chunk(listing(10, draining, full=False)))
            await until_ended(old)
            assert server_states(harness)["s-1"] == ServerState.READY and harness.program.actors.discovery.version == 2
            assert harness.counters["discovery.failures"] == 0

    asyncio.run(scenario())


# Reloads


def reload(harness: RunningRouter) -> None:
    """Make the router reload a configuration in which nothing changes for discovery."""
    harness.raw["settings"]["permissions"]["tryLimit"] = 7 - harness.raw["settings"]["permissions"]["tryLimit"]
    harness.reload(CLASSES)


@pytest.mark.parametrize("change", [reload, move_discovery])
@pytest.mark.parametrize("is_open", [False, True])
def test_changes_in_quick_succession_cancel_no_call_before_a_later_one_has_answered(
    tmp_path: Path, change: Callable[[RunningRouter], None], is_open: bool
) -> None:
    """Guards against a drain that is not learned while reloads come faster than discovery answers."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2) as harness:
            start_watch(harness)
            first = await accept_watch(harness)
            if is_open:
                await first.send(chunk(b"\n"))
            for _ in range(3):
                change(harness)
                await run_loop_turns()
            draining = {**harness.entries()[0], "status": "terminating"}
            await first.send(chunk(listing(2, draining, full=False)))
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            assert harness.counters["discovery.failures"] == 0
            assert harness.counters["discovery.watches"] == (1 if change is reload else 4)

    asyncio.run(scenario())


def test_a_new_address_is_called_again_though_the_old_one_still_sends_lists(tmp_path: Path) -> None:
    """A list of the old address must not end the attempts to reach the new one."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2) as harness:
            old = await open_watch(harness)
            move_discovery(harness)
            (await accept_watch(harness)).reset()
            await until(lambda: harness.counters["discovery.failures"] == 1)
            await old.send(chunk(listing(2, harness.entries()[0], full=False)))
            await until(lambda: harness.counters["discovery.lists"] == 1)
            await accept_watch(harness)

    asyncio.run(scenario())


def test_changed_names_of_zones_fetch_the_whole_list_again_and_only_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path, 2) as harness:
            old = await open_watch(harness)
            for zones in (["b", "a"], ["b", "a"]):
                harness.raw["settings"]["zones"] = zones
                harness.reload(CLASSES)
                await run_loop_turns()
            new = await harness.discovery.accept()
            assert b"after=0 " in await new.until(b"\r\n\r\n")
            await new.send(WATCH_HEADERS + chunk(listing(2, *harness.entries())))
            await until_ended(old)
            new.reset()
            start_watch(harness)
            assert b"after=2 " in await (await harness.discovery.accept()).until(b"\r\n\r\n")
            assert harness.counters["discovery.watches"] == 3

    asyncio.run(scenario())
