"""Peers that do harm, against a process of its own under a limit of the system's: nobody else is the worse for it."""

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

from .peers import CLASSES, LIMIT, WATCHED, Listener, Peer, chunk, connect, entry, free_port, listing

SOCKETS = 96
GROWTH = 25.0  # MB that a router may grow by while it is flooded


class Guarded:
    """A router's process between two cache servers; discovery is down until a test opens it."""

    def __init__(self, folder: Path) -> None:
        self.listen, self.calls, self.discovery = free_port(), free_port(), free_port()
        self.servers = [Listener(), Listener()]
        self.entries = [entry(f"s-{n}", server.address) for n, server in enumerate(self.servers)]
        self.path = folder / "config.json"
        self.path.write_text(
            json.dumps(
                {
                    "name": "r",
                    "listen": f"127.0.0.1:{self.listen}",
                    "discovery": f"127.0.0.1:{self.discovery}",
                    "seed": "5",
                    "management": f"127.0.0.1:{self.calls}",
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
        self.evictions = 0  # times that the router closed the good client's idle connection

    def memory(self) -> float:
        """Return what the process holds, in MB."""
        return float(psutil.Process(self.process.pid).memory_info().rss) / (1 << 20)

    async def say(self, text: bytes) -> Peer:
        """Connect and send something, again if there was no place."""
        while True:
            try:
                peer = await connect(self.listen)
                await peer.send(text)
                if not text or await peer.until(b"\r\n"):
                    return peer
            except (OSError, AssertionError):
                await asyncio.sleep(0)


@asynccontextmanager
async def bystander(now: Guarded) -> AsyncIterator[Callable[[], Awaitable[None]]]:
    """A good client, to be seen to now and then; meanwhile the process must not grow.

    Its connection rests in between. The router may close it then, for want of descriptors, as it may close any that
    is owed nothing: the client connects once more. Each such close has to stand in the router's count of evictions.
    """
    good, before = await now.say(b"mn\r\n"), now.memory()

    async def served() -> None:
        nonlocal good
        try:
            await good.send(b"mn\r\n")
            answer = await good.until(b"\r\n")
        except (ConnectionError, AssertionError):
            assert not good.unread, "closed in the middle of an answer"
            now.evictions += 1
            good.close()
            good = await now.say(b"mn\r\n")
        else:
            assert answer == b"MN\r\n"
        assert now.memory() - before < GROWTH

    yield served
    assert now.memory() - before < GROWTH
    good.close()


@asynccontextmanager
async def guarded(folder: Path) -> AsyncIterator[Guarded]:
    """Run it; its log must hold no exception, and it must end well."""
    now = Guarded(folder)
    now.process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f"ulimit -n {SOCKETS}; exec {sys.executable} -m starlingthread",
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "LB_CONFIG": str(now.path), "TMPDIR": str(folder)},
    )
    try:
        async with asyncio.timeout(3 * LIMIT):
            yield now
            now.process.terminate()
            _, log = await now.process.communicate()
            now.log = log.decode()
    finally:
        with contextlib.suppress(ProcessLookupError):
            now.process.kill()
        for listener in now.servers:
            listener.close()
    assert now.process.returncode == 0
    assert counted(now.log, "clients.evicted") >= now.evictions
    for bad in ("Traceback", "Too many open files", "actor-died", "module-error"):
        assert bad not in now.log


def counted(log: str, name: str) -> int:
    """Return a counter as the process told it at its end."""
    (line,) = (line for line in log.splitlines() if " counters " in line)
    return next((int(word.partition("=")[2]) for word in line.split() if word.startswith(f"{name}=")), 0)


def test_idle_clients_that_fill_all_places_while_discovery_is_down_keep_nobody_out(tmp_path: Path) -> None:
    """One must be left for discovery, for a cache server, for operators' calls, and for accepting itself."""

    async def play() -> str:
        async with guarded(tmp_path) as now:
            idle = [await now.say(b"mn\r\n" if n % 2 else b"") for n in range(3 * SOCKETS)]
            discovery = Listener(now.discovery)
            watch = await discovery.accept()
            await watch.until(b"\r\n\r\n")
            one, two = now.entries
            await watch.send(WATCHED + chunk(listing(2, {**one, "status": "terminating"}, two) + b"\n"))
            idle += [await now.say(b"mn\r\n" if n % 2 else b"") for n in range(SOCKETS)]
            asking = await connect(now.listen)
            await asking.send(b"mg k v O1 Pc=read,d=5000\r\n")
            server = await now.servers[1].accept()
            await server.until(b"\r\n")
            await server.send(b"VA 1 O1 h1\r\nx\r\n")
            assert await asking.until(b"x\r\n") == b"VA 1 O1\r\nx\r\n"
            operator = await connect(now.calls)
            await operator.send(b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b" 200 " in await operator.until(b"\r\n")
            for peer in (asking, operator, *idle):
                peer.close()
            discovery.close()
        return now.log

    assert counted(asyncio.run(play()), "clients.evicted") > 3 * SOCKETS


FLOODS = {
    "commands": b"".join(b"mg k%d v O%d-%%d Pc=read,d=5000\r\n" % (n, n) for n in range(2000)),
    "garbage": bytes(range(256)) * 256,
    "half a value": b"ms k 3000000 O%d Pc=keyed,d=5000\r\n" + b"x" * 60000,
    "empty lines": b"\r\n" * 30000,
}


@pytest.mark.parametrize("flood", FLOODS)
def test_floods_from_clients_that_go_at_once_harm_nobody_else(tmp_path: Path, flood: str) -> None:
    async def play() -> str:
        async with guarded(tmp_path) as now, bystander(now) as served:
            text = FLOODS[flood]
            for turn in range(150):
                peer = await connect(now.listen)
                with contextlib.suppress(OSError):  # cut off while it sends
                    await peer.send(text.replace(b"%d", b"%d" % turn))
                peer.reset() if turn % 2 else peer.close()
                if turn % 10 == 0:
                    await served()
        return now.log

    log = asyncio.run(play())
    assert counted(log, "requests.open") == 0 and counted(log, "clients.accepted") > 150


ENDLESS = {
    "a line without end": b"VA" + b"1" * 65536,
    "a value without end": b"VA 4000000 O%b\r\n" + b"x" * 65536,
    "garbage": b"\xff" * 65536,
    "answers to nothing": b"VA 1 O0\r\nx\r\n" * 4096,
}


@pytest.mark.parametrize("answer", ENDLESS)
def test_answers_without_end_cost_their_own_request_alone(tmp_path: Path, answer: str) -> None:
    async def play() -> None:
        async with guarded(tmp_path) as now, bystander(now) as served:

            async def pour(peer: Peer) -> None:
                with contextlib.suppress(OSError, AssertionError):
                    line = await peer.until(b"\r\n")
                    text = ENDLESS[answer].replace(b"%b", line.split(b" O")[1].split()[0])
                    while True:
                        await peer.send(text)

            async def serve(listener: Listener) -> None:
                while True:
                    pours.append(asyncio.create_task(pour(await listener.accept())))

            pours: list[asyncio.Task[None]] = []
            serving = [asyncio.create_task(serve(listener)) for listener in now.servers]
            for number in range(20):
                asking = await connect(now.listen)
                await asking.send(b"mg k v O%d Pc=read,d=300\r\n" % number)
                with contextlib.suppress(OSError, AssertionError):  # a value that breaks off goes with its connection
                    assert (await asking.until(b"\r\n")).split()[0] in (b"SERVER_ERROR", b"VA")
                asking.close()
                await served()
            for task in (*serving, *pours):
                task.cancel()
            await asyncio.gather(*serving, *pours, return_exceptions=True)

    asyncio.run(play())
