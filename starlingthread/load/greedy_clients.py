"""Clients within the protocol that make a router hold or start as much as they can, and then leave or wait."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from enum import Enum

from ..experiment.randomness import UniformDraws
from ..experiment.records import GreedyRequest, Ledger
from ..experiment.scenario import RequestClass, Scenario
from .connection import CONNECT_TIMEOUT_S
from .operations import now_ms
from .tasks import TaskSet

PIPELINED_COMMANDS = 300
PIPELINE_FIELD_BYTES = 1400
SHORT_FIELDS = b",".join(b"%x=" % number for number in range(16, 420))
SHORT_FIELD_COMMANDS = 16
HASTY_COMMANDS = 64
HASTY_BATCHES = 40
HASTY_TIMEOUT_MS = 5
LARGE_VALUE_BYTES = 400_000
WRITE_TIMEOUT_MS = 1200
READ_BYTES = 1 << 16
LEAVE_AFTER_S = 0.1
HOLD_S = 1.5
# An answer that comes later than this after its time is lost.
LOST_AFTER_MS = 500.0


class GreedyBehavior(Enum):
    """What one client does with its connection."""

    PIPELINE_AND_LEAVE = "pipeline-and-leave"
    SHORT_FIELDS = "short-fields"
    HALF_LARGE_VALUE = "half-large-value"
    LARGE_WRITE = "large-write"
    HASTY_FLOOD = "hasty-flood"
    REPEAT_AFTER_LEAVING = "repeat-after-leaving"


class GreedyClients:
    """Opens connections of such clients at a rate; each behaves in a way that is drawn from the run's seed."""

    def __init__(
        self, scenario: Scenario, worker: int, addresses: list[tuple[str, int]], draws: UniformDraws, ledger: Ledger
    ) -> None:
        classes = scenario.traffic.classes
        self._read = next((c for c in classes if not c.write), classes[0])
        self._write = next((c for c in classes if c.write), None)
        self._once = next((c for c in classes if c.effect == "once"), None)
        self._worker = worker
        self._addresses = addresses
        self._draws = draws
        self._ledger = ledger
        self._tasks = TaskSet()
        self._last_number = 0
        self.outcomes: Counter[str] = Counter()

    def start(self, connections_per_s: float, duration_s: float) -> None:
        """Open connections at a rate for a duration."""
        loop = asyncio.get_running_loop()
        for number in range(int(connections_per_s * duration_s)):
            loop.call_later(number / connections_per_s, lambda: self._tasks.start(self._run_client()))

    def stop(self) -> None:
        """Disconnect all clients."""
        self._tasks.cancel()

    async def _run_client(self) -> None:
        router = int(self._draws.next() * len(self._addresses))
        address = self._addresses[router]
        behaviors = list(GreedyBehavior)
        behavior = behaviors[int(self._draws.next() * len(behaviors))]
        self.outcomes[behavior.value] += 1
        with contextlib.suppress(OSError, TimeoutError):
            match behavior:
                case GreedyBehavior.PIPELINE_AND_LEAVE:
                    await self._pipeline_and_leave(router)
                case GreedyBehavior.SHORT_FIELDS:
                    fields = b"," + SHORT_FIELDS
                    await self._send_and_hold(
                        address, b"".join(self._read_command(fields) for _ in range(SHORT_FIELD_COMMANDS))
                    )
                case GreedyBehavior.HALF_LARGE_VALUE:
                    await self._send_and_hold(address, self._large_write(self._next_id())[: LARGE_VALUE_BYTES // 2])
                case GreedyBehavior.LARGE_WRITE:
                    await self._write_large_value(router)
                case GreedyBehavior.HASTY_FLOOD:
                    await self._flood(address)
                case GreedyBehavior.REPEAT_AFTER_LEAVING:
                    await self._repeat_after_leaving(router)

    # commands

    def _next_id(self) -> str:
        self._last_number += 1
        prefix = f"greedy-{self._worker}"
        self._ledger.greedy_request_counts[prefix] = self._last_number
        return f"{prefix}-{self._last_number}"

    def _read_command(self, fields: bytes = b"", timeout_ms: float = 0.0, request_id: str = "") -> bytes:
        name, identity = self._read.name.encode(), (request_id or self._next_id()).encode()
        timeout = int(timeout_ms or self._read.deadline_ms)
        return b"mg %b v O%b Pc=%b,d=%d%b\r\n" % (identity, identity, name, timeout, fields)

    def _large_write(self, request_id: str) -> bytes:
        request_class: RequestClass = self._write or self._read
        identity = request_id.encode()
        head = b"ms %b %d O%b Pc=%b,d=%d,k=%b\r\n"
        values = (identity, LARGE_VALUE_BYTES, identity, request_class.name.encode(), WRITE_TIMEOUT_MS, identity)
        return head % values + b"v" * LARGE_VALUE_BYTES + b"\r\n"

    # behaviors

    @staticmethod
    async def _connect(address: tuple[str, int]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.wait_for(asyncio.open_connection(*address), CONNECT_TIMEOUT_S)

    async def _pipeline_and_leave(self, router: int) -> None:
        _, writer = await self._connect(self._addresses[router])
        ids = [self._next_id() for _ in range(PIPELINED_COMMANDS)]
        field = b",x=" + b"x" * PIPELINE_FIELD_BYTES
        try:
            writer.write(b"".join(self._read_command(field, request_id=request_id) for request_id in ids))
            await asyncio.sleep(LEAVE_AFTER_S)
        finally:
            writer.transport.abort()
            left_at = now_ms()
            self._ledger.departures += [GreedyRequest(request_id, router, left_at) for request_id in ids]

    async def _send_and_hold(self, address: tuple[str, int], data: bytes) -> None:
        _, writer = await self._connect(address)
        try:
            writer.write(data)
            await asyncio.sleep(HOLD_S)
        finally:
            writer.transport.abort()

    async def _write_large_value(self, router: int) -> None:
        """Write a value and count whether its answer came in time, from when the system has taken the last byte."""
        request_id = self._next_id()
        reader, writer = await self._connect(self._addresses[router])
        try:
            writer.transport.set_write_buffer_limits(0)
            writer.write(self._large_write(request_id))
            await writer.drain()
            sent_at = now_ms()
            timeout_s = (WRITE_TIMEOUT_MS + LOST_AFTER_MS) / 1000.0
            try:
                line = await asyncio.wait_for(reader.readline(), timeout_s)
                outcome = "large-write-answered" if line else "large-write-closed"
            except TimeoutError:
                outcome = "large-write-unanswered"
                self._ledger.late_writes.append(GreedyRequest(request_id, router, sent_at))
            self.outcomes[outcome] += 1
        finally:
            writer.transport.abort()

    async def _flood(self, address: tuple[str, int]) -> None:
        reader, writer = await self._connect(address)
        try:
            for _ in range(HASTY_BATCHES):
                writer.write(b"".join(self._read_command(timeout_ms=HASTY_TIMEOUT_MS) for _ in range(HASTY_COMMANDS)))
                await asyncio.wait_for(reader.read(READ_BYTES), HOLD_S)
        finally:
            writer.transport.abort()

    async def _repeat_after_leaving(self, router: int) -> None:
        """Send a write that must not run twice, leave, and send the same id on another connection."""
        if self._once is None:
            return
        identity = self._next_id().encode()
        timeout = int(self._once.deadline_ms)
        command = b"ms %b 1 O%b Pc=%b,d=%d\r\nx\r\n" % (identity, identity, self._once.name.encode(), timeout)
        for _ in range(2):
            _, writer = await self._connect(self._addresses[router])
            try:
                writer.write(command)
                await asyncio.sleep(LEAVE_AFTER_S / 20)
            finally:
                writer.transport.abort()
            await asyncio.sleep(LEAVE_AFTER_S * self._draws.next())
        self._ledger.repeated.append(GreedyRequest(identity.decode(), router, now_ms()))
