"""Case 3: a large value is cut off while its client reads it steadily, but slowly."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import TROUBLE, CacheServer, CaseError, Command, Discovery, Record, Router, run_case, settings

VALUE_BYTES = 4 << 20  # pages: values of up to 4 MiB occur
BYTES_PER_S = 64 * 1024  # a slow client reads the value in 64 s
PIECE_BYTES = 4096  # a piece each 63 ms
RECEIVE_BUFFER_BYTES = 16384  # of the client's socket, as a small device has
CLIENTS = 3
LIMIT_S = 90.0


class CacheServers:
    """Send values at the speed at which the router takes them."""

    def __init__(self, record: Record) -> None:
        self.record = record

    async def handle(self, command: Command) -> None:
        """Answer a read."""
        command.send(b"VA %d O%b h1\r\n" % (VALUE_BYTES, command.request_id.encode()))
        given = 0
        try:
            while given < VALUE_BYTES:
                command.send(b"v" * 65536)
                await command.writer.drain()
                given += 65536
            command.send(b"\r\n")
            self.record.write(f"cache server {command.server.name} has given the whole value for {command.request_id}")
        except OSError:
            self.record.write(
                f"cache server {command.server.name}: the router closed the connection under {command.request_id},"
                f" {VALUE_BYTES - given} bytes of the value were still to be given"
            )


class SlowReader:
    """A client that reads one value at a steady speed, and never stops."""

    def __init__(self, record: Record, number: int, port: int) -> None:
        self.record = record
        self.number = number
        self.port = port
        self.is_whole = False
        self.longest_pause_s = 0.0

    async def run(self) -> None:
        """Send the request and read the answer."""
        name = f"c-{self.number}"
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", self.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=PIECE_BYTES)
        command = f"mg item-{self.number} v Oread-{self.number} Pc=item-lookup,d=4000"
        self.record.write(f"client {name} sent: {command}")
        writer.write(command.encode() + b"\r\n")
        head = (await reader.readline()).decode().strip()
        self.record.write(f"client {name} got the first line: {head}")
        if not head.startswith("VA "):
            raise CaseError("the read was not served")
        expected = int(head.split(" ")[1]) + 2
        began_at = last_at = time.monotonic()
        received = 0
        while received < expected and (data := await reader.read(PIECE_BYTES)):
            received += len(data)
            now = time.monotonic()
            self.longest_pause_s = max(self.longest_pause_s, now - last_at)
            last_at = now
            if TROUBLE:
                await asyncio.sleep(max(0.0, began_at + received / BYTES_PER_S - now))
        self.is_whole = received == expected
        end = "the whole value" if self.is_whole else "the end of its connection"
        self.record.write(
            f"client {name}: {received} of {expected} bytes in {time.monotonic() - began_at:.1f} s, then {end};"
            f" it never paused longer than {self.longest_pause_s:.2f} s"
        )
        writer.close()


async def case(record: Record, folder: Path) -> bool:
    """Return whether a value was cut off."""
    names = ("s-1", "s-2", "s-3")
    discovery = Discovery(dict.fromkeys(names, "bloco-a"))
    servers = [CacheServer(name, record, CacheServers(record).handle) for name in names]
    for server in servers:
        await server.start()
        discovery.add(server.name, server.port)
    await discovery.start()
    router = Router(record, folder, discovery, settings())
    try:
        await router.start()
        readers = [SlowReader(record, number, router.port) for number in range(CLIENTS)]
        async with asyncio.timeout(LIMIT_S):
            await asyncio.gather(*(reader.run() for reader in readers))
        if router.process is None or router.process.returncode is not None:
            raise CaseError("the router has ended")
    finally:
        await router.end()
    cut = sum(not reader.is_whole for reader in readers)
    record.write(f"values: {len(readers)}; cut off: {cut}")
    return cut > 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
