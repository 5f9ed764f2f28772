"""Requests that were received before a reload and are handled after it keep their class, wherever they waited."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from starlingthread.net.clients.class_history import ClassHistory
from starlingthread.net.clients.limits import MAX_PIPELINED_COMMANDS
from starlingthread.settings import Idempotency, RequestClass

from .peers import CLASSES, Listener, Peer, RunningRouter, connect, running_router, until, value_answer

READ, _, ONCE = CLASSES
OTHER = {**READ, "name": "other"}
UNKNOWN = b"CLIENT_ERROR unknown class\r\n"


def read(number: int, name: str = "read") -> bytes:
    return b"mg k%d v O%d Pc=%b,d=8000\r\n" % (number, number, name.encode())


def value(number: int) -> bytes:
    return b"VA 1 O%d\r\nx\r\n" % number


async def serve(server: Listener) -> None:
    """Answer every command on every connection."""

    async def serve_one(peer: Peer) -> None:
        while True:
            line = await peer.until(b"\r\n")
            await peer.send(value_answer(int(line.split(b" O")[1].split()[0])))

    async with asyncio.TaskGroup() as tasks:
        while True:
            tasks.create_task(serve_one(await server.accept()))


async def until_closed(serving: asyncio.Task[None]) -> None:
    serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)


def is_read_ahead(harness: RunningRouter, client: Peer, size: int) -> Callable[[], bool]:
    reader = harness.actor_of(client)._command_reader
    return lambda: reader.ahead_bytes + reader.stream_bytes == size


@pytest.mark.parametrize("place", ["the parser", "the system", "the accept queue"])
@pytest.mark.parametrize(
    "reloads", [[[READ]], [[READ], [READ, OTHER]], [[READ], [ONCE], [READ, {**OTHER, "effect": "once"}]]]
)
def test_requests_received_before_reloads_that_remove_their_class_are_served(
    tmp_path: Path, place: str, reloads: list[list[dict[str, Any]]]
) -> None:
    """Guards against requests that a reload turns into malformed ones, eight of which end their connection."""

    async def scenario() -> None:
        async with running_router(tmp_path, settings__grades=[READ, OTHER]) as harness:
            client = await connect(harness.port) if place == "the accept queue" else await harness.client()
            harness.clients.append(client)
            names = ["read"] * MAX_PIPELINED_COMMANDS + ["other"] * 12 + ["read"]
            data = b"".join(read(number, name) for number, name in enumerate(names))
            client.socket.send(data)  # the router cannot read it before this coroutine waits
            if place == "the parser":
                await until(is_read_ahead(harness, client, len(data)))
            for classes in reloads:
                harness.reload(classes)
            serving = asyncio.create_task(serve(harness.server))
            for number in range(len(names)):
                assert await client.until(b"x\r\n") == value(number)
            assert harness.counters["clients.malformed"] == harness.counters["module.errors"] == 0
            await until_closed(serving)

    asyncio.run(scenario())


def test_requests_sent_after_a_reload_have_the_new_classes(tmp_path: Path) -> None:
    """Bad input still gets its error, also behind requests that keep their class; eight errors end the connection."""

    async def scenario() -> None:
        async with running_router(tmp_path, settings__grades=[READ, OTHER]) as harness:
            client = await harness.client()
            client.socket.send(read(0, "other"))
            harness.reload([READ])
            client.socket.send(b"".join(read(number, "other") for number in range(1, 10)))
            serving = asyncio.create_task(serve(harness.server))
            assert await client.read_to_eof() == value(0) + UNKNOWN * 8
            await until_closed(serving)

    asyncio.run(scenario())


@pytest.mark.parametrize("is_received", [True, False])
def test_a_removed_class_is_kept_for_a_large_value_that_was_received_completely(
    tmp_path: Path, is_received: bool
) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path, settings__grades=[READ, ONCE]) as harness:
            client = await harness.client()
            await client.send(b"ms k 70000 O1 Pc=once,d=8000\r\n")
            actor = harness.actor_of(client)
            await until(lambda: actor.requests.unsubmitted is not None)
            end = b"x" * 35000 + b"\r\n"
            client.socket.send(b"x" * 35000 + (end if is_received else b""))
            harness.reload([READ])
            if not is_received:
                client.socket.send(end)
                assert await client.until(b"\r\n") == b"SERVER_ERROR failed\r\n"
                return
            server = await harness.server.accept()
            await server.until(end)
            await server.send(b"HD O1 c5\r\n")
            assert await client.until(b"\r\n") == b"HD O1 c5\r\n"

    asyncio.run(scenario())


@pytest.mark.parametrize(("before", "after"), [("repeatable", "once"), ("once", "repeatable")])
def test_a_waiting_request_is_retried_as_its_class_was_when_it_was_received(
    tmp_path: Path, before: str, after: str
) -> None:
    """Guards against a second run of a request whose class a reload made repeatable while the request waited."""

    async def scenario() -> None:
        async with running_router(tmp_path, settings__grades=[{**READ, "effect": before}]) as harness:
            client = await harness.client()
            client.socket.send(read(1))
            harness.reload([{**READ, "effect": after}])
            server = await harness.server.accept()
            await server.until(b"\r\n")
            server.reset()
            if before == "once":
                assert await client.until(b"\r\n") == b"SERVER_ERROR failed\r\n"
                assert harness.counters["attempts.started"] == 1
            else:
                retry = await harness.server.accept()
                await retry.until(b"\r\n")

    asyncio.run(scenario())


def test_of_classes_that_may_both_apply_the_stricter_one_does() -> None:
    """Behind a shut receive window a request may have been sent before the reload or after it."""
    lax = RequestClass("c", Idempotency.IDEMPOTENT, 1.0, 9.0)
    strict, removed = lax._replace(idempotency=Idempotency.NOT_IDEMPOTENT), lax._replace(name="removed")
    for before, after in ((lax, strict), (strict, lax)):
        history = ClassHistory()
        history.add({"c": before, "removed": removed}, 100, 300)
        assert history.find("c", 100, {"c": after}) == before
        assert history.find("c", 101, {"c": after}) == strict
        assert history.find("removed", 300, {"c": after}) == removed
        assert history.find("removed", 301, {"c": after}) is None and history.is_empty
    history = ClassHistory()
    history.add({"c": lax}, 100, 300)
    history.add({}, 200, 200)  # the window is open by now, so that nothing sent before either reload is still missing
    assert history.find("c", 150, {"c": strict}) == lax
    assert history.find("c", 201, {"c": strict}) == strict
