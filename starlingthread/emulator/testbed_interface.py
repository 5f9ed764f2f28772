"""Interface through which faults act on the running platform."""

from __future__ import annotations

import signal
from typing import Protocol

from ..experiment.records import FaultRecord
from ..experiment.scenario import Scenario


class Testbed(Protocol):
    """The operations of the running platform that faults use. Servers and routers are identified by their numbers."""

    scenario: Scenario

    async def call_server(self, number: int, method: str) -> None:
        """Call a method of a server. Raise a ConnectionError if its worker process has ended."""

    async def set_server_attribute(self, number: int, name: str, value: float) -> None:
        """Set an attribute of a server."""

    async def set_link_conditions(self, number: int, groups: list[int], conditions: dict[str, float], /) -> None:
        """Set conditions of the links between a server and the given groups of routers; an empty list selects all."""

    def publish_status(self, number: int, status: str, restarted: bool = False) -> None:
        """Publish a status of a server at discovery."""

    def set_discovery_down(self, is_down: bool) -> None:
        """Take discovery down, or restore it."""

    def partition_discovery(self, routers: set[int], is_partitioned: bool, /) -> None:
        """Start or end a partition between routers and discovery."""

    def delay_discovery(self, delay_ms: float, /) -> None:
        """Delay each call to discovery by the given time."""

    def silence_watches(self) -> None:
        """Stop sending on the watches that are open now, without closing them."""

    def partition_peers(self, routers: set[int], is_partitioned: bool, /) -> None:
        """Start or end a partition between the given routers and all others, which blocks datagrams between them."""

    def set_datagram_loss(self, share: float) -> None:
        """Drop a share of the datagrams between routers."""

    def slow_origin(self, factor: float) -> None:
        """Multiply the duration of requests to the origin by a factor."""

    async def call_clients(self, method: str, *arguments: object) -> None:
        """Call a method of all worker processes that emulate clients."""

    async def bad_clients(self, connections_per_s: float, duration_s: float, is_partial: bool, /) -> None:
        """Start clients that send invalid input, or incomplete commands if ``is_partial`` is true."""

    async def kill_router(self, number: int) -> None:
        """Kill a router with SIGKILL."""

    async def start_router(self, number: int) -> None:
        """Start a router; clients connect to it as soon as it is ready."""

    async def restart_router(self, number: int) -> None:
        """Shut a router down gracefully and start a new process."""

    async def signal_and_restart_router(self, number: int) -> None:
        """Send a router signals that end with SIGTERM, kill it as early as allowed, and start a new process."""

    def signal_router(self, number: int, signal_number: signal.Signals, /) -> None:
        """Send a signal to a router."""

    def record_fault(self, record: FaultRecord, /) -> None:
        """Append a fault that was injected to the ledger."""
