"""Case 2: clients that read large values slowly take the router over its memory limit."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import TROUBLE, CacheServer, CaseError, Command, Discovery, Record, Router, run_case, settings

MEMORY_MB, SOCKETS = (
    96,
    512,
)  # pages: 192 MB and 1,024 descriptors at most, and on the days of large values half of that
VALUE_BYTES = 4 << 20  # pages: values of up to 4 MiB occur
CLIENTS = 200
ARRIVALS_PER_S = 50.0  # the deployment has about 170 a second for 3 routers
PIECE_BYTES = 8192
PIECE_PAUSE_S = 0.05  # a slow client reads 160 KB a second, and a value in 26 s
RECEIVE_BUFFER_BYTES = 16384  # of a slow client
RUN_S = 45.0
AFTER_KILL_S = 40.0  # slow clients read what the sockets still hold, and see the end of their connections


async def send_value(command: Command) -> None:
    """Answer a read at the speed at which the router takes the value."""
    command.send(b"VA %d O%b h1\r\n" % (VALUE_BYTES, command.request_id.encode()))
    for _ in range(VALUE_BYTES // 65536):
        command.send(b"v" * 65536)
        await command.writer.drain()
    command.send(b"\r\n")


class Platform:
    """Watches the memory of the router, and kills it once it is over its limit."""

    def __init__(self, record: Record, router: Router) -> None:
        self.record = record
        self.router = router
        self.peak_mb = 0.0
        self.has_killed = False

    def anonymous_mb(self) -> float:
        """Return the memory that is the process's own, without the pages of program files that others may share."""
        assert self.router.process is not None
        status = Path(f"/proc/{self.router.process.pid}/status").read_text()
        return int(status.split("RssAnon:")[1].split()[0]) / 1024.0

    async def watch(self) -> None:
        """Look at the memory until the router has to be killed."""
        while True:
            await asyncio.sleep(0.05)
            self.peak_mb = max(self.peak_mb, now_mb := self.anonymous_mb())
            if now_mb > MEMORY_MB:
                self.record.write(f"the router holds {now_mb:.0f} MB and its limit is {MEMORY_MB}: it is killed")
                self.has_killed = True
                assert self.router.process is not None
                self.router.process.kill()
                return


class Reader:
    """A client that reads one large value."""

    def __init__(self, record: Record, number: int, port: int) -> None:
        self.record = record
        self.number = number
        self.port = port
        self.received = 0
        self.result = "was still being read"

    async def run(self) -> None:
        """Send the request and read the answer, slowly if there is trouble."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, ("127.0.0.1", self.port))
                command = f"mg item-{self.number} v Oread-{self.number} Pc=item-lookup,d=4000\r\n"
                self.record.write(f"client c-{self.number} sent: {command.strip()}")
                await loop.sock_sendall(sock, command.encode())
                await self._read(loop, sock)
            except OSError as error:
                self.result = f"{self._progress()}, then {type(error).__name__}"
        self.record.write(f"client c-{self.number} got {self.received} bytes: {self.result}")

    async def _read(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        whole_bytes = 0
        while data := await loop.sock_recv(sock, PIECE_BYTES):
            if not self.received and not data.startswith(b"VA "):
                self.result = data.decode().strip()
                return
            if not self.received:
                whole_bytes = data.index(b"\r\n") + 2 + VALUE_BYTES + 2  # the first line, the value and its line end
            self.received += len(data)
            if self.received == whole_bytes:
                self.result = "served"
                return
            if TROUBLE:
                await asyncio.sleep(PIECE_PAUSE_S)
        self.result = f"{self._progress()}, then the end of the connection"

    def _progress(self) -> str:
        return "cut in the middle of the value" if self.received else "no answer"


async def case(record: Record, folder: Path) -> bool:
    """Return whether the router went over its memory limit."""
    names = tuple(f"s-{number}" for number in range(1, 10))
    discovery = Discovery(dict.fromkeys(names, "bloco-a"))
    servers = [CacheServer(name, record, send_value) for name in names]
    for server in servers:
        await server.start()
        discovery.add(server.name, server.port)
    await discovery.start()
    router = Router(record, folder, discovery, settings())
    router.config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    router.write_config()
    try:
        await router.start()
        platform = Platform(record, router)
        record.write(f"the router holds {platform.anonymous_mb():.0f} MB without load")
        watching = asyncio.create_task(platform.watch())
        readers = [Reader(record, number, router.port) for number in range(CLIENTS)]
        ends_at = time.monotonic() + RUN_S
        running = []
        for reader in readers:
            running.append(asyncio.create_task(reader.run()))
            await asyncio.sleep(1.0 / ARRIVALS_PER_S)
            if platform.has_killed:
                ends_at = time.monotonic() + AFTER_KILL_S
                break
        await asyncio.wait(running, timeout=max(0.0, ends_at - time.monotonic()))
        if watching.done() and not platform.has_killed:
            raise CaseError("the router ended by itself, or its memory can't be read")
        watching.cancel()
        for task in running:
            task.cancel()
    finally:
        await router.end()
    results = [reader.result for reader in readers[: len(running)]]
    for result in sorted(set(results)):
        record.write(f"requests: {results.count(result):4d} {result}")
    record.write(f"peak memory of the router's own: {platform.peak_mb:.0f} MB, limit {MEMORY_MB} MB")
    return platform.has_killed


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
