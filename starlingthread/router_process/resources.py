"""The listening sockets and resource limits that this process shares with another one during an upgrade."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from pathlib import Path

from ..core.task_supervisor import TaskSupervisor
from ..handover.channel import InheritedSockets
from ..limits.budgets import split_budgets
from ..net.management import ManagementServer
from .actors import RouterActors
from .configuration import ActiveConfiguration

DEFAULT_RESIDENT_MB = 20.0  # Assumed where the system does not provide the resident set size.
CLIENTS, PEERS = "clients", "peers"  # The names of the sockets in the handover protocol.


def resident_mb() -> float:
    """Return the resident set size of this process in MB."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
    except (OSError, ValueError, IndexError):
        return DEFAULT_RESIDENT_MB


def inherited_socket(inherited: InheritedSockets | None, use: str, address: tuple[str, int]) -> socket.socket | None:
    """Remove and return the handed-over socket for a use and address; None if there is none."""
    return inherited.sockets.pop(f"{use} {address}", None) if inherited is not None else None


class SharedResources:
    """The :class:`~starlingthread.handover.actor.ServingProcess` of a router."""

    def __init__(
        self,
        actors: RouterActors,
        management: ManagementServer,
        configuration: ActiveConfiguration,
        supervisor: TaskSupervisor,
        stop_requested: asyncio.Event,
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self._actors = actors
        self._management = management
        self._configuration = configuration
        self._supervisor = supervisor
        self._stop_requested = stop_requested
        self._on_failure = on_failure
        self._idle_mb = resident_mb()  # The memory of this process before any connection is open.

    def sockets(self) -> dict[str, socket.socket]:
        """Return the listening sockets by use and address."""
        sockets = {CLIENTS: self._actors.clients.socket, PEERS: self._actors.peers.socket}
        return {f"{use} {sock.getsockname()}": sock for use, sock in sockets.items() if sock is not None}

    def apply_resource_share(self, share: float) -> None:
        """Use at most this share, 0 to 1, of the configured descriptors and memory."""
        config = self._configuration.config
        has_management = config.management is not None
        budgets = split_budgets(config.sockets, config.memory, self._idle_mb, share, has_management)
        self._actors.apply_budgets(budgets)
        self._management.max_connections = budgets.management_connections

    def pause_accepting(self) -> None:
        """Stop accepting connections and receiving datagrams, as a new process serves from now on."""
        self._actors.clients.pause_accepting()
        self._actors.members.pause()
        self._actors.failover.stop()
        self._actors.peers.pause_receiving()

    def resume_accepting(self) -> None:
        """Accept again after the new process has ended, unless this one is shutting down."""
        if not self._stop_requested.is_set():
            self._supervisor.start(self._resume(), "resume", self._on_failure)

    async def _resume(self) -> None:
        await self._actors.clients.resume_accepting()
        await self._actors.peers.resume_receiving()
        self._configuration.apply_membership()
        self._configuration.apply_failover()
