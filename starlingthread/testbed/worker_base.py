"""What all worker processes of a run have in common: calls of the coordinator, a ledger, and a watch on stalls."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar

import msgspec

from ..emulator.messages import Call, CoordinatorMessage
from ..emulator.rpc_channel import RpcChannel
from ..emulator.schedule import EventLoopScheduler
from ..experiment.records import Ledger
from ..experiment.scenario import Scenario

_LAG_PERIOD_S = 0.005

Command = Callable[..., Awaitable[Any]]


class Worker:
    """A process of a run. ``commands`` are the methods that the coordinator may call, by name."""

    role: ClassVar[str]

    def __init__(self, number: int) -> None:
        self.number = number
        self.ledger = Ledger()
        self.loop = asyncio.get_running_loop()
        self.schedule = EventLoopScheduler(self.loop)
        self.channel: RpcChannel
        self.scenario: Scenario
        self.ended = asyncio.Event()
        self.commands: dict[str, Command] = {"reset_lag": self.reset_lag, "collect": self.collect}
        self._longest_lag = 0.0  # ms
        self._lag_checked_at = self.loop.time()

    def watch_lag(self) -> None:
        """Measure periodically by how much this process runs late, and record the maximum."""
        now = self.loop.time()
        self._longest_lag = max(self._longest_lag, (now - self._lag_checked_at - _LAG_PERIOD_S) * 1000.0)
        self._lag_checked_at = now
        self.loop.call_later(_LAG_PERIOD_S, self.watch_lag)

    def on_message(self, channel: RpcChannel, fields: list[Any]) -> None:
        """Handle a message of the coordinator."""
        message: CoordinatorMessage = msgspec.convert(fields, CoordinatorMessage)
        if isinstance(message, Call):
            self.loop.create_task(self._execute(message))
        else:
            self.on_event(message)

    def on_event(self, event: CoordinatorMessage) -> None:
        """Handle a message that is no call."""

    async def _execute(self, call: Call) -> None:
        try:
            result = await self.commands[call.method](*call.arguments)
            self.channel.reply(call, True, result)
        except Exception as error:  # the coordinator gets the text and ends the run
            self.channel.reply(call, False, f"{call.method}: {error!r}")

    async def reset_lag(self) -> None:
        """Measure the lag anew, now that all is set up."""
        gc.collect()
        gc.freeze()
        self._lag_checked_at = self.loop.time()
        self._longest_lag = 0.0

    async def collect(self) -> bytes:
        """Return the encoded ledger."""
        self.ledger.lags[f"{self.role}-{self.number}"] = round(self._longest_lag, 2)
        return msgspec.msgpack.encode(self.ledger)
