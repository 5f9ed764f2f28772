"""Endpoint lists and watches over real sockets; a scripted discovery server forces each interleaving."""

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
from starlingthread.net.discovery import EndpointListError, JsonObjectSplitter
from starlingthread.net.discovery.call import LIST_TIMEOUT_MS

from .discovery_steps import accept_watch, open_watch, server_states, start_watch
from .peers import (
    chunk,
    listing,
    run_loop_turns,
    running_router,
    until,
)

# Pushed lists


def test_pushed_lists_are_watched_before_clients_are_accepted_without_the_modules_request(
    tmp_path: Path,
) -> None:
    """Guards against pushed lists without a watch: a server listed as draining from the start would be missed."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2, wait=False, settings__discovery="automatic") as harness:
            watch = await accept_watch(harness)
            assert not harness.program.is_serving
            first, second = harness.entries()
            await watch.send(chunk(listing(2, {**first, "status": "terminating"}, second) + b"\n"))
            await until(lambda: harness.program.is_serving)
            assert server_states(harness) == {"s-1": ServerState.DRAINING, "s-2": ServerState.READY}

    asyncio.run(scenario())


def test_a_pushed_watch_that_ends_is_reopened_within_the_drain_grace(tmp_path: Path) -> None:
    """The grace period of a drain elapses whether or not a watch is open, and a drain may begin as a watch ends."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2, wait=False, settings__discovery="automatic") as harness:
            watch = await accept_watch(harness)
            await watch.send(chunk(listing(2, *harness.entries()) + b"\n"))
            await until(lambda: harness.program.is_serving)
            backoffs: list[float] = []
            set_deadline: Callable[[float, Callable[[], None]], Deadline] = harness.router.deadlines.set

            def record_backoff(at: float, callback: Callable[[], None]) -> Deadline:
                if callback == harness.program.actors.discovery._retry_watch:
                    backoffs.append(at - harness.router.clock.now())
                return set_deadline(at, callback)

            harness.router.deadlines.set = record_backoff  # type: ignore[method-assign]
            watch.reset()
            reopened = await accept_watch(harness)
            first, _ = harness.entries()
            await reopened.send(chunk(listing(3, {**first, "status": "terminating"}, full=False) + b"\n"))
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            assert len(backoffs) == 1 and backoffs[0] < 50.0

    asyncio.run(scenario())


def test_a_process_whose_agent_is_silent_serves_from_the_cached_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Routers must start while discovery is down: 9 of 10 must be ready within 10 s."""
    monkeypatch.setattr("starlingthread.router_process.process.DISCOVERY_TIMEOUT_S", 0.01)

    async def scenario() -> None:
        async with running_router(tmp_path, settings__discovery="automatic") as harness:
            assert harness.program.control.ready()

    asyncio.run(scenario())


# Framing of lists


@pytest.mark.parametrize("indent", [None, 1, 4])
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b""])
def test_a_list_takes_effect_however_it_is_formatted_and_split(tmp_path: Path, indent: int | None, end: bytes) -> None:
    """A list may span many lines, and its last line may lack a line end."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2) as harness:
            start_watch(harness)
            watch = await accept_watch(harness)
            first, second = harness.entries()
            text = listing(2, {**first, "status": "terminating"}, second, indent=indent) + end
            for at in range(0, len(text), 7):
                await watch.send(chunk(text[at : at + 7]))
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            await watch.send(chunk(b"\n\n" + listing(3, first, full=False, indent=indent)))
            await until(lambda: server_states(harness)["s-1"] == ServerState.READY)
            assert harness.counters["discovery.failures"] == 0

    asyncio.run(scenario())


def test_complete_lists_before_a_reset_take_effect_and_a_partial_one_does_not(tmp_path: Path) -> None:
    """A connection reset in the middle of a list discards only that list."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2) as harness:
            start_watch(harness)
            watch = await harness.discovery.accept()
            await watch.until(b"\r\n\r\n")
            first, second = ({**server, "status": "terminating"} for server in harness.entries())
            await watch.send(b"HTTP/1.1 200 OK\r\n\r\n")  # without a length, so the body ends with the connection
            await watch.send(listing(2, first, full=False) + listing(3, second, full=False)[:-9])
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            watch.reset()
            await until(lambda: harness.counters["discovery.failures"] == 1)
            await run_loop_turns()
            assert server_states(harness)["s-2"] == ServerState.READY

    asyncio.run(scenario())


@pytest.mark.parametrize("invalid", [b'{"index": "\n', b"nonsense\n", b'{"index": 1}}', b"[1]\n", b'"a"\n', b"{]}"])
def test_an_invalid_list_ends_the_call_and_those_before_it_take_effect(tmp_path: Path, invalid: bytes) -> None:
    """Guards against waiting for the end of an object that never ends while later changes are queued behind it."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2) as harness:
            start_watch(harness)
            watch = await accept_watch(harness)
            first, _ = harness.entries()
            valid = listing(2, {**first, "status": "terminating"}, full=False) + b"\n"
            await watch.send(chunk(valid + invalid))
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            await until(lambda: harness.counters["discovery.failures"] == 1)

    asyncio.run(scenario())


