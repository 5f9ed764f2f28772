"""The base class of all worker processes of a run: calls from the coordinator, a ledger, and event loop lag."""

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

_LAG_CHECK_PERIOD_S = 0.005

Method = Callable[..., Awaitable[Any]]


class Worker:
    """A process of a run. ``methods`` holds those that the coordinator may call, by name."""

    role: ClassVar[str]

    def __init__(self, number: int) -> None:
        self.number = number
        self.ledger = Ledger()
        self.loop = asyncio.get_running_loop()
        self.schedule = EventLoopScheduler(self.loop)
        self.channel: RpcChannel
        self.scenario: Scenario
        self.ended = asyncio.Event()
        self.methods: dict[str, Method] = {"reset_lag": self.reset_lag, "collect": self.collect}
        self._max_lag_ms = 0.0
        self._lag_checked_at_s = self.loop.time()

    def monitor_lag(self) -> None:
        """Periodically measure the lag of this process's event loop, and record the maximum."""
        now = self.loop.time()
        self._max_lag_ms = max(self._max_lag_ms, (now - self._lag_checked_at_s - _LAG_CHECK_PERIOD_S) * 1000.0)
        self._lag_checked_at_s = now
        self.loop.call_later(_LAG_CHECK_PERIOD_S, self.monitor_lag)

    def on_message(self, channel: RpcChannel, fields: list[Any]) -> None:
        """Handle a message from the coordinator."""
        message: CoordinatorMessage = msgspec.convert(fields, CoordinatorMessage)
        if isinstance(message, Call):
            self.loop.create_task(self._execute(message))
        else:
            self.on_event(message)

    def on_event(self, event: CoordinatorMessage) -> None:
        """Handle a message that is not a call."""

    async def _execute(self, call: Call) -> None:
        try:
            result = await self.methods[call.method](*call.arguments)
            self.channel.reply(call, True, result)
        except Exception as error:  # the coordinator receives the text and ends the run
            self.channel.reply(call, False, f"{call.method}: {error!r}")

    async def reset_lag(self) -> None:
        """Restart the measurement of lag after the set-up, and exempt the objects created so far from collection."""
        gc.collect()
        gc.freeze()
        self._lag_checked_at_s = self.loop.time()
        self._max_lag_ms = 0.0

    async def collect(self) -> bytes:
        """Return the encoded ledger."""
        self.ledger.lags[f"{self.role}-{self.number}"] = round(self._max_lag_ms, 2)
        return msgspec.msgpack.encode(self.ledger)
