"""The running platform of servers, origin, discovery, datagram relay and routers, controlled by runs and faults."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import numpy as np
import tomli_w

from ..emulator.datagram_relay import DatagramRelay
from ..emulator.discovery_server import DiscoveryServer, ListedServer
from ..emulator.fault_injector import DEREGISTRATION_DELAY_S
from ..emulator.load_oracle import create_oracle_file, server_name
from ..emulator.messages import KeyWritten, OriginAnswer, OriginFetch, OriginWrite, OverloadCrash, WorkerMessage
from ..emulator.origin_model import OriginModel
from ..emulator.router_process import OPTIONS_FILE, ORACLE_FILE, RouterProcess
from ..emulator.rpc_channel import RpcChannel
from ..emulator.schedule import EventLoopScheduler
from ..experiment.records import LISTED_PREFIX, FaultRecord, Ledger, ServerEvent, StatusNotification
from ..experiment.scenario import Scenario
from .errors import RunError
from .frontend_monitor import FrontendMonitor
from .worker_processes import WorkerProcesses

ROUTER_STOP_TIMEOUT_S = 8.0  # time for a router to end after SIGTERM
ORACLE_POLICY = "truth"
SIGNALS_BEFORE_TERM = (signal.SIGHUP, signal.SIGHUP, signal.SIGUSR1)
SIGNALS_DURING_SHUTDOWN = (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM)
SIGNALS_DURING_START = (signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP)
SHUTDOWN_SIGNAL_DELAY_S = 0.1
START_SIGNAL_DELAY_S = 0.05
# SIGKILL is sent at the earliest after the longest deadline, capped at MAX_TERM_DEADLINE_MS, plus TERM_TO_KILL_S.
MAX_TERM_DEADLINE_MS = 3000.0
TERM_TO_KILL_S = 0.7

_Address = tuple[str, int]


class PlatformInfo(NamedTuple):
    """The part of a router's configuration that describes the platform."""

    discovery_port: int
    peers: list[_Address]
    broadcast_address: _Address
    endpoint_list: dict[str, Any]


