"""An id that comes again at the other process of an upgrade, with two real router processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from .fakes import free_port
from .test_upgrade import FakePlatform, wait_until_ready

WRITE = b"ms k 1 O%d Pc=once,d=2000\r\nx\r\n"
WAIT_TIMEOUT_S = 20.0


class HangingPlatform(FakePlatform):
    """Cache servers that never answer a write, and record its id."""

    def __init__(self) -> None:
        super().__init__()
        self.write_ids: list[bytes] = []
        self.write_received = asyncio.Event()

    async def _serve_cache(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                if line.startswith(b"ms "):
                    await reader.readline()
                    self.write_ids.append(next(word for word in line.split() if word[:1] == b"O"))
                    self.write_received.set()
        finally:
            writer.transport.abort()

    async def _serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await super()._serve_discovery(reader, writer)
        finally:
            writer.transport.abort()


async def start_router(folder: Path, platform: FakePlatform, port: int, management: int) -> asyncio.subprocess.Process:
    """Start a router process that shares its clients' port and folder with the other one; wait until it is ready."""
    path = folder / f"config-{management}.json"
    platform.write_config(path, port, management)
    config = json.loads(path.read_text())
    config["settings"]["grades"] += [{"name": "once", "effect": "once", "promiseMs": 2000.0, "hardLimitMs": 2000.0}]
    path.write_text(json.dumps(config))
    environment = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(folder)}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "starlingthread", stderr=asyncio.subprocess.DEVNULL, env=environment
    )
    await wait_until_ready(management)
    return process


async def write_and_leave(port: int, number: int, platform: HangingPlatform) -> None:
    """Send a write, and close the connection once a server has received it."""
    platform.write_received.clear()
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(WRITE % number)
    await asyncio.wait_for(platform.write_received.wait(), WAIT_TIMEOUT_S)
    writer.transport.abort()


async def answer_on(connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], number: int) -> bytes:
    """Send a write on a connection and return its answer."""
    reader, writer = connection
    writer.write(WRITE % number)
    return await asyncio.wait_for(reader.readline(), WAIT_TIMEOUT_S)


async def exit_code(process: asyncio.subprocess.Process) -> int:
    """Shut a process down and return its exit code."""
    process.send_signal(signal.SIGTERM)
    return await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S)


def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_runs_once(tmp_path: Path) -> None:
    """Guards against a write that runs twice: at the old process and at the new one, in either order."""

    async def scenario() -> None:
        platform = HangingPlatform()
        await platform.start()
        port, management = free_port(), (free_port(), free_port())
        old = await start_router(tmp_path, platform, port, management[0])
        to_old = await asyncio.open_connection("127.0.0.1", port)
        to_old[1].write(b"mn\r\n")
        assert await to_old[0].readline() == b"MN\r\n"
        await write_and_leave(port, 1, platform)
        new = await start_router(tmp_path, platform, port, management[1])
        to_new = await asyncio.open_connection("127.0.0.1", port)
        assert await answer_on(to_new, 1) == b"SERVER_ERROR failed\r\n"
        await write_and_leave(port, 2, platform)
        assert await answer_on(to_old, 2) == b"SERVER_ERROR failed\r\n"
        assert sorted(platform.write_ids) == [b"O1", b"O2"]
        for _, writer in (to_old, to_new):
            writer.close()
        for process in (old, new):
            assert await exit_code(process) == 0
        for server in platform.listeners:
            server.close()
        await asyncio.sleep(0.1)  # the connections of the servers and of discovery see their ends

    asyncio.run(scenario())
