"""The life cycle of one router process, from startup to the end of the graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from pathlib import Path

from ..config import Config
from ..core.counters import Counters
from ..core.event_loop import MeteredEventLoop
from ..core.task_supervisor import TaskSupervisor
from ..handover.actor import Handover
from ..handover.channel import InheritedSockets
from ..handover.endpoint_exchange import EndpointExchange
from ..handover.execution_exchange import ExecutionExchange
from ..logs import LogWriter, log
from ..net.management import ManagementServer
from ..options import Options
from . import shutdown
from .actors import RouterActors
from .configuration import ActiveConfiguration
from .control import OperatorControl
from .garbage import GarbageCollector
from .resources import CLIENTS, PEERS, SharedResources, inherited_socket

# A new process waits at most this long for discovery before it reports that it serves.
DISCOVERY_TIMEOUT_S = 2.0


def shared_folder(config: Config) -> Path | None:
    """Return the folder that the old and the new process share during an upgrade.

    None without a management address, as a new process could not be asked then whether it is ready.
    """
    folder = os.environ.get("TMPDIR")
    return Path(folder) if folder and config.management is not None else None


class RouterProcess:
    """Owns the components of one router process, and starts and stops them in order."""

    def __init__(
        self,
        config: Config,
        log_writer: LogWriter,
        inherited: InheritedSockets | None = None,
        options: Options | None = None,
        early_signals: list[int] | None = None,
    ) -> None:
        options = options or Options()
        config = config._replace(settings=options.apply_to(config.settings))
        folder = shared_folder(config)
        self.counters = Counters()
        self.supervisor = TaskSupervisor()
        self.stop_requested = asyncio.Event()
        self.is_serving = False  # Whether the client listener is bound.
        self.exit_code = 0
        self.actors = RouterActors(config, self.supervisor, self.counters)
        self.configuration = ActiveConfiguration(config, options, self.actors, self.counters, log_writer)
        self.control = OperatorControl(self.actors, folder, self._accepts_clients)
        router = self.actors.router
        self._early_signals = early_signals if early_signals is not None else []
        self._garbage_collector = GarbageCollector(router.clock, router.deadlines, self.counters)
        self._management = ManagementServer(
            self.control, self.supervisor, router.clock, self.counters, router.deadlines, max_connections=0
        )
        resources = SharedResources(
            self.actors, self._management, self.configuration, self.supervisor, self.stop_requested, self._on_failure
        )
        executions = ExecutionExchange(router.balancer.fleet.executions, router.clock)
        endpoints = EndpointExchange(self.actors.discovery, router.clock)
        self.actors.discovery.on_list = endpoints.on_list
        self._handover = Handover(resources, self.supervisor, self.counters, folder, inherited, executions, endpoints)
        resources.apply_resource_share(self._handover.resource_share)

    async def run(self) -> int:
        """Serve until a signal arrives or an actor fails, then shut down and return the exit code."""
        loop = asyncio.get_running_loop()
        if isinstance(loop, MeteredEventLoop):
            self.actors.router.core_load.cpu.idle_seconds = loop.idle_seconds
        self._install_signal_handlers()
        await self._start()
        await self.stop_requested.wait()
        if self.exit_code == 0:
            log.info("stopping", **{"requests.open": len(self.actors.router.requests)})
            await shutdown.drain(self.actors.clients, self.actors.router)
        self._handover.close()
        self._management.close()
        self.actors.close()
        await self.supervisor.stop()
        self._log_counters()
        return self.exit_code

    # Startup.

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGUSR1, self._log_counters)
        loop.add_signal_handler(signal.SIGHUP, self.configuration.reload)
        if signal.SIGHUP in self._early_signals:
            loop.call_soon(self.configuration.reload)

    async def _start(self) -> None:
        """Start the components in the order of their dependencies, and log when clients are served."""
        config = self.configuration.config
        if config.cached_list is not None:
            self.actors.discovery.load_cached_list(config.cached_list)
        self.control.poll_maintenance()
        self.actors.router.begin()
        self._run_discovery()
        self.supervisor.start(self.actors.router.run(), "router", self._on_failure)
        if config.management is not None:
            await self._management.listen(*config.management)
        await self._handover.start()
        await self._wait_for_discovery()
        await asyncio.sleep(0)  # The router's task runs for the first time and applies the cached list.
        await self._listen()
        self._handover.on_serving()
        self.is_serving = True
        servers = self.actors.router.balancer.fleet.servers
        log.info("started", name=self.configuration.config.name, servers=len(servers))
        self._garbage_collector.start()

    async def _wait_for_discovery(self) -> None:
        """Wait for discovery's first list if it must be known before this process reports that it serves.

        This is the case in an upgrade, and with pushed lists, as the router must follow a pushed list at once.
        """
        if self._handover.inherited is None and not self.actors.discovery.lists_pushed:
            return
        self.actors.discovery.watch(True)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.actors.router.discovery_reached.wait(), DISCOVERY_TIMEOUT_S)

    async def _listen(self) -> None:
        """Bind the sockets for peers and clients, or use those that an old process handed over."""
        inherited = self._handover.inherited
        peer_listen = self.configuration.config.peer_listen
        if peer_listen is not None:
            await self.actors.peers.listen(*peer_listen, inherited_socket(inherited, PEERS, peer_listen))
            self.configuration.apply_membership()
        self.configuration.apply_failover()
        listen = self.configuration.config.listen
        await self.actors.clients.listen(*listen, inherited_socket(inherited, CLIENTS, listen))
        if inherited is not None:
            # Once the old process has ended, a socket left open here would queue connections that are never accepted.
            for unused in inherited.sockets.values():
                unused.close()

    def _run_discovery(self) -> None:
        self.supervisor.start(self.actors.discovery.run(), "discovery", self._restart_discovery)

    def _restart_discovery(self, error: BaseException) -> None:
        self.actors.discovery.report_failure(repr(error))
        self._run_discovery()

    # Operation.

    def _accepts_clients(self) -> bool:
        return self.is_serving and not self.stop_requested.is_set()

    def _on_failure(self, error: BaseException) -> None:
        """End the process with exit code 1, without draining: an essential actor has failed."""
        self.exit_code = 1
        self.stop_requested.set()

    def _log_counters(self) -> None:
        log.info("counters", **dict(sorted(self.counters.items())), **self.actors.open_counts())
