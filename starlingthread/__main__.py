"""One real router: configuration, signals, wiring, exit summary. Run as ``python -m starlingthread``."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import math
import os
import signal
import socket
import sys
from pathlib import Path

from . import options
from .config import Config, ConfigError, read_config
from .core.clock import Clock
from .core.counters import Counters
from .core.deadlines import Deadlines
from .core.maintenance import MaintenanceSet
from .core.router import Router
from .core.watcher import Watcher
from .events import Maintenance
from .handover.actor import Handover
from .handover.channel import Inheritance, inherit
from .limits.budgets import split_budgets
from .logs import LogWriter, log
from .net.clients import ClientListener
from .net.discovery import DiscoveryActor, EndpointListError, EndpointListParser
from .net.failover import FailoverActor
from .net.management import Management
from .net.members import MemberActor
from .net.peers import PeerActor
from .net.upstreams import ServerFleet

STILL_ACCEPTING = 0.5  # s after SIGTERM in which new connections are still welcome
LOOK_EVERY = 100.0  # ms between looks at what another process excludes: well within a grace
HEAR = 2.0  # s for which a new process waits to hear discovery before it says yes
CLIENTS, PEERS = "clients", "peers"  # uses of the sockets that are handed over
LAST_ANSWERS = 4.5  # s after that in which what was taken may be finished; the longest deadline, if that is longer
LAST_SPAN, SPARED = 3000.0, 700.0  # ms; a process that ends lives for the longest deadline, this at most, and this
ANSWER_SOONER = 150.0  # ms before that end by which requests that come late are answered
LAST_WORDS = 1.0  # s after that in which what still is out is answered as failed
COLLECT_EVERY = 10000.0  # ms between full collections of garbage
USUAL_SIZE = 20.0  # MB that the program takes at rest, where the system does not tell
# What a running router can't take over from a new file: bound sockets and limits; and what files must hold.
NEEDS_RESTART = ("name", "listen", "management", "sockets", "memory", "cores", "peer_listen", "shape")


def resident() -> float:
    """Return the memory that this process holds by now, in MB."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
    except (OSError, ValueError, IndexError):
        return USUAL_SIZE


