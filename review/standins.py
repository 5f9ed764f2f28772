"""Stand-ins of the second review: a router under test, cache servers, discovery and clients, with the standard library.

Each stand-in follows the users' pages. Where a page is silent, it behaves like a sound server, client or platform.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple, SupportsIndex

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
HEARTBEAT_S = 2.0
SLACK_MS = 50.0  # every time limit of the rules is longer by this


class CannotRunError(Exception):
    """The case could not be run, whatever the router does."""


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def say(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.4f} {text}\n")

    def add_log(self, name: str, text: str) -> None:
        """Append the log of a process."""
        self._file.write(f"\n--- log of {name}\n{text}")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def grade(name: str, effect: str, promise: float, limit: float, worth: float, span: float = 4000.0) -> dict[str, Any]:
    """Return one request class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "promiseMs": promise,
        "hardLimitMs": limit,
        "worth": worth,
        "lateWorth": 0.0,
        "memorySpanMs": span,
        "streamed": False,
    }


def polo_settings(**rules: float) -> dict[str, Any]:
    """Return settings with the figures of polo-caruaru, for one router."""
    return {
        "clients": {"marksRetry": False},
        "discovery": "subscribe",
        "extra": {"mode": "through", "originKind": -1},
        "family": "cache",
        "grades": [
            grade("item-lookup", "repeatable", 1200.0, 4000.0, 5.0),
            grade("hold-item", "once", 150.0, 400.0, 5.0),
            grade("record-sale", "by_key", 1200.0, 4000.0, 10.0),
        ],
        "groupSize": 1,
        "kinds": ["fast-2c", "std-2c"],
        "me": 0,
        "permissions": {
            "cancel": True,
            "connectTimeoutMs": 50.0,
            "cpuUsPerS": 500000,
            "idleCloseMs": 15000.0,
            "maxOpen": 20000,
            "maxRetryAfterMs": 2000.0,
            "mayDuplicate": True,
            "peerMessages": False,
            "probing": True,
            "retryAfter": True,
            "streamsPerConn": 32,
            "tryLimit": 4,
        },
        "prices": {"crossZone": 0.08, "handshake": 0.02, "lateFail": 0.08, "waste": 0.2, "probe": 0.01},
        "report": {"fields": [], "how": "silent"},
        "rules": {
            "answerSlackMs": 8.0,
            "askWithinMs": 10000.0,
            "coldFrom": 0.15,
            "coldMs": 22000.0,
            "drainGraceMs": 400.0,
            "overloadFactor": 4.0,
            "tipAfterMs": 2000.0,
            **rules,
        },
        "tenants": [],
        "weightKind": "rough",
        "worthBy": "request",
        "zone": 0,
        "zones": ["bloco-a", "bloco-b", "bloco-c"],
    }


class Received:
    """One command that a cache server has received whole."""

    def __init__(self, server: str, at: float, line: str, value: bytes) -> None:
        self.server = server
        self.at = at  # seconds of the record, at the first byte of the command as read
        self.line = line
        self.value = value
        words = line.split(" ")
        self.is_write = words[0] == "ms"
        self.key = words[1]
        self.id = next((word[1:] for word in words[2:] if word.startswith("O")), "")
        fields = next((word[1:] for word in words[2:] if word.startswith("P")), "")
        self.fields = dict(item.partition("=")[::2] for item in fields.split(",") if item)