def test_a_list_that_arrives_too_slowly_is_abandoned(tmp_path: Path) -> None:
    """Bytes keep arriving, so the idle timeout never ends the call."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            start_watch(harness)
            watch = await accept_watch(harness)
            await watch.send(chunk(b'{"index": 1,'))
            await run_loop_turns()
            harness.router.clock._base += LIST_TIMEOUT_MS / 2  # shorter than the idle timeout
            await watch.send(chunk(b" "))
            await run_loop_turns()
            harness.router.clock._base += LIST_TIMEOUT_MS / 2 + 1.0
            await watch.send(chunk(b" "))
            await until(lambda: harness.counters["discovery.failures"] == 1)

    asyncio.run(scenario())


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
def test_split_objects_are_restored_whatever_the_chunk_boundaries(
    documents: list[tuple[dict[str, object], int | None, bytes]], size: int
) -> None:
    text = b"".join(json.dumps(document, indent=indent).encode() + end for document, indent, end in documents)
    splitter = JsonObjectSplitter()
    chunks = (text[start : start + size] for start in range(0, len(text), size))
    parsed = [json.loads(raw) for received in chunks for raw in splitter.feed(received)]
    assert parsed == [document for document, _, _ in documents]
    assert not splitter.has_partial_object() and not len(splitter)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(st.binary(max_size=12) | st.sampled_from([b"{", b"}", b'"', b"\\", b"\n", b'{"a":1}']), max_size=12))
def test_no_bytes_raise_anything_but_a_list_error(parts: list[bytes]) -> None:
    """The splitter also never buffers more bytes than it received."""
    splitter = JsonObjectSplitter()
    try:
        for part in parts:
            list(splitter.feed(part))
    except EndpointListError:
        return
    assert len(splitter) <= len(b"".join(parts))


# Idle timeout of a watch


def test_a_silent_watch_is_reopened_within_the_time_left(tmp_path: Path) -> None:
    """The router must receive a change that a silent watch missed within 6 s of the last byte."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            _watch = await open_watch(harness)
            await until(lambda: harness.counters["discovery.watches"] == 1)
            await run_loop_turns()
            harness.router.clock._base += 2400.0  # a heartbeat is due every 2 s
            harness.router.mailbox.wake()
            await run_loop_turns()
            assert harness.counters["discovery.failures"] == 0
            for _ in range(200):  # in small steps, as a timeout that is handled late is not a failure
                harness.router.clock._base += 1.0
                harness.router.mailbox.wake()
                await run_loop_turns(3)
            assert harness.counters["discovery.failures"] == 1

    asyncio.run(scenario())


def test_a_silence_that_is_checked_too_late_is_no_failure(tmp_path: Path) -> None:
    """After a pause of the process, unread data must be read before the idle timeout ends the watch."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2) as harness:
            watch = await open_watch(harness)
            await run_loop_turns()
            first, _ = harness.entries()
            harness.router.clock._base += 5000.0
            await watch.send(chunk(listing(2, {**first, "status": "terminating"}, full=False)))
            harness.router.deadlines.sweep(harness.router.clock.now())
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            assert harness.counters["discovery.failures"] == 0

    asyncio.run(scenario())


def test_an_open_watch_is_not_opened_again(tmp_path: Path) -> None:
    """The decision module may request a watch again after an older call has failed."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2) as harness:
            start_watch(harness)
            watch = await accept_watch(harness)
            start_watch(harness)
            await run_loop_turns()
            first, _ = harness.entries()
            await watch.send(chunk(listing(2, {**first, "status": "terminating"}, full=False)))
            await until(lambda: server_states(harness)["s-1"] == ServerState.DRAINING)
            assert harness.counters["discovery.watches"] == 1

    asyncio.run(scenario())
