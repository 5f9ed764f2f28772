"""Scripted clients, cache servers and discovery on real sockets, with a complete router between them in one event loop.

A script fixes the order of events: it runs the event loop until a peer has received some data or the router is in some
state. No script waits for time to pass.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any
from unittest.mock import Mock

from starlingthread.config import read_config
from starlingthread.core.counters import Counters
from starlingthread.core.router import Router
from starlingthread.net.clients import ClientConnectionActor
from starlingthread.router_process.process import RouterProcess

# Time-out, in real time, of each wait of a script.
WAIT_TIMEOUT_S = 20.0


class Peer:
    """One end of a TCP connection, with operations that streams lack: half-close, reset, and leaving data unread."""

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        sock.setblocking(False)
        self.unread = b""

    async def send(self, data: bytes) -> None:
        """Send all bytes."""
        await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(self.socket, data), WAIT_TIMEOUT_S)

    async def receive(self) -> bytes:
        """Return the next bytes, or b"" at the end of file; raise ConnectionResetError on a reset."""
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.socket, 65536), WAIT_TIMEOUT_S)

    async def until(self, end: bytes) -> bytes:
        """Return the data up to and including a terminator."""
        while end not in self.unread:
            data = await self.receive()
            assert data, f"ended without {end!r}: {self.unread!r}"
            self.unread += data
        position = self.unread.index(end) + len(end)
        received, self.unread = self.unread[:position], self.unread[position:]
        return received

    async def read_to_eof(self) -> bytes:
        """Return all data up to the end of file."""
        while data := await self.receive():
            self.unread += data
        received, self.unread = self.unread, b""
        return received

    def half_close(self) -> None:
        """Send an end of file but keep reading."""
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Close with a reset."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    def close(self) -> None:
        """Close; with unread bytes this resets the connection."""
        self.socket.close()


class Listener:
    """A listening socket; the system establishes connections, which are queued until a script accepts them."""

    def __init__(self, port: int = 0) -> None:
        self.socket = socket.create_server(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.port = int(self.socket.getsockname()[1])
        self.address = f"127.0.0.1:{self.port}"
        self.accepted: list[Peer] = []

    async def accept(self) -> Peer:
        """Accept the next connection."""
        sock, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.socket), WAIT_TIMEOUT_S)
        self.accepted.append(Peer(sock))
        return self.accepted[-1]

    def close(self) -> None:
        """Close the socket and all accepted connections."""
        for peer in self.accepted:
            peer.close()
        self.socket.close()


async def connect(port: int, buffer: int = 0) -> Peer:
    """Connect as a client.

    buffer: size of the receive buffer in bytes; 0 for the default
    """
    sock = socket.socket()
    sock.setblocking(False)
    if buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return Peer(sock)


def free_port() -> int:
    """Return a port on which no process listens."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return int(probe.getsockname()[1])


async def until_serving(port: int) -> None:
    """Wait until a router process answers at a port that it is ready."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mn\r\n")
                answer = await reader.readline()
                writer.transport.abort()
                if answer == b"MN\r\n":
                    return
            await asyncio.sleep(0.02)


async def until(condition: Callable[[], bool]) -> None:
    """Run the event loop until a condition holds."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


async def run_loop_turns(turns: int = 20) -> None:
    """Run the event loop for some turns."""
    for _ in range(turns):
        await asyncio.sleep(0)


def entry(name: str, address: str, status: str = "in_service") -> dict[str, Any]:
    """Return the endpoint list's entry for a cache server."""
    return {
        "name": name,
        "address": address,
        "zone": "a",
        "type": "k",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    }


def listing(index: int, *entries: dict[str, Any], full: bool = True, indent: int | None = None) -> bytes:
    """Return an endpoint list as discovery sends it, without an end of line."""
    return json.dumps({"index": index, "snapshot": full, "endpoints": entries}, indent=indent).encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked HTTP response."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def read_command(number: int, key: str = "k", timeout_ms: float = 5000.0) -> bytes:
    """Return a read command."""
    return b"mg %b%d v O%d Pc=read,d=%d\r\n" % (key.encode(), number, number, timeout_ms)


def value_answer(number: int) -> bytes:
    """Return a cache server's answer to a read command."""
    return b"VA 1 O%d h1\r\nx\r\n" % number


WATCH_HEADERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CLASSES = [
    {"name": "read", "effect": "repeatable", "promiseMs": 4000.0, "hardLimitMs": 9000.0},
    {
        "name": "keyed",
        "effect": "by_key",
        "group": "all",
        "promiseMs": 4000.0,
        "hardLimitMs": 9000.0,
        "memorySpanMs": 5000.0,
    },
    {"name": "once", "effect": "once", "promiseMs": 4000.0, "hardLimitMs": 9000.0},
]


