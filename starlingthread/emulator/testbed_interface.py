"""What faults can do to the running platform."""

from __future__ import annotations

import signal
from typing import Protocol

from ..experiment.records import FaultRecord
from ..experiment.scenario import Scenario


class Testbed(Protocol):
    """The running platform, as far as faults act on it. Servers and routers are named by their numbers."""

    scenario: Scenario

    async def call_server(self, number: int, method: str) -> None:
        """Call a method of a server. Raise a ConnectionError if the process that plays it has ended."""

    async def set_server_attribute(self, number: int, name: str, value: float) -> None:
        """Set an attribute of a server."""

    async def set_link_conditions(self, number: int, groups: list[int], conditions: dict[str, float], /) -> None:
        """Change a server's links to some groups of routers, all if none is named."""

    def publish_status(self, number: int, status: str, restarted: bool = False) -> None:
        """Change a server's status at discovery."""

    def set_discovery_down(self, is_down: bool) -> None:
        """Take discovery down, or up again."""

    def partition_discovery(self, routers: set[int], is_partitioned: bool, /) -> None:
        """Partition routers from discovery, or end that."""

    def delay_discovery(self, delay_ms: float, /) -> None:
        """Let each call to discovery take so much longer."""

    def silence_watches(self) -> None:
        """Let the watches that are open now fall silent for good."""

    def partition_peers(self, routers: set[int], is_partitioned: bool, /) -> None:
        """Partition routers from their peers, so that datagrams reach only one another, or end that."""

    def set_datagram_loss(self, share: float) -> None:
        """Drop a share of the datagrams between routers."""

    def slow_origin(self, factor: float) -> None:
        """Let the requests to the origin take longer by a factor."""

    async def call_clients(self, method: str, *arguments: object) -> None:
        """Call a method of all processes that play clients."""

    async def bad_clients(self, per_second: float, seconds: float, half_commands: bool, /) -> None:
        """Start clients that send garbage, or half commands."""

    async def kill_router(self, number: int) -> None:
        """Kill a router with SIGKILL."""

    async def start_router(self, number: int) -> None:
        """Start a router; clients use it as soon as it is ready."""

    async def restart_router(self, number: int) -> None:
        """Shut a router down gracefully and start its successor."""

    async def signal_and_restart_router(self, number: int) -> None:
        """Send a router signals in series, the last SIGTERM, kill it as early as allowed and start its successor."""

    def signal_router(self, number: int, which: signal.Signals, /) -> None:
        """Send a signal to a router."""

    def record_fault(self, record: FaultRecord, /) -> None:
        """Write a fault that was injected to the ledger."""