class CacheServer:
    """A sound cache server: answers each command after a delay, in order, with a value or a receipt."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.port = 0
        self.received: list[Received] = []
        self.delay_s: Callable[[Received], float] = lambda _: 0.01
        self.value: Callable[[Received], bytes] = lambda request: b"value-of-" + request.key.encode()
        self.piece_bytes = 65536  # a value is given in pieces of this size
        self.piece_interval_s = 0.0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := (await reader.readline()).decode().rstrip("\r\n"):
                await self._handle(line, reader, writer)
        writer.close()

    async def _handle(self, line: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        at = self.record.now()
        word = line.split(" ", 1)[0]
        if word not in ("mg", "ms"):
            answer = b"MN\r\n" if word == "mn" else b"END\r\n" if line == "stats load" else b"CLIENT_ERROR form\r\n"
            self.record.say(f"{self.name} got {line!r}")
            writer.write(answer)
            return
        value = b""
        if word == "ms":
            value = (await reader.readexactly(int(line.split(" ")[2]) + 2))[:-2]
        request = Received(self.name, at, line, value)
        self.received.append(request)
        self.record.say(f"{self.name} runs {line!r}")
        await asyncio.sleep(self.delay_s(request))
        if request.is_write:
            writer.write(f"HD O{request.id} c{request.id[:8]}\r\n".encode())
        else:
            data = self.value(request)
            writer.write(f"VA {len(data)} O{request.id} h1\r\n".encode())
            for start in range(0, len(data), self.piece_bytes):
                writer.write(data[start : start + self.piece_bytes])
                await writer.drain()
                await asyncio.sleep(self.piece_interval_s)
            writer.write(b"\r\n")
        await writer.drain()
        self.record.say(f"{self.name} answered {request.id}")


class CallPlan(NamedTuple):
    """How discovery answers one call."""

    delay_s: float = 0.0
    fails: bool = False  # with 503, after the delay


class Plans(list[CallPlan]):
    """The plans of the next calls, in their order; once they are used up, the default is used."""

    default = CallPlan()

    def pop(self, index: SupportsIndex = 0) -> CallPlan:
        """Remove and return the plan of the next call."""
        return super().pop(index) if self else self.default


class Discovery:
    """Discovery over HTTP/1.1: the whole list and watches; each call is answered after a delay."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.index = 40
        self.endpoints: dict[str, dict[str, Any]] = {}
        self._history: list[tuple[int, dict[str, Any]]] = []
        self.call_plan = Plans()
        self.silenced: set[asyncio.StreamWriter] = set()  # watches that write nothing more
        self.written: list[tuple[float, int]] = []  # when each version was written to a caller
        self.calls = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()
        self.heartbeat = asyncio.Event()  # set by each empty line on a watch

    def add(self, server: CacheServer, zone: str = "bloco-a") -> None:
        """List a cache server that has run for long."""
        self.endpoints[server.name] = {
            "name": server.name,
            "address": f"{HOST}:{server.port}",
            "zone": zone,
            "type": "std-2c",
            "group": 1,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.endpoints.values())}

    async def start(self) -> None:
        """Listen on a free port, the same one after an outage."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Go down: watches end, and connections are refused."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.say("discovery is down")

    def silence(self) -> None:
        """Let the watches that are open now write nothing more; their connections stay open."""
        self.silenced = set(self._writers)
        self.record.say(f"{len(self.silenced)} open watches fall silent")

    def change(self, name: str, status: str) -> None:
        """Change the status of a cache server, and tell the watches."""
        self.index += 1
        self.endpoints[name] = {**self.endpoints[name], "status": status}
        self._history.append((self.index, self.endpoints[name]))
        self.record.say(f"discovery has {name} {status} as index {self.index}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            self.calls += 1
            self.record.say(f"discovery is called: {target}")
            answering = asyncio.create_task(self._answer(writer, target, self.call_plan.pop(0)))
            ended = asyncio.create_task(reader.read(1))  # the caller sends nothing more: it has closed
            await asyncio.wait((answering, ended), return_when=asyncio.FIRST_COMPLETED)
            if not answering.done():
                self.record.say(f"the caller has closed its call: {target}")
            for task in (answering, ended):
                task.cancel()
            await asyncio.gather(answering, ended, return_exceptions=True)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, target: str, plan: CallPlan) -> None:
        await asyncio.sleep(plan.delay_s)
        if plan.fails:
            self.record.say(f"discovery answers 503: {target}")
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        elif "watch=1" in target:
            await self._watch(writer, int(target.partition("after=")[2]))
        else:
            body = json.dumps(self.whole_list()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            self._note_written()
            await writer.drain()

    async def _watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        if after < 40:
            self._write_chunk(writer, self.whole_list())
        else:
            self._write_changes(writer, after)
        sent = self.index
        while not writer.transport.is_closing():
            await writer.drain()
            try:
                await asyncio.wait_for(self._changed.wait(), HEARTBEAT_S)
            except TimeoutError:
                if writer not in self.silenced:
                    writer.write(b"1\r\n\n\r\n")
                    self.heartbeat.set()
            if self.index > sent and writer not in self.silenced and not writer.transport.is_closing():
                self._write_changes(writer, sent)
                sent = self.index

    def _write_changes(self, writer: asyncio.StreamWriter, after: int) -> None:
        changes = [endpoint for index, endpoint in self._history if index > after]
        self._write_chunk(writer, {"index": self.index, "snapshot": False, "endpoints": changes})

    def _write_chunk(self, writer: asyncio.StreamWriter, body: dict[str, Any]) -> None:
        data = json.dumps(body).encode() + b"\n"
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
        self._note_written()

    def _note_written(self) -> None:
        self.written.append((self.record.now(), self.index))
        self.record.say(f"discovery writes index {self.index}")


class Router:
    """One router process, started by the line ``run`` of the deploy file."""

    def __init__(self, case: Case, name: str, config: dict[str, Any], tmpdir: Path) -> None:
        self.case = case
        self.name = name
        self.config = config
        self.config_path = case.folder / f"{name}.json"
        self.log_path = case.folder / f"{name}.log"
        self.tmpdir = tmpdir
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Write the configuration file, whole."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        os.replace(new, self.config_path)

    def start(self) -> None:
        """Start the process."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith(("LB_", "STARLINGTHREAD"))},
            "LB_NAME": self.config["name"],
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(self.config_path),
            "TMPDIR": str(self.tmpdir),
        }
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.case.record.say(f"{self.name} is started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.case.record.say(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def wait_until_used(self) -> None:
        """Wait until ``mn`` is answered ``MN``."""
        host, port = self.config["listen"].split(":")
        for _ in range(300):
            if self.process is not None and self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended at its start")
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"mn\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"MN\r\n":
                    self.case.record.say(f"{self.name} answers MN")
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} was not ready within 30 s")

    async def call(self, method: str, target: str) -> int:
        """Make one management call; return its status, 0 if there was no answer."""
        host, port = self.config["management"].split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            status = (await asyncio.wait_for(reader.readline(), 2.0)).split(b" ")[1:2]
            writer.close()
        except (OSError, TimeoutError):
            return 0
        self.case.record.say(f"{self.name} answers {method} {target} with {status}")
        return int(status[0]) if status else 0

    def exit_code(self) -> int | None:
        """Return the exit code of the process; None while it runs."""
        return self.process.poll() if self.process is not None else None

    def kill(self) -> None:
        """End the process, if it runs, and keep its log."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.case.record.add_log(self.name, self.log_path.read_text(errors="replace"))
        self.process = None


class Client:
    """One client connection; answers are matched to the commands by their order."""

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.record = record
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, record: Record, address: str) -> Client:
        """Connect to a router."""
        host, port = address.split(":")
        return cls(record, *await asyncio.open_connection(host, int(port), limit=1 << 20))

    def send(self, lines: bytes) -> None:
        """Write commands."""
        self.writer.write(lines)

    async def answer(self) -> tuple[str, bytes] | None:
        """Return the next whole answer: its line and its value; None if the connection ended before."""
        try:
            raw = await self.reader.readuntil(b"\r\n")
            line = raw.decode().rstrip("\r\n")
            if line.startswith("VA "):
                return line, (await self.reader.readexactly(int(line.split(" ")[1]) + 2))[:-2]
        except (OSError, asyncio.IncompleteReadError):
            return None
        return line, b""

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Traffic:
    """Clients that each send a read after the other, on connections that they keep and open anew when they end."""

    def __init__(self, case: Case, address: str, clients: int = 4, pause_s: float = 0.04, keys: int = 60) -> None:
        self._case = case
        self._address = address
        self._pause_s = pause_s
        self._keys = keys
        self._count = 0
        self.answers: dict[str, int] = {}  # how many answers began with a word
        self._tasks = [asyncio.create_task(self._run()) for _ in range(clients)]

    async def _run(self) -> None:
        client: Client | None = None
        try:
            while True:
                await asyncio.sleep(self._pause_s)
                if client is None:
                    with contextlib.suppress(OSError):
                        client = await Client.connect(self._case.record, self._address)
                elif not await self._request(client):
                    client.close()
                    client = None
        finally:
            if client is not None:
                client.close()

    async def _request(self, client: Client) -> bool:
        """Send one read; return whether it was answered."""
        self._count += 1
        key = f"item{self._count % self._keys}"
        client.send(f"mg {key} v O{self._case.new_id()} Pc=item-lookup,d=4000\r\n".encode())
        answer = await client.answer()
        word = answer[0].split(" ")[0] if answer else "closed"
        self.answers[word] = self.answers.get(word, 0) + 1
        return answer is not None

    async def stop(self) -> None:
        """Stop all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._case.record.say(f"clients got {self.answers}")


