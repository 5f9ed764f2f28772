"""Clients that misbehave: they send garbage, or half a command and no more."""

from __future__ import annotations

import asyncio
from collections import Counter

from ..experiment.randomness import UniformDraws
from .connection import CONNECT_TIMEOUT_S, ConnectionPool
from .front import NO_ROUTER, Front
from .tasks import TaskSet

ANSWER_TIMEOUT_S = 10.0  # for which a bad client keeps its connection open
MAX_ANSWER = 200  # bytes of an answer that are read

GARBAGE: tuple[bytes, ...] = (
    b"\x00\x01\xfe\xff" * 40 + b"\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"mg\r\n",
    b"mg a v\r\n",
    b"ms a nine O1 Pc=x,d=1\r\n",
    b"ms a 99999999 O1 Pc=x,d=1\r\n",
    b"mg " + b"k" * 300 + b" v O1 Pc=x,d=5\r\n",
    b"x" * 9000,
    b"mg a v O1 Pc=nobody,d=100\r\n",
    b"mg a v O1 O2 Pc=item-lookup,d=-5\r\n",
    b"\r\n" * 20,
    b"ms a 3 O1 Pc=hold-item,d=100\r\nabcde\r\n",
)
HALVES: tuple[bytes, ...] = (b"mg stock:0000", b"ms stock:00000001 4000 O77 Pc=hold-item,d=400\r\nhalf of it", b"m")


class BadClients:
    """Opens connections that send invalid requests, and counts what they get for it."""

    def __init__(self, front: Front, pool: ConnectionPool, chances: UniformDraws) -> None:
        self.outcomes: Counter[str] = Counter()  # first word of the answer, closed, reset, refused or nothing
        self._front = front
        self._pool = pool
        self._chances = chances
        self._tasks = TaskSet()

    def start(self, per_second: float, seconds: float, half: bool) -> None:
        """Open connections at a rate for a while; with ``half`` they send half a command, else garbage."""
        loop = asyncio.get_running_loop()
        for number in range(int(per_second * seconds)):
            loop.call_later(number / per_second, self._start_one, half)

    def stop(self) -> None:
        """Cancel those that are still connected."""
        self._tasks.cancel()

    def _start_one(self, half: bool) -> None:
        self._tasks.start(self._run_one(half))

    async def _run_one(self, half: bool) -> None:
        router = self._front.next_router()
        if router == NO_ROUTER or self._pool.is_full:
            return
        choice = int(self._chances.next() * len(GARBAGE))
        data = HALVES[choice % len(HALVES)] if half else GARBAGE[choice]
        self._pool.open_count += 1
        try:
            outcome = await self._exchange(router, data)
        finally:
            self._pool.open_count -= 1
        self.outcomes[outcome] += 1

    async def _exchange(self, router: int, data: bytes) -> str:
        """Send bytes to a router; return what came back."""
        outcome = "refused"
        try:
            address = self._pool.addresses[router]
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), CONNECT_TIMEOUT_S)
            try:
                writer.write(data)
                answer = await asyncio.wait_for(reader.read(MAX_ANSWER), ANSWER_TIMEOUT_S)
                outcome = answer.split(b"\r\n")[0].split(b" ")[0].decode("latin-1") or "closed"
            except TimeoutError:
                outcome = "nothing"
            finally:
                writer.transport.abort()
        except (OSError, TimeoutError):
            outcome = "reset" if outcome == "refused" else outcome
        return outcome
