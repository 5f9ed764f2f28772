"""Clients that violate the protocol: they send invalid input, or an incomplete command that they never finish."""

from __future__ import annotations

import asyncio
from collections import Counter

from ..experiment.randomness import UniformDraws
from .connection import CONNECT_TIMEOUT_S, ConnectionPool
from .frontend import NO_ROUTER, FrontendBalancer
from .tasks import TaskSet

ANSWER_TIMEOUT_S = 10.0  # a bad client closes its connection when no answer has come within this time
MAX_ANSWER_BYTES = 200  # only the start of an answer is read, as its first word is the recorded outcome

INVALID_INPUTS: tuple[bytes, ...] = (
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
PARTIAL_COMMANDS: tuple[bytes, ...] = (
    b"mg stock:0000",
    b"ms stock:00000001 4000 O77 Pc=hold-item,d=400\r\nhalf of it",
    b"m",
)


class BadClients:
    """Opens connections that send invalid requests, and counts the outcomes."""

    def __init__(self, frontend: FrontendBalancer, pool: ConnectionPool, random_draws: UniformDraws) -> None:
        # Connections by outcome: the first word of the answer, or closed, reset, refused or nothing.
        self.outcomes: Counter[str] = Counter()
        self._frontend = frontend
        self._pool = pool
        self._random_draws = random_draws
        self._tasks = TaskSet()

    def start(self, connections_per_s: float, duration_s: float, is_partial: bool) -> None:
        """Open connections at a rate for a duration.

        They send an incomplete command if ``is_partial`` is true, else invalid input.
        """
        loop = asyncio.get_running_loop()
        for number in range(int(connections_per_s * duration_s)):
            loop.call_later(number / connections_per_s, self._start_client, is_partial)

    def stop(self) -> None:
        """Cancel the clients that are still connected."""
        self._tasks.cancel()

    def _start_client(self, is_partial: bool) -> None:
        self._tasks.start(self._run_client(is_partial))

    async def _run_client(self, is_partial: bool) -> None:
        router = self._frontend.next_router()
        if router == NO_ROUTER or self._pool.is_full:
            return
        choice = int(self._random_draws.next() * len(INVALID_INPUTS))
        data = PARTIAL_COMMANDS[choice % len(PARTIAL_COMMANDS)] if is_partial else INVALID_INPUTS[choice]
        self._pool.open_count += 1
        try:
            outcome = await self._exchange(router, data)
        finally:
            self._pool.open_count -= 1
        self.outcomes[outcome] += 1

    async def _exchange(self, router: int, data: bytes) -> str:
        """Send bytes to a router and return the outcome."""
        outcome = "refused"
        try:
            address = self._pool.addresses[router]
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), CONNECT_TIMEOUT_S)
            try:
                writer.write(data)
                answer = await asyncio.wait_for(reader.read(MAX_ANSWER_BYTES), ANSWER_TIMEOUT_S)
                outcome = answer.split(b"\r\n")[0].split(b" ")[0].decode("latin-1") or "closed"
            except TimeoutError:
                outcome = "nothing"
            finally:
                writer.transport.abort()
        except (OSError, TimeoutError):
            outcome = "reset" if outcome == "refused" else outcome
        return outcome