class Case:
    """One case: its record, its stand-ins and its routers, which all end with it."""

    def __init__(self, folder: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.discovery = Discovery(self.record)
        self.servers: list[CacheServer] = []
        self.routers: list[Router] = []
        self._request = 0

    async def start_servers(self, count: int) -> None:
        """Start cache servers, list them, and start discovery."""
        for number in range(count):
            server = CacheServer(self.record, f"s-{number:02d}")
            await server.start()
            self.servers.append(server)
            self.discovery.add(server)
        await self.discovery.start()

    def config(self, settings: dict[str, Any]) -> dict[str, Any]:
        """Return the configuration of one router."""
        return {
            "name": "n0",
            "listen": f"{HOST}:{free_port()}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "management": f"{HOST}:{free_port()}",
            "seed": f"{int.from_bytes(os.urandom(8), 'big'):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.whole_list(),
            "settings": settings,
        }

    def add_router(self, name: str, config: dict[str, Any], tmpdir: Path | None = None) -> Router:
        """Add a router, which is not started yet; its folder for temporary files is new unless one is given."""
        folder = tmpdir or Path(tempfile.mkdtemp(dir=self.folder))
        router = Router(self, name, config, folder)
        self.routers.append(router)
        return router

    def new_id(self) -> str:
        """Return a request id that was not used before."""
        self._request += 1
        return f"{os.getpid():08x}{self._request:08x}"

    def verdict(self, breaks: list[str], rule: str) -> int:
        """Write the verdict, and return the exit code."""
        for text in breaks[:20]:
            self.record.say(f"BREAK {text}")
        result = f"{rule}: broken {len(breaks)} times" if breaks else f"{rule}: held"
        self.record.say(result)
        print(result)
        return BROKEN if breaks else HELD

    def close(self) -> None:
        """Remove the temporary files."""
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Case], Awaitable[int]]) -> int:
    """Play a case within the time limit, and return the exit code."""
    case = Case(folder)

    async def limited() -> int:
        try:
            return await asyncio.wait_for(play(case), TIME_LIMIT_S)
        finally:
            for router in case.routers:
                router.kill()
            await asyncio.sleep(0.2)  # the stand-ins see the ends of their connections

    try:
        return asyncio.run(limited())
    except (CannotRunError, TimeoutError, OSError) as error:
        case.record.say(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    finally:
        case.close()
