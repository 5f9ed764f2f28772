"""What kinds of faults have in common: they begin and end on the testbed, and have targets."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import ClassVar

from ..experiment.scenario import Fault
from .testbed_interface import Testbed


@dataclass(frozen=True)
class InjectedFault:
    """A fault with its targets, and the testbed that it is injected into."""

    fault: Fault
    affected: tuple[int, ...]  # servers or routers
    testbed: Testbed
    schedule: Callable[[float, Callable[[], Awaitable[None]]], None]  # does something after a delay in seconds

    async def call_servers(self, method: str) -> None:
        """Call a method of each affected server."""
        await self.call_each(self.affected, method)

    async def call_each(self, servers: tuple[int, ...], method: str) -> None:
        """Call a method of some servers, as far as the processes that play them still run."""
        for number in servers:
            with contextlib.suppress(ConnectionError):
                await self.testbed.call_server(number, method)

    def publish_later(self, delay_ms: float, status: str, restarted: bool = False) -> None:
        """Change the status of the affected servers at discovery after a delay."""

        async def publish() -> None:
            for number in self.affected:
                self.testbed.publish_status(number, status, restarted)

        self.schedule(delay_ms / 1000.0, publish)

    def publish_crash_later(self) -> None:
        """Let discovery notice that the affected servers are gone."""
        self.publish_later(self.testbed.scenario.discovery.crash_notice_ms, "terminated")

    def publish_return_later(self, restarted: bool) -> None:
        """Let discovery list the affected servers again."""
        self.publish_later(self.testbed.scenario.discovery.notice_ms, "in_service", restarted)


class FaultAction:
    """How one kind of fault begins and ends. Some kinds end by themselves, and some affect no servers."""

    affects_servers: ClassVar[bool] = False

    async def begin(self, injected: InjectedFault) -> None:
        """Begin the fault."""
        raise NotImplementedError

    async def end(self, injected: InjectedFault) -> None:
        """End the fault, unless it ends by itself."""
