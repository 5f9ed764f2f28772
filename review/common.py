"""Stand-ins and helpers that the cases under review/ share: platform, cache server, client, router process.

Only the standard library is used. All addresses are on loopback, all ports are free ones, and each process that is
started here is ended here.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 30.0


class CaseError(Exception):
    """The case could not run as planned, so it shows nothing."""


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the time in ms since the start."""
        return (time.monotonic() - self.began_at) * 1000.0

    def write(self, text: str) -> None:
        """Append one line."""
        self._file.write(f"{self.now():9.1f} ms  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port() -> int:
    """Return a TCP port of loopback that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


# The platform: discovery


class Discovery:
    """Discovery at which routers ask: the whole list, or a watch on changes with an empty line every 2 s."""

    def __init__(self, zones: dict[str, str]) -> None:
        self.port = 0
        self.index = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self._zones = zones
        self._server: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()
        self._beat: asyncio.Task[None] | None = None

    def add(self, name: str, port: int) -> None:
        """List a cache server that has been in service for long."""
        self.entries[name] = {
            "name": name,
            "address": f"127.0.0.1:{port}",
            "zone": self._zones[name],
            "type": "std-2c",
            "group": 1,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }

    async def start(self) -> None:
        """Serve on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._send_empty_lines())

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def set_status(self, name: str, status: str) -> None:
        """Change the status of a cache server, and tell it on all watches at once."""
        self.index += 1
        self.entries[name]["status"] = status
        change = {"index": self.index, "snapshot": False, "endpoints": [self.entries[name]]}
        for writer in self._watches:
            _write_chunk(writer, json.dumps(change).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0].decode()
            if "watch=1" not in head:
                body = json.dumps(self.snapshot()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                _write_chunk(writer, json.dumps(self.snapshot()).encode() + b"\n")
                self._watches.add(writer)
                await reader.read()
        self._watches.discard(writer)
        writer.close()

    async def _send_empty_lines(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for writer in self._watches:
                _write_chunk(writer, b"\n")


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


# Cache servers


class Command:
    """One command that a cache server received, with the connection to answer it on."""

    def __init__(self, server: CacheServer, head: str, writer: asyncio.StreamWriter) -> None:
        words = head.split(" ")
        self.server = server
        self.writer = writer
        self.is_write = words[0] == "ms"
        self.key = words[1]
        self.request_id = next(word[1:] for word in words if word.startswith("O"))
        fields = next(word[1:] for word in words if word.startswith("P"))
        self.fields = dict(item.partition("=")[::2] for item in fields.split(","))

    def send(self, data: bytes) -> None:
        """Write to the connection, if it is still open."""
        if not self.writer.transport.is_closing():
            self.writer.write(data)

    def answer(self) -> None:
        """Answer as served: a value for a read, a receipt for a write."""
        if self.is_write:
            self.send(f"HD O{self.request_id} c{self.server.name}-{self.request_id}\r\n".encode())
        else:
            value = f"{self.server.name} {self.key}".encode()
            self.send(b"VA %d O%b h1\r\n%b\r\n" % (len(value), self.request_id.encode(), value))

    def reset(self) -> None:
        """Reset the connection."""
        with contextlib.suppress(OSError):
            option = struct.pack("ii", 1, 0)
            self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        self.writer.transport.abort()


Handler = Callable[[Command], Awaitable[None]]


class CacheServer:
    """A cache server: reads commands and hands each to the case's handler, one after the other on a connection."""

    def __init__(self, name: str, record: Record, handler: Handler) -> None:
        self.name = name
        self.port = 0
        self.received: list[tuple[float, Command]] = []
        self._record = record
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Serve on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (line := await reader.readline()).endswith(b"\r\n"):
                head = line.decode().rstrip("\r\n")
                if head.startswith("ms "):
                    await reader.readexactly(int(head.split(" ")[2]) + 2)
                if head.startswith(("mg ", "ms ")):
                    command = Command(self, head, writer)
                    self.received.append((self._record.now(), command))
                    self._record.write(f"cache server {self.name} received: {head}")
                    await self._handler(command)
                else:
                    writer.write(b"MN\r\n" if head == "mn" else b"ERROR\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled only when the case has ended
        finally:
            writer.close()


# Clients


class Client:
    """One connection of a client."""

    def __init__(self, record: Record, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._record = record
        self.name = name
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, record: Record, name: str, port: int) -> Client:
        """Connect to a router."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 23)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(record, name, reader, writer)

    def send(self, command: str, value: str | None = None) -> None:
        """Send one command, without waiting for its answer."""
        self._record.write(f"client {self.name} sent: {command}")
        self.writer.write(f"{command}\r\n".encode() + (f"{value}\r\n".encode() if value is not None else b""))

    async def answer(self) -> str:
        """Return the next answer's first line, after its value was read; '' if the connection has ended."""
        try:
            line = (await self.reader.readline()).decode().rstrip("\r\n")
            if line.startswith("VA "):
                await self.reader.readexactly(int(line.split(" ")[1]) + 2)
        except (OSError, asyncio.IncompleteReadError):
            line = ""
        self._record.write(f"client {self.name} got: {line or 'the end of its connection'}")
        return line

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


# Routers


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings object of the deployment polo-caruaru, with the figures of its page.

    changes: other values for `grades` or others of the top level.
    """
    base: dict[str, Any] = {
        "clients": {"marksRetry": False},
        "discovery": "subscribe",
        "extra": {"mode": "through", "originFallMs": 3000.0, "originFallMultiple": 0.0, "originKind": -1},
        "family": "cache",
        "grades": grades(),
        "groupSize": 1,
        "kinds": ["fast-2c", "std-2c"],
        "me": 0,
        "overShareWorth": 0.1,
        "permissions": {
            "cancel": True,
            "connectTimeoutMs": 50.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500000,
            "idleCloseMs": 15000.0,
            "maxOpen": 20000,
            "maxRetryAfterMs": 2000.0,
            "mayDuplicate": True,
            "peerMessages": True,
            "probing": True,
            "retryAfter": True,
            "streamsPerConn": 32,
            "tryLimit": 4,
        },
        "prices": {"crossZone": 0.08, "handshake": 0.02, "lateFail": 0.08, "peer": 0.01, "probe": 0.01, "waste": 0.2},
        "report": {"fields": ["inflight", "queue", "x0"], "how": "piggyback"},
        "rules": {
            "answerSlackMs": 8.0,
            "askWithinMs": 10000.0,
            "coldFrom": 0.15,
            "coldMs": 22000.0,
            "drainGraceMs": 400.0,
            "overloadFactor": 4.0,
            "tipAfterMs": 2000.0,
        },
        "stage": 0,
        "tenants": [],
        "tickMs": 2.0,
        "tiers": ["cache-fleet"],
        "weightKind": "rough",
        "worthBy": "request",
        "zone": 0,
        "zones": ["bloco-a", "bloco-b", "bloco-c"],
    }
    return {**base, **changes}


def grades(window_ms: float = 4000.0) -> list[dict[str, Any]]:
    """Return the request classes of polo-caruaru; window_ms is the window of record-sale for repeats."""

    def grade(name: str, effect: str, aim: float, deadline: float, worth: float, window: float) -> dict[str, Any]:
        return {
            "effect": effect,
            "group": "all",
            "hardLimitMs": deadline,
            "lateWorth": 0.0,
            "memorySpanMs": window,
            "name": name,
            "promiseMs": aim,
            "streamed": False,
            "worth": worth,
        }

    return [
        grade("item-lookup", "repeatable", 1200.0, 4000.0, 5.0, 5000.0),
        grade("hold-item", "once", 150.0, 400.0, 5.0, 5000.0),
        grade("record-sale", "by_key", 1200.0, 4000.0, 10.0, window_ms),
    ]


class Router:
    """One router process, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, discovery: Discovery, settings_object: dict[str, Any]) -> None:
        self._record = record
        self._folder = folder
        self.port = free_port()
        self.config_path = folder / "config.json"
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.snapshot(),
            "settings": settings_object,
        }
        self.write_config()
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        """Write the configuration file, complete at once."""
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.config_path)

    async def start(self) -> None:
        """Start the process and wait until it answers `mn` with `MN`."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        tmpdir = self._folder / "tmp"
        tmpdir.mkdir()
        environment = {
            **os.environ,
            "TMPDIR": str(tmpdir),
            "LB_CONFIG": str(self.config_path),
            "LB_NAME": "n0",
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
        }
        with (self._folder / "router.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline and self.process.returncode is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"mn\r\n")
                line = await reader.readline()
                writer.close()
                if line == b"MN\r\n":
                    self._record.write("the router is ready")
                    return
            await asyncio.sleep(0.05)
        raise CaseError(f"the router is not ready: {self.log_tail()}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the router, if it has not ended."""
        if self.process is not None and self.process.returncode is None:
            self._record.write(f"{number.name} to the router")
            self.process.send_signal(number)

    def log_tail(self) -> str:
        """Return the last lines of its log."""
        path = self._folder / "router.log"
        return " | ".join(path.read_text(errors="replace").splitlines()[-5:]) if path.exists() else ""

    async def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()


Case = Callable[[Record, Path], Awaitable[bool]]


def run_case(folder: Path, case: Case, limit_s: float = 110.0) -> int:
    """Run a case, which returns whether the rule was broken; return the exit code of its script."""
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    record.write(f"TROUBLE={int(TROUBLE)}")

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record, temporary)

    try:
        broken = asyncio.run(limited())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        traceback.print_exc()
        return NOT_RUN
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    verdict = "BROKEN" if broken else "held"
    record.write(f"the rule: {verdict}")
    record.close()
    print(f"{folder.name}: {verdict}", file=sys.stderr)
    return BROKEN if broken else HELD