class RunningRouter:
    """A router, its discovery service and its cache servers, named 's-1' and so on; scripts add clients."""

    def __init__(self, folder: Path, servers: int, config_changes: dict[str, Any]) -> None:
        self.discovery = Listener()
        self.servers = [Listener() for _ in range(servers)]
        self.path = folder / "config.json"
        self.port = free_port()
        self.raw: dict[str, Any] = {
            "name": "r",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "5",
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 256},
            "known": {"index": 1, "snapshot": True, "endpoints": self.entries()},
            "settings": {
                "discovery": "subscribe",
                "zones": ["a"],
                "kinds": ["k"],
                "grades": CLASSES,
                "permissions": {"tryLimit": 3, "cancel": True, "connectTimeoutMs": 2000.0, "mayDuplicate": True},
                "rules": {"drainGraceMs": 1000.0, "askWithinMs": 1e9},
            },
        }
        for place, value in config_changes.items():
            *parts, last = place.split(".")
            inner = self.raw
            for part in parts:
                inner = inner[part]
            inner[last] = value
        self.path.write_text(json.dumps(self.raw))
        self.program = RouterProcess(read_config(str(self.path)), Mock())
        self.clients: list[Peer] = []

    def entries(self) -> list[dict[str, Any]]:
        """Return the endpoint list's entries for all cache servers."""
        return [entry(f"s-{n}", server.address) for n, server in enumerate(self.servers, 1)]

    @property
    def server(self) -> Listener:
        """The first cache server."""
        return self.servers[0]

    @property
    def router(self) -> Router:
        """The router actor."""
        return self.program.actors.router

    @property
    def counters(self) -> Counters:
        """The router's counters."""
        return self.program.counters

    async def client(self, wait_until_accepted: bool = True, buffer: int = 0) -> Peer:
        """Connect as a client, by default until the router has accepted it; see connect() for 'buffer'."""
        self.clients.append(await connect(self.port, buffer))
        if wait_until_accepted:
            await until(lambda: self.find_actor(self.clients[-1]) is not None)
        return self.clients[-1]

    def actor_of(self, client: Peer) -> ClientConnectionActor:
        """Return the router's actor for a client."""
        actor = self.find_actor(client)
        assert actor is not None
        return actor

    def find_actor(self, client: Peer) -> ClientConnectionActor | None:
        """Return the router's actor for a client; None if there is none."""
        name = client.socket.getsockname()
        return next(
            (a for a in self.program.actors.clients.connections if a.writer.get_extra_info("peername") == name), None
        )

    def reload(self, classes: list[dict[str, Any]]) -> None:
        """Make the router reload its configuration file with other request classes."""
        self.raw["settings"]["grades"] = classes
        self.path.write_text(json.dumps(self.raw))
        configuration = self.program.configuration
        configuration.config = configuration.config._replace(shape={})  # otherwise a file with fewer fields is rejected
        configuration.reload()

    def close(self) -> None:
        """Close all peers."""
        for peer in self.clients:
            peer.close()
        for listener in (self.discovery, *self.servers):
            listener.close()


async def request_in_flight(harness: RunningRouter, number: int = 1) -> tuple[Peer, Peer]:
    """Send a request that reaches the cache server; return the client's and the server's peer."""
    client = await harness.client()
    await client.send(read_command(number))
    server = await harness.server.accept()
    await server.until(b"\r\n")
    return client, server


@asynccontextmanager
async def running_router(
    folder: Path, servers: int = 1, wait: bool = True, **config_changes: Any
) -> AsyncIterator[RunningRouter]:
    """Run a router between scripted peers.

    config_changes: values of its configuration file by path, such as settings__discovery="automatic"
    """
    harness = RunningRouter(
        folder, servers, {place.replace("__", "."): value for place, value in config_changes.items()}
    )
    thresholds = gc.get_threshold()
    task = asyncio.create_task(harness.program.run())
    try:
        if wait:
            await until(lambda: harness.program.is_serving or task.done())
        yield harness
    finally:
        harness.close()
        if not harness.program.stop_requested.is_set():
            harness.program.exit_code = harness.program.exit_code or 1  # makes the process end at once
        harness.program.stop_requested.set()
        await asyncio.wait_for(task, WAIT_TIMEOUT_S)
        gc.unfreeze()
        gc.set_threshold(*thresholds)
