"""Clients that make a real router process hold as much as they can, and the memory that it takes meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from pathlib import Path
from random import Random
from typing import Any

import psutil

from .peers import CLASSES, Listener, entry, free_port, until_serving

SERVERS = 9
SOCKETS = 1024
PIPELINED = 16
VALUE_BYTES = 60000
LARGE_VALUE_BYTES = 4 << 20
SMALL_BUFFER_BYTES = 8192
CONNECT_BATCH = 50
SAMPLE_INTERVAL_S = 0.02
HANG_S = 3600.0
SEND_TIMEOUT_S = 2.0
KINDS = (
    "short fields",
    "long heads",
    "pipelines",
    "small values",
    "half values",
    "half large values",
    "whole values",
    "unread answers",
)


class MemoryPlay:
    """A router process between cache servers that hang or answer with values, and a crowd of clients of one kind."""

    def __init__(self, folder: Path, memory_mb: int, seed: int = 1) -> None:
        self.memory_mb = memory_mb
        self.peak_mb = 0.0
        self.answers: list[bytes] = []
        self._folder = folder
        self._rng = Random(seed)
        self._ids = iter(range(1, 1 << 30))
        self._port = free_port()
        self._process: asyncio.subprocess.Process
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []

    # the router and its cache servers

    async def start(self, server_hangs: bool) -> None:
        """Start the cache servers and the router, and sample its memory from now on."""
        discovery = Listener()
        servers = [
            await asyncio.start_server(lambda r, w: self._serve(r, w, server_hangs), "127.0.0.1", 0, limit=1 << 16)
            for _ in range(SERVERS)
        ]
        addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
        config = self._config(discovery.address, [entry(f"s-{n}", address) for n, address in enumerate(addresses)])
        path = self._folder / "config.json"
        path.write_text(json.dumps(config))
        with (self._folder / "router.log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "starlingthread", stderr=log, env={**os.environ, "LB_CONFIG": str(path)}
            )
        await until_serving(self._port)
        self._tasks.append(asyncio.create_task(self._sample()))

    def _config(self, discovery: str, entries: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            "name": "r",
            "listen": f"127.0.0.1:{self._port}",
            "discovery": discovery,
            "seed": "5",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": SOCKETS},
            "known": {"index": 1, "snapshot": True, "endpoints": entries},
            "settings": {
                "discovery": "subscribe",
                "zones": ["a"],
                "kinds": ["k"],
                "grades": CLASSES,
                "permissions": {"tryLimit": 3, "cancel": True, "connectTimeoutMs": 500.0, "mayDuplicate": True},
                "rules": {"drainGraceMs": 1000.0, "askWithinMs": 1e9},
            },
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hangs: bool) -> None:
        """Answer each read with a value, or read nothing after the first command."""
        try:
            while line := await reader.readline():
                if hangs:
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                    await asyncio.sleep(HANG_S)
                request_id = next(word for word in line.split() if word[:1] == b"O")
                writer.write(b"VA %d %b h1\r\n" % (VALUE_BYTES, request_id) + b"v" * VALUE_BYTES + b"\r\n")
                await writer.drain()
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _sample(self) -> None:
        process = psutil.Process(self._process.pid)
        while True:
            with contextlib.suppress(psutil.Error):
                self.peak_mb = max(self.peak_mb, process.memory_info().rss / (1 << 20))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    # the clients

    def commands(self, kind: str) -> bytes:
        """Return what one client of a kind sends."""
        match kind:
            case "short fields":
                fields = b",".join(b"%x=" % number for number in range(16, 420))
                return b"".join(self._read(b"," + fields) for _ in range(PIPELINED))
            case "long heads":
                return b"".join(self._read(b",x=" + b"x" * 1800) for _ in range(PIPELINED))
            case "pipelines":
                return b"".join(self._read(b",x=" + b"x" * 1400) for _ in range(400))
            case "small values":
                return b"".join(self._write(2000, 2000) for _ in range(PIPELINED))
            case "half values":
                return self._write(VALUE_BYTES, self._rng.randrange(VALUE_BYTES))
            case "half large values":
                return self._write(LARGE_VALUE_BYTES, self._rng.randrange(LARGE_VALUE_BYTES // 2))
            case "whole values":
                return b"".join(self._write(VALUE_BYTES, VALUE_BYTES) for _ in range(3))
            case "unread answers":
                return b"".join(self._read(b"") for _ in range(PIPELINED))
        raise ValueError(kind)

    def _read(self, fields: bytes) -> bytes:
        number = next(self._ids)
        return b"mg k%d v O%d Pc=read,d=9000%b\r\n" % (number, number, fields)

    def _write(self, size: int, sent: int) -> bytes:
        number = next(self._ids)
        head = b"ms k%d %d O%d Pc=keyed,d=9000,k=%d\r\n" % (number, size, number, number)
        return head + b"v" * sent + (b"\r\n" if sent == size else b"")

    async def crowd(self, kind: str, clients: int) -> None:
        """Connect clients, and let all of them send at once, for two seconds at most; they read nothing."""
        for first in range(0, clients, CONNECT_BATCH):
            await asyncio.gather(*(self._connect() for _ in range(first, min(clients, first + CONNECT_BATCH))))
        for writer in self._writers:
            writer.write(self.commands(kind))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*(self._drain(writer) for writer in self._writers)), SEND_TIMEOUT_S)

    async def _connect(self) -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port, limit=SMALL_BUFFER_BYTES)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            self._writers.append(writer)
            self._tasks.append(asyncio.create_task(self._keep(reader)))

    @staticmethod
    async def _drain(writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            await writer.drain()

    async def _keep(self, reader: asyncio.StreamReader) -> None:
        await asyncio.sleep(HANG_S)
        reader.at_eof()

    async def close(self) -> None:
        """End the router and all connections."""
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def is_running(self) -> bool:
        """Return whether the router still runs."""
        return self._process.returncode is None


async def play(folder: Path, kind: str, clients: int, memory_mb: int, settle_s: float = 2.0) -> MemoryPlay:
    """Play a crowd of clients of a kind; return the ended play with the router's peak memory."""
    memory_play = MemoryPlay(folder, memory_mb)
    await memory_play.start(server_hangs=kind != "unread answers")
    try:
        await memory_play.crowd(kind, clients)
        await asyncio.sleep(settle_s)
        assert memory_play.is_running()
    finally:
        await memory_play.close()
    return memory_play