class Platform:
    """The emulated platform with the routers under test. Implements the fault injector's ``Testbed`` protocol."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        origin_rng: np.random.Generator,
        relay_rng: np.random.Generator,
        has_clients: bool,
    ) -> None:
        self.scenario = scenario
        self.folder = folder
        self.ledger = Ledger()
        self.schedule = EventLoopScheduler(asyncio.get_running_loop())
        self.origin = OriginModel(scenario.origin, self.schedule, origin_rng)
        self.origin.on_write = self._broadcast_write
        self.relay = DatagramRelay(scenario.datagrams, relay_rng)
        self.discovery = DiscoveryServer(scenario.routers.count, scenario.discovery.call_ms, self.ledger.notifications)
        self.routers = [RouterProcess(n, scenario, folder, self.ledger) for n in range(scenario.routers.count)]
        self.workers = WorkerProcesses(scenario, has_clients, self._on_message)
        self._frontend = FrontendMonitor(self.call_clients)
        self._servers: dict[int, ListedServer] = {}

    # start and stop

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Start the platform without routers; on exit stop all that was started, including the routers.

        Raise a RunError if a part of the testbed itself fails.
        """
        try:
            await self._start()
            yield
        except* RunError as group:
            raise group.exceptions[0] from None
        except* (ConnectionError, RuntimeError) as group:
            raise RunError(f"the emulated platform failed: {group.exceptions[0]}") from group
        finally:
            await self._stop()

    async def _start(self) -> None:
        self._write_router_options()
        await self.workers.start()
        ports = await self._set_up_servers()
        self._servers = {number: self._listed_server(number, ports[number]) for number in sorted(ports)}
        for number in range(self.scenario.fleet.cold_servers):
            self._mark_started(self._servers[number])
        self.discovery.entries = dict(self._servers)
        await self.discovery.start()
        await self.relay.start([router.peer_listen for router in self.routers])

    async def _stop(self) -> None:
        self.workers.expect_end()
        for router in self.routers:
            await router.kill()
        await self.workers.stop()
        self.relay.stop()
        await self.discovery.stop()

    def _write_router_options(self) -> None:
        """Write the routers' options file; call this before any router starts, as it could read an incomplete file."""
        options = self.scenario.routers.options
        if options:
            (self.folder / OPTIONS_FILE).write_text(tomli_w.dumps(options))

    async def _set_up_servers(self) -> dict[int, list[int]]:
        """Start the servers; return the ports of each server, one for each group of routers."""
        oracle_path = ""
        if self.scenario.routers.policy == ORACLE_POLICY:
            oracle_path = str(self.folder / ORACLE_FILE)
            create_oracle_file(self.folder / ORACLE_FILE, self.scenario.fleet.servers)
        ports: dict[int, list[int]] = {}
        for channel in self.workers.server_channels:
            ports.update(await channel.call("setup", msgspec.to_builtins(self.scenario), oracle_path))
        return ports

    def _listed_server(self, number: int, ports: list[int]) -> ListedServer:
        zones = self.scenario.fleet.zones
        addresses = [f"127.0.0.1:{port}" for port in ports]
        return ListedServer(number, server_name(number), addresses, zones[number % len(zones)])

    def _mark_started(self, server: ListedServer) -> None:
        server.since_ms = int(time.time() * 1000.0)
        server.started_at = self.schedule.now()

    def server_addresses(self) -> list[_Address]:
        """Return the address of each server, for clients that connect to the servers directly."""
        addresses = [server.addresses[0].rpartition(":") for server in self._servers.values()]
        return [(host, int(port)) for host, _, port in addresses]

    def counters(self) -> dict[str, float]:
        """Return the counters of origin, discovery and relay by their names in the results."""
        return {
            "origin.fetches": self.origin.fetches,
            "origin.writes": self.origin.writes,
            "origin.repeats_dropped": self.origin.deduplicated_writes,
            "origin.failures": self.origin.failures,
            "discovery.calls": self.discovery.requests,
            "discovery.failed": self.discovery.failed_requests,
            "datagrams.sent": self.relay.sent,
            "datagrams.delivered": self.relay.delivered,
            "datagrams.dropped": self.relay.dropped,
            "datagrams.too_long": self.relay.oversized,
        }

    # messages from workers

    def _on_message(self, channel: RpcChannel, message: WorkerMessage) -> None:
        match message:
            case OriginFetch(number, key):
                self.origin.fetch(key, lambda version: channel.send_message(OriginAnswer(number, version)))
            case OriginWrite(number, key, idempotency_key):
                self.origin.write(
                    key, idempotency_key, lambda version: channel.send_message(OriginAnswer(number, version))
                )
            case OverloadCrash(server):
                delay_s = self.scenario.discovery.crash_notice_ms / 1000.0
                asyncio.get_running_loop().call_later(delay_s, self.publish_status, server, "terminated")

    def _broadcast_write(self, key: str) -> None:
        for channel in self.workers.server_channels:
            channel.send_message(KeyWritten(key))

    # servers and clients

    async def call_server(self, number: int, method: str) -> None:
        """Call a method of a server. Raise a ConnectionError if the process that runs it has ended."""
        await self.workers.server_channel(number).call("server", number, method, [])

    async def set_server_attribute(self, number: int, name: str, value: float) -> None:
        """Set an attribute of a server."""
        await self.workers.server_channel(number).call("set", number, name, value)

    async def set_link_conditions(self, number: int, groups: list[int], conditions: dict[str, float]) -> None:
        """Change a server's links to the given groups of routers; an empty list stands for all groups."""
        await self.workers.server_channel(number).call("link", number, groups, conditions)

    async def call_clients(self, method: str, *arguments: object) -> None:
        """Call a method of all client processes."""
        for channel in self.workers.client_channels:
            await channel.call(method, *arguments)

    async def bad_clients(self, connections_per_s: float, duration_s: float, is_partial: bool) -> None:
        """Start clients that send invalid input, or incomplete commands if ``is_partial`` is true."""
        await self.workers.client_channels[0].call("bad_clients", connections_per_s, duration_s, is_partial)

    # discovery, origin, datagrams

    def publish_status(self, number: int, status: str, restarted: bool = False) -> None:
        """Change a server's status at discovery."""
        server = self._servers[number]
        server.status = status
        if restarted:
            self._mark_started(server)
        self.discovery.publish(server)
        self.ledger.server_events.append(ServerEvent(number, LISTED_PREFIX + status, self.schedule.now()))

    def set_discovery_down(self, is_down: bool) -> None:
        """Stop discovery or start it again."""
        self.discovery.set_down(is_down)

    def partition_discovery(self, routers: set[int], is_partitioned: bool) -> None:
        """Partition routers from discovery, or end the partition."""
        self.discovery.partition(routers, is_partitioned)

    def delay_discovery(self, delay_ms: float) -> None:
        """Increase the latency of each call to discovery by a delay."""
        self.discovery.request_delay_ms = self.scenario.discovery.call_ms + delay_ms

    def silence_watches(self) -> None:
        """Permanently stop sending updates on the watches that are open now."""
        self.discovery.silence_watches()

    def partition_peers(self, routers: set[int], is_partitioned: bool) -> None:
        """Partition routers from their peers, or end the partition."""
        if is_partitioned:
            self.relay.partitions.append(routers)
        else:
            self.relay.partitions.remove(routers)

    def set_datagram_loss(self, share: float) -> None:
        """Set the share of datagrams between routers that are dropped by a fault."""
        self.relay.extra_loss_rate = share

    def slow_origin(self, factor: float) -> None:
        """Multiply the duration of requests to the origin by a factor."""
        self.origin.slowdown = factor

    def record_fault(self, record: FaultRecord) -> None:
        """Record an injected fault in the ledger."""
        self.ledger.faults.append(record)

    # routers

    def platform_info(self, number: int) -> PlatformInfo:
        """Return the part of a router's configuration that describes the platform."""
        return PlatformInfo(
            self.discovery.ports[number],
            self.relay.addresses,
            self.relay.broadcast_address,
            self.discovery.snapshot(number),
        )

    async def start_router(self, number: int) -> None:
        """Start a router; clients use it as soon as it is ready. Raise a RunError if it does not become ready."""
        now = self.schedule.now()
        self.ledger.notifications.extend(
            StatusNotification(number, server.number, server.status, now, server.started_at)
            for server in self.discovery.entries.values()
        )
        router = self.routers[number]
        await router.start(*self.platform_info(number))
        if not await router.wait_until_ready():
            raise RunError(f"router r{number} did not become ready; the end of its log:\n{router.log_tail()}")
        await self._frontend.restore(number)

    async def kill_router(self, number: int) -> None:
        """Kill a router with SIGKILL."""
        self._remove_unresponsive(number)
        await self.routers[number].kill()

    async def restart_router(self, number: int) -> None:
        """Shut a router down gracefully and start its successor."""
        self._frontend.remove_later(number, DEREGISTRATION_DELAY_S)
        max_deadline_s = self.scenario.traffic.max_deadline_ms() / 1000.0
        await self.routers[number].terminate(max(ROUTER_STOP_TIMEOUT_S, max_deadline_s + 1.0))
        await self.start_router(number)

    async def signal_and_restart_router(self, number: int) -> None:
        """Send signals and then SIGTERM to a router, send SIGKILL as early as allowed and start its successor.

        Clients keep using their connections to the router until it ends; it refuses new connections in the meantime.
        """
        router = self.routers[number]
        await router.send_signals(SIGNALS_BEFORE_TERM)
        capped_deadline_s = min(self.scenario.traffic.max_deadline_ms(), MAX_TERM_DEADLINE_MS) / 1000.0
        signalling = asyncio.create_task(router.send_signals(SIGNALS_DURING_SHUTDOWN, delay_s=SHUTDOWN_SIGNAL_DELAY_S))
        await router.terminate(capped_deadline_s + TERM_TO_KILL_S)
        await signalling
        starting = asyncio.create_task(self.start_router(number))
        await asyncio.sleep(START_SIGNAL_DELAY_S)
        await router.wait_for_program()
        await router.send_signals(SIGNALS_DURING_START)
        await starting

    def signal_router(self, number: int, signal_number: signal.Signals) -> None:
        """Suspend a router with SIGSTOP, or resume it with SIGCONT."""
        router = self.routers[number]
        router.signal(signal_number)
        if signal_number == signal.SIGSTOP:
            router.record_event("stopped")
            self._remove_unresponsive(number)
        else:
            router.record_event("continued")
            self._frontend.restore_in_background(number)

    def _remove_unresponsive(self, number: int) -> None:
        self._frontend.remove_later(number, self.scenario.traffic.router_removal_delay_ms / 1000.0)
