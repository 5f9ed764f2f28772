"""Lists and watches on real sockets, each crossing forced by a scripted discovery."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.core.deadlines import Deadline
from starlingthread.events import ServerState
from starlingthread.net.discovery import LIST_PATH, EndpointListError, JsonObjectSplitter
from starlingthread.net.discovery.call import LIST_TIMEOUT_MS

from .peers import WATCHED, Peer, RouterHarness, chunk, entry, listing, running_router, step, until


def server_states(harness: RouterHarness) -> dict[str, ServerState]:
    """Return the state that the router has for each server, by name."""
    known = {harness.program.actors.discovery.parser.ids.assign(e["name"]): e["name"] for e in harness.entries()}
    return {known[n]: s.endpoint.state for n, s in harness.router.balancer.fleet.servers.items() if n in known}


async def accept_watch(harness: RouterHarness) -> Peer:
    """Accept a watch and answer its head."""
    peer = await harness.discovery.accept()
    assert (await peer.until(b"\r\n\r\n")).startswith(f"GET {LIST_PATH}?watch=1".encode())
    await peer.send(WATCHED)
    return peer


def start_watch(harness: RouterHarness) -> None:
    """Have the router watch for changes at once, not at its random moment."""
    harness.program.actors.discovery.watch(True)


async def open_watch(harness: RouterHarness) -> Peer:
    """Have the router watch, accept the call and send a heartbeat on it."""
    start_watch(harness)
    watch = await accept_watch(harness)
    await watch.send(chunk(b"\n"))
    return watch


# pushed lists


def test_a_pushed_list_is_watched_without_the_modules_asking_and_before_clients_come(tmp_path: Path) -> None:
    """Guards the drain: what the agent has counts as notified from the first moment, and nobody ever watched."""

    async def play() -> None:
        async with running_router(tmp_path, 2, wait=False, settings__discovery="automatic") as harness:
            watch = await accept_watch(harness)
            assert not harness.program.is_serving
            one, two = harness.entries()
            await watch.send(chunk(listing(2, {**one, "status": "terminating"}, two) + b"\n"))
            await until(lambda: harness.program.is_serving)
            assert server_states(harness) == {"s-1": ServerState.DRAINING, "s-2": ServerState.READY}

    asyncio.run(play())


def test_a_pushed_watch_that_ends_is_opened_anew_within_the_grace_of_a_drain(tmp_path: Path) -> None:
    """What the agent has counts as notified, whether or not a watch is open: a drain may begin just as one ends."""

    async def play() -> None:
        async with running_router(tmp_path, 2, wait=False, settings__discovery="automatic") as harness:
            watch = await accept_watch(harness)
            await watch.send(chunk(listing(2, *harness.entries()) + b"\n"))
            await until(lambda: harness.program.is_serving)
            pauses: list[float] = []
            later: Callable[[float, Callable[[], None]], Deadline] = harness.router.deadlines.set

            def note(at: float, callback: Callable[[], None]) -> Deadline:
                if callback == harness.program.actors.discovery._retry_watch:
                    pauses.append(at - harness.router.clock.now())
                return later(at, callback)

            harness.router.deadlines.set = note  # type: ignore[method-assign]
            watch.reset()
            again = await accept_watch(harness)
            one, _ = harness.entries()
            await again.send(chunk(listing(3, {**one, "status": "terminating"}, full=False) + b"\n"))
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            assert len(pauses) == 1 and pauses[0] < 50.0

    asyncio.run(play())


def test_a_process_whose_agent_is_silent_serves_from_the_list_last_known(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the start while discovery is down: nine in ten must be ready within 10 s."""
    monkeypatch.setattr("starlingthread.router_process.process.DISCOVERY_TIMEOUT_S", 0.01)

    async def play() -> None:
        async with running_router(tmp_path, settings__discovery="automatic") as harness:
            assert harness.program.control.ready()

    asyncio.run(play())


# how a list is written


@pytest.mark.parametrize("indent", [None, 1, 4])
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b""])
def test_a_list_counts_however_it_is_written_and_cut(tmp_path: Path, indent: int | None, end: bytes) -> None:
    """It may come on many lines, and nothing says that the last one ends."""

    async def play() -> None:
        async with running_router(tmp_path, 2) as harness:
            start_watch(harness)
            watch = await accept_watch(harness)
            one, two = harness.entries()
            text = listing(2, {**one, "status": "terminating"}, two, indent=indent) + end
            for at in range(0, len(text), 7):
                await watch.send(chunk(text[at : at + 7]))
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            await watch.send(chunk(b"\n\n" + listing(3, one, full=False, indent=indent)))
            await until(lambda: server_states(harness)["s-1"] == ServerState.READY)
            assert harness.counters["discovery.failures"] == 0

    asyncio.run(play())


def test_changes_before_a_reset_count_and_a_half_list_does_not(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path, 2) as harness:
            start_watch(harness)
            watch = await harness.discovery.accept()
            await watch.until(b"\r\n\r\n")
            one, two = ({**e, "status": "terminating"} for e in harness.entries())
            await watch.send(b"HTTP/1.1 200 OK\r\n\r\n")  # no length: it ends with the connection
            await watch.send(listing(2, one, full=False) + listing(3, two, full=False)[:-9])
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            watch.reset()
            await until(lambda: harness.counters["discovery.failures"] == 1)
            await step()
            assert server_states(harness)["s-2"] == ServerState.READY

    asyncio.run(play())


