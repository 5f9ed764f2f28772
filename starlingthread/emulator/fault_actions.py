"""Base class of fault actions, and the context in which they begin and end on the testbed."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import ClassVar

from ..experiment.scenario import Fault
from .testbed_interface import Testbed


@dataclass(frozen=True)
class InjectedFault:
    """A fault, its targets, and the testbed into which it is injected."""

    fault: Fault
    affected: tuple[int, ...]  # numbers of the targeted servers or routers
    testbed: Testbed
    schedule: Callable[[float, Callable[[], Awaitable[None]]], None]  # runs a coroutine function after a delay in s

    async def call_servers(self, method: str) -> None:
        """Call a method of each affected server."""
        await self.call_each(self.affected, method)

    async def call_each(self, servers: tuple[int, ...], method: str) -> None:
        """Call a method of the given servers; skip servers whose worker process has ended."""
        for number in servers:
            with contextlib.suppress(ConnectionError):
                await self.testbed.call_server(number, method)

    def publish_later(self, delay_ms: float, status: str, restarted: bool = False) -> None:
        """Publish a status of the affected servers at discovery after a delay."""

        async def publish() -> None:
            for number in self.affected:
                self.testbed.publish_status(number, status, restarted)

        self.schedule(delay_ms / 1000.0, publish)

    def publish_crash_later(self) -> None:
        """Publish the affected servers as terminated once discovery has detected the crash."""
        self.publish_later(self.testbed.scenario.discovery.crash_notice_ms, "terminated")

    def publish_recovery_later(self, restarted: bool) -> None:
        """Publish the affected servers as in service once discovery has detected their recovery."""
        self.publish_later(self.testbed.scenario.discovery.notice_ms, "in_service", restarted)


class FaultAction:
    """Begins and ends one kind of fault. Some kinds end on their own, and some do not affect servers."""

    affects_servers: ClassVar[bool] = False

    async def begin(self, injected: InjectedFault) -> None:
        """Begin the fault."""
        raise NotImplementedError

    async def end(self, injected: InjectedFault) -> None:
        """End the fault; does nothing for a kind that ends on its own."""
