"""Misbehaving peers against a real router process with limited descriptors: no other peer is affected."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import psutil
import pytest

from .peers import (
    CLASSES,
    WAIT_TIMEOUT_S,
    WATCH_HEADERS,
    Listener,
    Peer,
    chunk,
    connect,
    entry,
    free_port,
    listing,
)

SOCKETS = 96
MAX_MEMORY_GROWTH_MB = 25.0  # allowed growth of a router's memory while it is flooded
FATAL_LOG_TEXTS = ("Traceback", "Too many open files", "actor-died", "module-error")


class LimitedRouter:
    """A router process in front of two cache servers; discovery is down until a test opens its port."""

    def __init__(self, folder: Path) -> None:
        """Write the configuration; the process is started by limited_router."""
        self.listen_port = free_port()
        self.management_port = free_port()
        self.discovery_port = free_port()
        self.servers = [Listener(), Listener()]
        self.entries = [entry(f"s-{n}", server.address) for n, server in enumerate(self.servers)]
        self.config_path = folder / "config.json"
        self.config_path.write_text(
            json.dumps(
                {
                    "name": "r",
                    "listen": f"127.0.0.1:{self.listen_port}",
                    "discovery": f"127.0.0.1:{self.discovery_port}",
                    "seed": "5",
                    "management": f"127.0.0.1:{self.management_port}",
                    "limits": {"cores": 1.0, "memory_mb": 80, "sockets": SOCKETS},
                    "known": {"index": 1, "snapshot": True, "endpoints": self.entries},
                    "settings": {
                        "discovery": "subscribe",
                        "zones": ["a"],
                        "kinds": ["k"],
                        "grades": CLASSES,
                        "permissions": {"tryLimit": 3, "cancel": True},
                        "rules": {"drainGraceMs": 100.0, "askWithinMs": 1.0},
                    },
                }
            )
        )
        self.process: asyncio.subprocess.Process
        self.log = ""
        self.evictions = 0  # number of times that the router closed the well-behaved client's idle connection

    def memory_mb(self) -> float:
        """Return the resident memory of the process, in MB."""
        return float(psutil.Process(self.process.pid).memory_info().rss) / (1 << 20)

    async def connect_and_send(self, text: bytes) -> Peer:
        """Connect and send some bytes; retry if the router had no free descriptor and closed the connection."""
        while True:
            try:
                peer = await connect(self.listen_port)
                await peer.send(text)
                if not text or await peer.until(b"\r\n"):
                    return peer
            except (OSError, AssertionError):
                await asyncio.sleep(0)


@asynccontextmanager
async def well_behaved_client(router: LimitedRouter) -> AsyncIterator[Callable[[], Awaitable[None]]]:
    """Yield a check that a well-behaved client is served and that the process has not grown.

    Its connection is idle between two checks. The router may then close it, as it may close any idle connection if
    descriptors run out, and the client reconnects. Each such close must be in the router's count of evictions.
    """
    client, memory_before = await router.connect_and_send(b"mn\r\n"), router.memory_mb()

    async def check_served() -> None:
        nonlocal client
        try:
            await client.send(b"mn\r\n")
            answer = await client.until(b"\r\n")
        except (ConnectionError, AssertionError):
            assert not client.unread, "closed in the middle of an answer"
            router.evictions += 1
            client.close()
            client = await router.connect_and_send(b"mn\r\n")
        else:
            assert answer == b"MN\r\n"
        assert router.memory_mb() - memory_before < MAX_MEMORY_GROWTH_MB

    yield check_served
    assert router.memory_mb() - memory_before < MAX_MEMORY_GROWTH_MB
    client.close()


@asynccontextmanager
async def limited_router(folder: Path) -> AsyncIterator[LimitedRouter]:
    """Run a router process; its log must have no exception, and its exit code must be 0."""
    router = LimitedRouter(folder)
    router.process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f"ulimit -n {SOCKETS}; exec {sys.executable} -m starlingthread",
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "LB_CONFIG": str(router.config_path), "TMPDIR": str(folder)},
    )
    try:
        async with asyncio.timeout(3 * WAIT_TIMEOUT_S):
            yield router
            router.process.terminate()
            _, log = await router.process.communicate()
            router.log = log.decode()
    finally:
        with contextlib.suppress(ProcessLookupError):
            router.process.kill()
        for listener in router.servers:
            listener.close()
    assert router.process.returncode == 0
    assert final_counter(router.log, "clients.evicted") >= router.evictions
    for text in FATAL_LOG_TEXTS:
        assert text not in router.log


def final_counter(log: str, name: str) -> int:
    """Return a counter from the line that the process logs when it ends; 0 if it is not there."""
    (line,) = (line for line in log.splitlines() if " counters " in line)
    return next((int(word.partition("=")[2]) for word in line.split() if word.startswith(f"{name}=")), 0)


def test_idle_clients_that_use_all_descriptors_while_discovery_is_down_block_no_one(tmp_path: Path) -> None:
    """Descriptors must remain for discovery, a cache server, management calls and for accepting connections."""

    async def scenario() -> str:
        async with limited_router(tmp_path) as router:
            idle = [await router.connect_and_send(b"mn\r\n" if n % 2 else b"") for n in range(3 * SOCKETS)]
            discovery = Listener(router.discovery_port)
            watch = await discovery.accept()
            await watch.until(b"\r\n\r\n")
            first, second = router.entries
            await watch.send(WATCH_HEADERS + chunk(listing(2, {**first, "status": "terminating"}, second) + b"\n"))
            idle += [await router.connect_and_send(b"mn\r\n" if n % 2 else b"") for n in range(SOCKETS)]
            client = await connect(router.listen_port)
            await client.send(b"mg k v O1 Pc=read,d=5000\r\n")
            server = await router.servers[1].accept()
            await server.until(b"\r\n")
            await server.send(b"VA 1 O1 h1\r\nx\r\n")
            assert await client.until(b"x\r\n") == b"VA 1 O1\r\nx\r\n"
            operator = await connect(router.management_port)
            await operator.send(b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b" 200 " in await operator.until(b"\r\n")
            for peer in (client, operator, *idle):
                peer.close()
            discovery.close()
        return router.log

    assert final_counter(asyncio.run(scenario()), "clients.evicted") > 3 * SOCKETS


FLOODS = {
    "commands": b"".join(b"mg k%d v O%d-%%d Pc=read,d=5000\r\n" % (n, n) for n in range(2000)),
    "garbage": bytes(range(256)) * 256,
    "half a value": b"ms k 3000000 O%d Pc=keyed,d=5000\r\n" + b"x" * 60000,
    "empty lines": b"\r\n" * 30000,
}


@pytest.mark.parametrize("flood", FLOODS)
def test_floods_from_clients_that_disconnect_at_once_affect_no_other_client(tmp_path: Path, flood: str) -> None:
    """Flooding clients leave no request open, whether they close or reset the connection."""

    async def scenario() -> str:
        async with limited_router(tmp_path) as router, well_behaved_client(router) as check_served:
            text = FLOODS[flood]
            for number in range(150):
                peer = await connect(router.listen_port)
                with contextlib.suppress(OSError):  # the router may close while it sends
                    await peer.send(text.replace(b"%d", b"%d" % number))
                peer.reset() if number % 2 else peer.close()
                if number % 10 == 0:
                    await check_served()
        return router.log

    log = asyncio.run(scenario())
    assert final_counter(log, "requests.open") == 0 and final_counter(log, "clients.accepted") > 150


ENDLESS_ANSWERS = {
    "a line without end": b"VA" + b"1" * 65536,
    "a value without end": b"VA 4000000 O%b\r\n" + b"x" * 65536,
    "garbage": b"\xff" * 65536,
    "answers to nothing": b"VA 1 O0\r\nx\r\n" * 4096,
}


@pytest.mark.parametrize("answer", ENDLESS_ANSWERS)
def test_endless_answers_fail_only_their_own_request(tmp_path: Path, answer: str) -> None:
    """The requests end in time, and other clients are served meanwhile."""

    async def scenario() -> None:
        async with limited_router(tmp_path) as router, well_behaved_client(router) as check_served:

            async def answer_endlessly(peer: Peer) -> None:
                with contextlib.suppress(OSError, AssertionError):
                    line = await peer.until(b"\r\n")
                    text = ENDLESS_ANSWERS[answer].replace(b"%b", line.split(b" O")[1].split()[0])
                    while True:
                        await peer.send(text)

            async def serve(listener: Listener) -> None:
                while True:
                    answering.append(asyncio.create_task(answer_endlessly(await listener.accept())))

            answering: list[asyncio.Task[None]] = []
            serving = [asyncio.create_task(serve(listener)) for listener in router.servers]
            for number in range(20):
                client = await connect(router.listen_port)
                await client.send(b"mg k v O%d Pc=read,d=300\r\n" % number)
                with contextlib.suppress(OSError, AssertionError):  # a truncated value ends with its connection
                    assert (await client.until(b"\r\n")).split()[0] in (b"SERVER_ERROR", b"VA")
                client.close()
                await check_served()
            for task in (*serving, *answering):
                task.cancel()
            await asyncio.gather(*serving, *answering, return_exceptions=True)

    asyncio.run(scenario())
