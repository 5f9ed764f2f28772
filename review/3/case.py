"""Case 3: a request that arrives during a shutdown gets no answer, as one from before it is waited for too long."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import TROUBLE, CacheServer, CaseError, Client, Command, Discovery, Record, Router, run_case, settings

CLIENTS = 12
HANGING = 2  # of four cache servers; pages: a quarter to a half hang
OWED_FROM_MS = 700.0  # pages: what comes more than 0.7 s after SIGTERM is owed its answer
SEND_AT_MS = 1500.0  # the time after SIGTERM at which the clients send on the connections that are still open
KILL_AT_MS = 3700.0  # pages: the longest deadline, counted as 3 s where it is longer, and 0.7 s more


class Fleet:
    """The cache servers; half of them hang from the SIGTERM on."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.hanging: set[str] = set()

    async def handle(self, command: Command) -> None:
        """Run a command and answer it, unless the server hangs."""
        if command.server.name in self.hanging:
            self.record.write(f"cache server {command.server.name} hangs with {command.request_id}")
            await asyncio.sleep(3600)
        await asyncio.sleep(0.05)
        command.answer()


class Sender:
    """A client with one connection: a request just before the SIGTERM, and another one while the router shuts down."""

    def __init__(self, number: int, client: Client) -> None:
        self.number = number
        self.client = client
        self.answers: list[str] = []
        self.is_owed = False
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while line := await self.client.answer():
            self.answers.append(line)

    def send_first(self) -> None:
        """Send the request from before the SIGTERM."""
        self.client.send(f"mg item-{self.number} v Ofirst-{self.number} Pc=item-lookup,d=4000")

    def send_second(self) -> None:
        """Send a request on the connection, if it is still open."""
        if not self.reading.done():
            self.is_owed = True
            self.client.send(f"mg other-{self.number} v Osecond-{self.number} Pc=item-lookup,d=4000")

    @property
    def is_lost(self) -> bool:
        """Whether the second request was sent and not answered."""
        return self.is_owed and len(self.answers) < 2


async def case(record: Record, folder: Path) -> bool:
    """Return whether a request that is owed its answer was unanswered at the SIGKILL."""
    names = ("s-1", "s-2", "s-3", "s-4")
    fleet = Fleet(record)
    discovery = Discovery(dict.fromkeys(names, "bloco-a"))
    servers = [CacheServer(name, record, fleet.handle) for name in names]
    for server in servers:
        await server.start()
        discovery.add(server.name, server.port)
    await discovery.start()
    router = Router(record, folder, discovery, settings())
    try:
        await router.start()
        senders = [Sender(n, await Client.connect(record, f"c-{n}", router.port)) for n in range(CLIENTS)]
        await asyncio.sleep(0.2)
        if TROUBLE:
            fleet.hanging = set(names[:HANGING])
        for sender in senders:
            sender.send_first()
        await asyncio.sleep(0.02)
        router.signal(signal.SIGTERM)
        await asyncio.sleep(SEND_AT_MS / 1000.0)
        for sender in senders:
            sender.send_second()
        await asyncio.sleep((KILL_AT_MS - SEND_AT_MS) / 1000.0)
        lost = [sender for sender in senders if sender.is_lost]
        router.signal(signal.SIGKILL)
        await asyncio.sleep(0.2)
    finally:
        await router.end()
    owed = sum(sender.is_owed for sender in senders)
    if TROUBLE and not owed:
        raise CaseError("no connection was open when the second requests were due")
    record.write(f"requests more than {OWED_FROM_MS:.0f} ms after SIGTERM: {owed}; unanswered at SIGKILL: {len(lost)}")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
