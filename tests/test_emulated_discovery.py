"""Tests of emulated discovery: lists, watches, outages, and the records of notifications."""

from __future__ import annotations

import asyncio
import contextlib

from starlingthread.emulator.discovery_server import DiscoveryServer, ListedServer
from starlingthread.experiment.records import StatusNotification


def test_discovery_sends_changes_goes_down_and_records_notifications() -> None:
    async def call(port: int, path: str) -> tuple[asyncio.StreamReader, bytes]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        writers.append(writer)
        return reader, await reader.readline()

    async def read_until(reader: asyncio.StreamReader, text: bytes) -> bytes:
        while text not in (line := await reader.readline()):
            assert line, f"the response ended before {text!r}"
        return line

    writers: list[asyncio.StreamWriter] = []

    async def run() -> None:
        notifications: list[StatusNotification] = []
        discovery = DiscoveryServer(2, 0.0, notifications)
        servers = [ListedServer(n, f"s-{n}", [f"127.0.0.1:{n + 1}"], "a") for n in range(3)]
        discovery.entries = {server.number: server for server in servers}
        await discovery.start()
        _, status = await call(discovery.ports[0], "/registry/instances")
        assert b"200" in status and {(record.router, record.server) for record in notifications} == {
            (0, 0),
            (0, 1),
            (0, 2),
        }
        watch, status = await call(discovery.ports[1], "/registry/instances?watch=1&after=1")
        assert b"200" in status
        line = await read_until(watch, b'"endpoints":')
        assert b'"snapshot": false' in line and b'"endpoints": []' in line
        servers[1].status = "terminating"
        discovery.publish(servers[1])
        line = await read_until(watch, b"terminating")
        assert b'"index": 2' in line and notifications[-1].router == 1 and notifications[-1].status == "terminating"
        discovery.set_down(True)
        with contextlib.suppress(ConnectionError):
            await asyncio.wait_for(watch.read(), 5.0)
        statuses = {(await call(discovery.ports[0], "/registry/instances"))[1] for _ in range(2)}
        assert any(b"503" in s for s in statuses) and b"" in statuses
        discovery.set_down(False)
        _, status = await call(discovery.ports[0], "/registry/instances?watch=1&after=nine")
        assert b"400" in status
        await discovery.stop()

    asyncio.run(asyncio.wait_for(run(), 20.0))