@pytest.mark.parametrize("spoilt", [b'{"index": "\n', b"nonsense\n", b'{"index": 1}}', b"[1]\n", b'"a"\n', b"{]}"])
def test_a_list_that_is_spoilt_ends_the_call_and_what_came_before_it_counts(tmp_path: Path, spoilt: bytes) -> None:
    """Guards against waiting for the end of what never ends, with changes lying behind it."""

    async def play() -> None:
        async with running_router(tmp_path, 2) as harness:
            start_watch(harness)
            watch = await accept_watch(harness)
            one, _ = harness.entries()
            good = listing(2, {**one, "status": "terminating"}, full=False) + b"\n"
            await watch.send(chunk(good + spoilt))
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            await until(lambda: harness.counters["discovery.failures"] == 1)

    asyncio.run(play())


def test_a_list_that_drips_is_given_up(tmp_path: Path) -> None:
    """It says something all the time, so the clock for silence never ends it."""

    async def play() -> None:
        async with running_router(tmp_path) as harness:
            start_watch(harness)
            watch = await accept_watch(harness)
            await watch.send(chunk(b'{"index": 1,'))
            await step()
            harness.router.clock._base += LIST_TIMEOUT_MS / 2  # no silence is that long
            await watch.send(chunk(b" "))
            await step()
            harness.router.clock._base += LIST_TIMEOUT_MS / 2 + 1.0
            await watch.send(chunk(b" "))
            await until(lambda: harness.counters["discovery.failures"] == 1)

    asyncio.run(play())


TEXT = st.text(st.characters(codec="utf-8"), max_size=6)
VALUES = st.recursive(
    TEXT | st.integers() | st.none(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=8,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(
        st.tuples(
            st.dictionaries(TEXT, VALUES, max_size=3),
            st.sampled_from([None, 0, 2]),
            st.sampled_from([b"", b"\n", b"\r\n \n"]),
        ),
        max_size=4,
    ),
    st.integers(1, 40),
)
def test_objects_come_out_as_they_went_in_whatever_the_cuts(
    written: list[tuple[dict[str, object], int | None, bytes]], size: int
) -> None:
    text = b"".join(json.dumps(o, indent=indent).encode() + end for o, indent, end in written)
    objects = JsonObjectSplitter()
    found = [json.loads(o) for at in range(0, len(text), size) for o in objects.feed(text[at : at + size])]
    assert found == [o for o, _, _ in written] and not objects.has_partial_object() and not len(objects)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(st.binary(max_size=12) | st.sampled_from([b"{", b"}", b'"', b"\\", b"\n", b'{"a":1}']), max_size=12))
def test_no_bytes_raise_anything_but_a_list_error(parts: list[bytes]) -> None:
    objects = JsonObjectSplitter()
    try:
        for part in parts:
            list(objects.feed(part))
    except EndpointListError:
        return
    assert len(objects) <= len(b"".join(parts))


# silence


def test_a_watch_that_falls_silent_is_opened_anew_within_the_time_that_is_left(tmp_path: Path) -> None:
    """What it misses counts as notified 6 s after it fell silent."""

    async def play() -> None:
        async with running_router(tmp_path) as harness:
            _watch = await open_watch(harness)
            await until(lambda: harness.counters["discovery.watches"] == 1)
            await step()
            harness.router.clock._base += 2400.0  # it says something every 2 s
            harness.router.mailbox.wake()
            await step()
            assert harness.counters["discovery.failures"] == 0
            for _ in range(200):  # in small steps, as a look that is late by itself does not count
                harness.router.clock._base += 1.0
                harness.router.mailbox.wake()
                await step(3)
            assert harness.counters["discovery.failures"] == 1

    asyncio.run(play())


def test_a_silence_that_we_look_at_too_late_is_none(tmp_path: Path) -> None:
    """After we stood still what came meanwhile lies unread: it is read before the watch is given up."""

    async def play() -> None:
        async with running_router(tmp_path, 2) as harness:
            watch = await open_watch(harness)
            await step()
            one, _ = harness.entries()
            harness.router.clock._base += 5000.0
            await watch.send(chunk(listing(2, {**one, "status": "terminating"}, full=False)))
            harness.router.deadlines.sweep(harness.router.clock.now())
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            assert harness.counters["discovery.failures"] == 0

    asyncio.run(play())


def test_a_watch_that_is_open_is_not_opened_again(tmp_path: Path) -> None:
    """A failure of an older call may have the module ask once more, and a new call waits in turn anew."""

    async def play() -> None:
        async with running_router(tmp_path, 2) as harness:
            start_watch(harness)
            watch = await accept_watch(harness)
            start_watch(harness)
            await step()
            one, _ = harness.entries()
            await watch.send(chunk(listing(2, {**one, "status": "terminating"}, full=False)))
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            assert harness.counters["discovery.watches"] == 1

    asyncio.run(play())


def test_bytes_of_an_old_watch_after_a_move_are_not_taken(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path, 2) as harness:
            old = await open_watch(harness)
            await step()
            await old.send(chunk(listing(9, entry("s-1", "127.0.0.1:1", "terminating"), full=False)))
            # Before the loop has read that.
            harness.program.actors.discovery.set_address(("127.0.0.1", harness.discovery.port))
            new = await accept_watch(harness)
            await new.send(chunk(listing(2, *harness.entries())))
            await until(lambda: harness.counters["discovery.lists"] >= 1)
            await step()
            assert server_states(harness)["s-1"] == ServerState.READY and harness.program.actors.discovery.version == 2
            assert harness.counters["discovery.failures"] == 0

    asyncio.run(play())
