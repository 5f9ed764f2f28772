"""A crowd of clients that hold connections and ask for little or nothing."""

from __future__ import annotations

import asyncio
import contextlib

from ..experiment.randomness import UniformDraws
from .connection import CONNECT_TIMEOUT_S
from .tasks import TaskSet

SPEAKING_SHARE = 0.5  # of the connections, on which one command is sent
RETURN_DELAY_S = 1.0  # after which a client that was disconnected comes back
READ_BYTES = 4096


class IdleClients:
    """Clients that connect, rest until they are disconnected, and come back."""

    def __init__(self, addresses: list[tuple[str, int]], chances: UniformDraws) -> None:
        self._addresses = addresses
        self._chances = chances
        self._tasks = TaskSet()

    def start(self, connections: int, seconds: float) -> None:
        """Hold so many connections to each router for a while."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        for address in self._addresses:
            for _ in range(connections):
                self._tasks.start(self._stay(address, until, self._chances.next() < SPEAKING_SHARE))

    def stop(self) -> None:
        """Disconnect all."""
        self._tasks.cancel()

    async def _stay(self, address: tuple[str, int], until: float, speaks: bool) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            with contextlib.suppress(OSError, TimeoutError):
                await self._rest(address, until, b"mn\r\n" if speaks else b"")
            await asyncio.sleep(RETURN_DELAY_S * (0.5 + self._chances.next()))

    async def _rest(self, address: tuple[str, int], until: float, command: bytes) -> None:
        """Connect, send a command or nothing, and wait for the end of the connection or of the time."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), CONNECT_TIMEOUT_S)
        try:
            writer.write(command)
            async with asyncio.timeout_at(until):
                while await reader.read(READ_BYTES):
                    pass
        finally:
            writer.transport.abort()
