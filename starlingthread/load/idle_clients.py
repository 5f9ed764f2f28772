"""Clients that hold connections open and send one command or none."""

from __future__ import annotations

import asyncio
import contextlib

from ..experiment.randomness import UniformDraws
from .connection import CONNECT_TIMEOUT_S
from .tasks import TaskSet

COMMAND_SENDER_SHARE = 0.5  # share of the clients that send one command on each connection
RECONNECT_DELAY_S = 1.0  # mean time before a disconnected client reconnects
READ_BYTES = 4096


class IdleClients:
    """Clients that connect, stay idle until they are disconnected, and reconnect."""

    def __init__(self, addresses: list[tuple[str, int]], random_draws: UniformDraws) -> None:
        self._addresses = addresses
        self._random_draws = random_draws
        self._tasks = TaskSet()

    def start(self, connections: int, duration_s: float) -> None:
        """Hold a number of connections to each router for a duration."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + duration_s
        for address in self._addresses:
            for _ in range(connections):
                self._tasks.start(
                    self._hold_connections(address, end_at, self._random_draws.next() < COMMAND_SENDER_SHARE)
                )

    def stop(self) -> None:
        """Disconnect all clients."""
        self._tasks.cancel()

    async def _hold_connections(self, address: tuple[str, int], end_at: float, sends_command: bool) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            with contextlib.suppress(OSError, TimeoutError):
                await self._hold_one_connection(address, end_at, b"mn\r\n" if sends_command else b"")
            await asyncio.sleep(RECONNECT_DELAY_S * (0.5 + self._random_draws.next()))

    async def _hold_one_connection(self, address: tuple[str, int], end_at: float, command: bytes) -> None:
        """Connect, send a command or nothing, and wait until the connection is closed or the end time is reached."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), CONNECT_TIMEOUT_S)
        try:
            writer.write(command)
            async with asyncio.timeout_at(end_at):
                while await reader.read(READ_BYTES):
                    pass
        finally:
            writer.transport.abort()
