"""One client that floods a real router process over one connection, beside others that send at a steady pace.

Run as a program it is the client that floods: ``python -m tests.flood_plays PORT SECONDS KIND``.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from .peers import Listener, entry, free_port, until_serving

SERVERS = 9
CLIENTS = 10
CLIENT_INTERVAL_S = 0.02
CLIENT_TIMEOUT_MS = 1200
FLOOD_TIMEOUT_MS = 5
SERVICE_TIME_S = 0.002
BATCH = 64
COMMANDS_PER_CONNECTION = 256  # of a client that takes new names
KINDS = (
    "reads",
    "reads of 30 ms",
    "reads of 130 ms",
    "reads of 4000 ms",
    "writes",
    "no-ops",
    "new names",
    "unknown classes",
)
CLASSES = [
    {"name": "item-lookup", "effect": "repeatable", "promiseMs": 1200.0, "hardLimitMs": 4000.0, "worth": 5.0},
    {"name": "hold-item", "effect": "once", "promiseMs": 150.0, "hardLimitMs": 400.0, "worth": 5.0},
]


class FloodResult(NamedTuple):
    """What the steady clients got, by the first words of the answers, and the response times in ms."""

    answers: Counter[str]
    response_times: list[float]
    flood_sent: int

    @property
    def served_share(self) -> float:
        """Share of the steady clients' reads that were served."""
        return self.answers["VA"] / max(1, self.answers.total())

    def percentile(self, share: float) -> float:
        """Return a percentile of the response times in ms."""
        ordered = sorted(self.response_times)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def flood_command(kind: str, number: int) -> bytes:
    """Return one command of the client that floods."""
    match kind:
        case "reads":
            return b"mg k%d v Of%d Pc=item-lookup,d=%d\r\n" % (number, number, FLOOD_TIMEOUT_MS)
        case "reads of 30 ms" | "reads of 130 ms" | "reads of 4000 ms":
            return b"mg k%d v Of%d Pc=item-lookup,d=%b\r\n" % (number, number, kind.split()[2].encode())
        case "writes":
            return b"ms k%d 1 Of%d Pc=hold-item,d=%d\r\nx\r\n" % (number, number, FLOOD_TIMEOUT_MS)
        case "no-ops":
            return b"mn\r\n"
        case "new names":
            return b"mg k%d v Of%d Pc=item-lookup,d=%d,x%d=1\r\n" % (number, number, FLOOD_TIMEOUT_MS, number)
        case "unknown classes":
            return b"mg k%d v Of%d Pc=c%d,d=5\r\n" % (number, number, number)
    raise ValueError(kind)


async def flood(port: int, seconds: float, kind: str) -> int:
    """Send commands as fast as the router takes them, and read the answers; return the number of commands."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)

    async def read_answers() -> None:
        while await reader.read(1 << 16):
            pass

    reading = asyncio.create_task(read_answers())
    ends_at = time.monotonic() + seconds
    number = 0
    while time.monotonic() < ends_at:
        is_renewed = kind == "new names" and number % COMMANDS_PER_CONNECTION == 0
        if writer.is_closing() or is_renewed:  # a connection is closed after some invalid commands
            reading.cancel()
            writer.transport.abort()
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
            reading = asyncio.create_task(read_answers())
        writer.write(b"".join(flood_command(kind, number + offset) for offset in range(BATCH)))
        number += BATCH
        with contextlib.suppress(OSError):
            await writer.drain()
        await asyncio.sleep(0)
    reading.cancel()
    writer.transport.abort()
    return number


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while line := await reader.readline():
            request_id = next(word for word in line.split() if word[:1] == b"O")
            is_write = line.startswith(b"ms ")
            if is_write:
                await reader.readline()
            await asyncio.sleep(SERVICE_TIME_S)
            writer.write(b"HD %b cx\r\n" % request_id if is_write else b"VA 1 %b h1\r\nx\r\n" % request_id)
    except (OSError, asyncio.CancelledError):
        pass
    finally:
        writer.transport.abort()


async def _steady_client(port: int, number: int, until: float, result: FloodResult) -> None:
    """Send one read each interval, whether or not the one before is answered; a late one gets a new connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    count = 0
    while time.monotonic() < until:
        count += 1
        sent_at = time.monotonic()
        command = b"mg s%d v Os%d-%d Pc=item-lookup,d=%d\r\n" % (count % 50, number, count, CLIENT_TIMEOUT_MS)
        try:
            writer.write(command)
            line = await asyncio.wait_for(reader.readline(), CLIENT_TIMEOUT_MS / 1000 + 0.5)
            if line.startswith(b"VA"):
                await reader.readline()
            result.answers[line.split()[0].decode() if line else "closed"] += 1
        except (OSError, TimeoutError):
            line = b""
            result.answers["lost"] += 1
        result.response_times.append((time.monotonic() - sent_at) * 1000.0)
        if not line:
            writer.transport.abort()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(max(0.0, sent_at + CLIENT_INTERVAL_S - time.monotonic()))
    writer.transport.abort()


async def play_flood(folder: Path, kind: str, seconds: float) -> FloodResult:
    """Play a flood of a kind beside steady clients."""
    discovery = Listener()
    servers = [await asyncio.start_server(_serve, "127.0.0.1", 0) for _ in range(SERVERS)]
    entries = [entry(f"s-{n}", f"127.0.0.1:{s.sockets[0].getsockname()[1]}") for n, s in enumerate(servers)]
    port = free_port()
    path = folder / "config.json"
    settings = {
        "discovery": "subscribe",
        "zones": ["a"],
        "kinds": ["k"],
        "grades": CLASSES,
        "permissions": {"tryLimit": 4, "cancel": True, "connectTimeoutMs": 50.0, "mayDuplicate": True},
        "rules": {"drainGraceMs": 400.0, "askWithinMs": 1e9},
    }
    path.write_text(
        json.dumps(
            {
                "name": "r",
                "listen": f"127.0.0.1:{port}",
                "discovery": discovery.address,
                "seed": "5",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"index": 1, "snapshot": True, "endpoints": entries},
                "settings": settings,
            }
        )
    )
    with (folder / "router.log").open("wb") as log:
        router = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "starlingthread", stderr=log, env={**os.environ, "LB_CONFIG": str(path)}
        )
    flooding: asyncio.subprocess.Process | None = None
    try:
        await until_serving(port)
        result = FloodResult(Counter(), [], 0)
        flooding = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.flood_plays", str(port), str(seconds), kind, stdout=asyncio.subprocess.PIPE
        )
        until = time.monotonic() + seconds
        await asyncio.gather(*(_steady_client(port, number, until, result) for number in range(CLIENTS)))
        output, _ = await flooding.communicate()
        router.send_signal(signal.SIGTERM)  # logs its counters
        await asyncio.wait_for(router.wait(), 20.0)
        return result._replace(flood_sent=int(output))
    finally:
        for process in (router, flooding):
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for server in servers:
            server.close()
        discovery.close()


if __name__ == "__main__":
    print(asyncio.run(flood(int(sys.argv[1]), float(sys.argv[2]), sys.argv[3])))
