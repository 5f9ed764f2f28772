"""Case 3: a keyed write is sent again after its window, as the proof about one attempt is taken for both."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (
    TROUBLE,
    CacheServer,
    CaseError,
    Client,
    Command,
    Discovery,
    Record,
    Router,
    grades,
    run_case,
    settings,
)

WINDOW_MS = 1500.0  # pages: on the short days a shorter window for repeats; polo-caruaru has 4000
SLACK_MS = 50.0  # on sockets every time limit is longer by this
HOLD_MS = 150.0  # a router may be held up for this long between reading its clock and writing
HANG_MS = 3000.0  # the first cache server hangs for this long; its queue is full afterwards
READS = 120
READS_AT_ONCE = 4


class Fleet:
    """The cache servers, which drop repeats of a keyed write for the window."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.copies: list[Command] = []  # the copies of the keyed write in the order of their arrival
        self.applied_at: list[float] = []  # times at which the write was applied, in ms
        self.late_copies: list[str] = []

    async def handle(self, command: Command) -> None:
        """Run a command and answer it."""
        if not command.is_write:
            await asyncio.sleep(0.01)
            command.answer()
            return
        self.copies.append(command)
        if len(self.copies) == 1 and TROUBLE:
            await self._hang_and_turn_away(command)
            return
        self._run(command)
        if len(self.copies) == 2 and TROUBLE:
            self.record.write(f"cache server {command.server.name} reset the connection of the copy that it ran")
            command.reset()
        else:
            await asyncio.sleep(0.1)
            command.answer()

    async def _hang_and_turn_away(self, command: Command) -> None:
        """Hang before the command is read; then the queue is full, so the command is turned away and never runs."""
        self.record.write(f"cache server {command.server.name} hangs")
        await asyncio.sleep(HANG_MS / 1000.0)
        self.record.write(f"cache server {command.server.name} goes on, and turns the copy away: busy, never run")
        command.send(b"SERVER_ERROR busy\r\n")

    def _run(self, command: Command) -> None:
        now = self.record.now()
        name = command.server.name
        if self.applied_at and now - self.applied_at[-1] < WINDOW_MS:
            self.record.write(f"cache server {name} dropped a repeat of the key {command.fields['k']}")
            return
        if self.applied_at:
            self.late_copies.append(f"{name}, {now - self.applied_at[0]:.0f} ms after the first that ran")
        self.applied_at.append(now)
        self.record.write(f"cache server {name} APPLIED the write with the key {command.fields['k']}")


async def read_many(record: Record, port: int, name: str) -> None:
    """Send reads one after the other, as clients do before the disruption."""
    client = await Client.connect(record, name, port)
    for number in range(READS // READS_AT_ONCE):
        client.send(f"mg item-{name}-{number % 10} v O{name}-{number} Pc=item-lookup,d=4000")
        await client.answer()
    client.close()


async def case(record: Record, folder: Path) -> bool:
    """Return whether a keyed write was sent again, and applied again, after its window."""
    names = ("s-1", "s-2", "s-3", "s-4")
    discovery = Discovery(dict.fromkeys(names, "bloco-a"))
    fleet = Fleet(record)
    servers = [CacheServer(name, record, fleet.handle) for name in names]
    for server in servers:
        await server.start()
        discovery.add(server.name, server.port)
    await discovery.start()
    router = Router(record, folder, discovery, settings(grades=grades(WINDOW_MS)))
    try:
        await router.start()
        await asyncio.gather(*(read_many(record, router.port, f"r{n}") for n in range(READS_AT_ONCE)))
        await asyncio.sleep(0.5)
        client = await Client.connect(record, "c-1", router.port)
        client.send("ms sale-1 4 Osale-1 Pc=record-sale,d=4000,k=5c0f6e1a2b3d4c59", "sale")
        await client.answer()
        await asyncio.sleep(0.5)
    finally:
        await router.end()
    if not fleet.copies or (TROUBLE and len(fleet.copies) < 2):
        raise CaseError(f"only {len(fleet.copies)} copies of the write were sent: there was no hedged request")
    late = len(fleet.applied_at) > 1 and fleet.applied_at[1] - fleet.applied_at[0] > WINDOW_MS + SLACK_MS + HOLD_MS
    record.write(
        f"the write was applied {len(fleet.applied_at)} times; after the window: {fleet.late_copies or 'none'}"
    )
    return late


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