class Program:
    """Wires the actors together and ends them."""

    def __init__(
        self,
        config: Config,
        writer: LogWriter,
        inheritance: Inheritance | None = None,
        own: options.Options | None = None,
    ) -> None:
        self.own = own or options.Options()
        config = config._replace(settings=self.own.apply_to(config.settings))
        self.config, self.writer, self.counters, self.watcher = config, writer, Counters(), Watcher()
        self.stop = asyncio.Event()
        self.serving = False  # the clients' listener is bound
        self.early: list[int] = []  # signals that came before the loop could take them
        self.code = 0
        self.router = Router(config.settings, config.seed, Clock(), Deadlines(), self.counters)
        self.router.cores = config.cores
        # Only where operators call can anybody ask a new process whether it is ready.
        folder = os.environ.get("TMPDIR") if config.management is not None else None
        shared = Path(folder) if folder else None
        self.handover = Handover(self, self.watcher, self.counters, shared, inheritance)
        self.maintenance = MaintenanceSet(shared, self._on_maintenance)
        self.fleet = ServerFleet(config.settings, self.router, self.watcher, 0, config.idle_close)
        self.discovery = DiscoveryActor(
            self.router,
            EndpointListParser(config.zones, config.kinds),
            config.discovery,
            self.watcher,
            pushed=not config.settings.must_poll,
        )
        self.peers = PeerActor(self.router, config.peers, config.peers_all, config.settings.router_index)
        self.members = MemberActor(self.router, self.peers, config.settings.router_index)
        self.failover = FailoverActor(self.router, self.peers, self.members, config.settings.router_index)
        self.front = ClientListener(config.settings, self.router, self.watcher, 0, 0, 0, self.listed)
        self.fleet.budget = self.front.budget
        self.management = Management(self, self.watcher, self.router.clock, self.counters, self.router.deadlines, 0)
        self.size = resident()  # MB at rest
        self.apply_resource_share(self.handover.resource_share)
        self.router.fleet, self.router.discovery, self.router.peers = self.fleet, self.discovery, self.peers

    # what is shared with another process during an upgrade

    def sockets(self) -> dict[str, socket.socket]:
        """Return the sockets that a new process goes on with, by address."""
        ours = {CLIENTS: self.front.socket, PEERS: self.peers.socket}
        return {f"{use} {s.getsockname()}": s for use, s in ours.items() if s is not None}

    def apply_resource_share(self, part: float) -> None:
        """Hold no more than this part of what the limits give."""
        config = self.config
        budgets = split_budgets(config.sockets, config.memory, self.size, part, config.management is not None)
        self.front.max_clients, self.front.idle_client_threshold = budgets.max_clients, budgets.idle_client_threshold
        self.front.max_buffered, self.front.budget.limit = budgets.buffered_values, budgets.streamed_values
        self.management.max_connections = budgets.management_connections
        self.fleet.set_connection_limit(budgets.server_connections)

    def pause_accepting(self) -> None:
        """A new process takes the connections from now on."""
        self.front.pause_accepting()
        self.members.pause()
        self.failover.stop()
        self.peers.pause_receiving()

    def resume_accepting(self) -> None:
        """The new process has gone before its time: accept again."""
        if not self.stop.is_set():
            self.watcher.start(self._resume(), "resume", self._fatal)

    async def _resume(self) -> None:
        await self.front.resume_accepting()
        await self.peers.resume_receiving()
        self.members.apply_settings(self.own.membership, self.config.settings.can_message_peers)
        self._retune_failover()

    def _inherited(self, use: str, address: tuple[str, int]) -> socket.socket | None:
        left = self.handover.inheritance
        return left.sockets.pop(f"{use} {address}", None) if left is not None else None

    def listed(self) -> bool:
        """Tell whether clients may come: the module has a list to work with."""
        return self.router.listed

    def ready(self) -> bool:
        """Tell whether this process is ready to serve."""
        return self.router.listed and self.serving and not self.stop.is_set()

    def snapshot(self) -> dict[str, object]:
        """Return the figures that operators read."""
        down = len(self.router.balancer.avoided(self.router.clock.now()))
        return {
            **self.router.telemetry.snapshot(self.discovery.endpoint_count, down),
            **self.members.snapshot(),
            **self.failover.snapshot(),
        }

    def exclude(self, name: str) -> bool:
        """Leave a cache server out; False if the list has none of that name."""
        if self.discovery.server_id(name) is None and name not in self.maintenance.names:
            return False
        self.maintenance.set_maintenance(name, True)
        return True

    def include(self, name: str) -> bool:
        """Let a cache server serve again; False if there is none of that name, listed or excluded."""
        if self.discovery.server_id(name) is None and name not in self.maintenance.names:
            return False
        self.maintenance.set_maintenance(name, False)
        return True

    def _on_maintenance(self, name: str, out: bool) -> None:
        """Have it hold: the server's actor writes nothing more, and the module chooses another one."""
        number = self.discovery.reader.ids.assign(name)
        self.fleet.set_maintenance(number, out)
        self.router.mailbox.must_put(Maintenance(number, out))

    def _look_at_maintenance(self) -> None:
        self.maintenance.reload_if_changed()
        self.router.deadlines.set(self.router.clock.now() + LOOK_EVERY, self._look_at_maintenance)

    def _fatal(self, error: BaseException) -> None:
        self.code = 1
        self.stop.set()

    def _registry_died(self, error: BaseException) -> None:
        self.discovery._failed(repr(error))
        self._run_registry()

    def _run_registry(self) -> None:
        self.watcher.start(self.discovery.run(), "registry", self._registry_died)

    def summary(self) -> None:
        """Log the counters, and what is out right now."""
        now = {
            "clients.open": len(self.front.connections),
            "requests.open": len(self.router.requests),
            "connections.open": sum(a.pool.open for a in self.fleet.actors.values()),
        }
        log.info("counters", **dict(sorted(self.counters.items())), **now)

    def reload(self) -> None:
        """Read the configuration file anew. What can change while serving does; the rest waits for a restart.

        Guards against the signal's own effect, which ends a program, and against a file that is no good. The
        operator's file is read whatever the platform's is like.
        """
        self._reload_options()
        try:
            new = read_config(self.config.path, self.config.shape)
        except ConfigError as error:
            self.counters.increment("reloads.failed")
            self.router.telemetry.reconfig_failed += 1
            log.error("reload-failed", why=" ".join(str(error).split()))
            self._follow_own()
            return
        new = new._replace(settings=self.own.apply_to(new.settings))
        self.counters.increment("reloads.done")
        self.router.telemetry.reconfig_ok += 1
        self.router.apply_settings(new.settings)
        self.front.apply_settings(new.settings)
        self.fleet.apply_settings(new.settings, new.idle_close)
        self.discovery.apply_settings(new.zones, new.kinds, pushed=not new.settings.must_poll)
        # Always asked anew: whatever discovery has to tell counts as told soon, wherever it is now.
        self.discovery.set_address(new.discovery)
        self.peers.set_addresses(new.peers, new.peers_all)
        self.members.apply_settings(self.own.membership, new.settings.can_message_peers)
        self._retune_failover(new)
        kept = [name for name in NEEDS_RESTART if getattr(new, name) != getattr(self.config, name)]
        self.config = new._replace(**{name: getattr(self.config, name) for name in kept})
        log.info(
            "reloaded",
            discovery=f"{new.discovery[0]}:{new.discovery[1]}",
            **{"needs-restart": ",".join(kept) or "nothing"},
        )

    def _reload_options(self) -> None:
        """Read the operator's file anew; one that is no good changes nothing."""
        try:
            new = options.read(options.where())
        except options.OptionsError as error:
            self.counters.increment("reloads.options_failed")
            log.error("options-failed", why=" ".join(str(error).split()))
            return
        self.own = new
        self.writer.set(new.log)

    def _retune_failover(self, config: Config | None = None) -> None:
        config = config or self.config
        self.failover.apply_settings(
            self.own.failover, self.own.membership, config.zones, config.settings.can_message_peers
        )

    def _follow_own(self) -> None:
        """Do what the operator's file says under the platform's settings that stand."""
        self.config = self.config._replace(settings=self.own.apply_to(self.config.settings))
        self.router.apply_settings(self.config.settings)
        self.members.apply_settings(self.own.membership, self.config.settings.can_message_peers)
        self._retune_failover()

    def _collect(self) -> None:
        """Collect all garbage, now and then. It holds up every answer, so the longest time is kept."""
        began = self.router.clock.now()
        gc.collect()
        ended = self.router.clock.now()
        self.counters["gc.longest_ms"] = max(self.counters["gc.longest_ms"], math.ceil(ended - began))
        self.router.deadlines.set(ended + COLLECT_EVERY, self._collect)

    async def _finish(self) -> None:
        """Finish what was taken. A request that nobody answered is lost, so the last are answered as failed."""
        longest = max(cls.deadline for cls in self.router.settings.classes)
        answer_by = self.router.clock.now() + min(longest, LAST_SPAN) + SPARED - ANSWER_SOONER
        await asyncio.sleep(STILL_ACCEPTING)
        try:
            await asyncio.wait_for(self.front.drain(answer_by), max(LAST_ANSWERS, longest / 1000.0))
        except TimeoutError:
            log.warning("stopped-late", **{"requests.open": len(self.router.requests)})
            self.router.fail_all()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.front.drain(answer_by), LAST_WORDS)

    async def run(self) -> int:
        """Serve until a signal, then finish what was taken."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.summary)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if signal.SIGHUP in self.early:
            loop.call_soon(self.reload)
        if self.config.known is not None:
            self.discovery.load_cached_list(self.config.known)
        self._look_at_maintenance()
        self.router.begin()
        self._run_registry()
        self.watcher.start(self.router.run(), "router", self._fatal)
        if self.config.management is not None:
            await self.management.listen(*self.config.management)
        await self.handover.start()
        if self.handover.inheritance is not None or self.discovery.pushed:
            # What discovery tells binds soon after our yes (where lists are pushed, at once), so we hear it first.
            self.discovery.watch(True)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.router.discovery_reached.wait(), HEAR)
        if (peers := self.config.peer_listen) is not None:
            await self.peers.listen(*peers, self._inherited(PEERS, peers))
            self.members.apply_settings(self.own.membership, self.config.settings.can_message_peers)
        self._retune_failover()
        listen = self.config.listen
        await self.front.listen(*listen, self._inherited(CLIENTS, listen))
        if self.handover.inheritance is not None:
            # Guards against connections that wait for good in a queue that nobody empties once the old one is gone.
            for unused in self.handover.inheritance.sockets.values():
                unused.close()
        self.handover.on_serving()
        self.serving = True
        log.info("started", name=self.config.name, servers=len(self.router.balancer.fleet.servers))
        # What lives as long as the program is never looked at again; the young are collected in small bites,
        # and all of it at times of our own: connections leave cycles behind, which would pile up all day.
        gc.collect()
        gc.freeze()
        gc.set_threshold(5000, 20, 1 << 30)
        self._collect()
        await self.stop.wait()
        if self.code == 0:
            log.info("stopping", **{"requests.open": len(self.router.requests)})
            await self._finish()
        self.handover.close()
        self.management.close()
        self.fleet.close()
        self.members.stop()
        self.failover.stop()
        self.peers.close()
        await self.watcher.stop()
        self.summary()
        return self.code


def main() -> int:
    """Run the router; one plain line on standard error and 1 if it can't start."""
    # Before the file is read: a signal that came earlier tells nothing new, one that comes later must not be lost, and
    # none may end a process that is just starting.
    early: list[int] = []
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, lambda came, _: early.append(came))
    try:
        if not os.environ.get("LB_CONFIG"):
            raise ConfigError("LB_CONFIG names no file")
        config = read_config(os.environ["LB_CONFIG"])
    except ConfigError as error:
        print(f"starlingthread: {error}", file=sys.stderr)
        return 1
    own, why = options.Options(), ""
    try:
        own = options.read(options.where())
    except options.OptionsError as error:
        why = " ".join(str(error).split())
    writer = LogWriter(own.log)
    if why:
        # A router that comes back after a crash must not stay away for a file that was edited meanwhile.
        log.error("options-failed", why=why)

    inheritance: Inheritance | None = None
    folder = os.environ.get("TMPDIR")
    if folder and config.management is not None:
        try:
            inheritance = inherit(Path(folder))
        except OSError as error:
            log.warning("handover-failed", why=repr(error))  # we bind beside the old process then

    async def serve() -> int:
        program = Program(config, writer, inheritance, own)
        program.early = early
        return await program.run()

    try:
        return asyncio.run(serve())
    except (OSError, EndpointListError) as error:
        print(f"starlingthread: {error}", file=sys.stderr)
        return 1
    finally:
        writer.stop()


if __name__ == "__main__":
    sys.exit(main())
