"""One real router: configuration, signals, wiring, exit summary. Run as ``python -m starlingthread``."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import math
import os
import queue
import signal
import sys
from logging.handlers import QueueHandler, QueueListener
from pathlib import Path
from typing import Any, NamedTuple

from . import interface as api
from .core.actors import Clock, Watcher
from .core.counters import Counters
from .core.deadlines import Deadlines
from .core.router import Router
from .net.clients import Front
from .net.peers import PeerActor
from .net.registry import ListError, ListReader, RegistryActor, parse_address
from .net.servers import ServerFleet
from .settings import SettingsError, settings_of

log = logging.getLogger("starlingthread")

STILL_ACCEPTING = 0.5  # s after SIGTERM in which new connections are still welcome
LAST_ANSWERS = 4.5  # s after that in which what was taken may be finished
COLLECT_EVERY = 10000.0  # ms between full collections of garbage
OWN_SOCKETS = 24  # descriptors for discovery, peers, files, and what is closed but not given back yet
CLIENT_SHARE = 0.5  # of the rest for clients, whose requests need a third of all; the other half for servers
COMFORTABLE = 0.16  # of all, for clients: they may hold a third, and those who ask need some free
OWN_MEMORY = 26  # MB that the program takes by itself; of what is left a part may hold values
VALUE_SHARE = 0.3
LEAST_HELD = 2  # MB
# What a running router can't take over from a new file: bound sockets, and what the module began with.
NEEDS_RESTART = (
    "name", "listen", "sockets", "memory", "cores", "peer_listen", "settings", "zones", "kinds", "idle_close")


class ConfigError(Exception):
    """The configuration makes no sense."""


class Config(NamedTuple):
    """What this router is told."""

    path: str
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory: float
    cores: float
    peer_listen: tuple[str, int] | None
    peers: list[tuple[str, int]]
    peers_all: tuple[str, int] | None
    known: object
    settings: api.Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    idle_close: float


def read_config(path: str) -> Config:
    """Read the configuration file, or raise a ConfigError with one plain line."""
    try:
        raw: dict[str, Any] = json.loads(Path(path).read_text())
        settings = raw["settings"]
        limits = raw.get("limits", {})
        peer_listen, peers_all = raw.get("peer_listen"), raw.get("peers_all")
        return Config(
            path, str(raw.get("name", "")), parse_address(raw["listen"]), parse_address(raw["discovery"]),
            int(raw.get("seed", "0"), 16),
            int(limits.get("sockets", 256)), float(limits.get("memory_mb", 32)),
            max(0.05, float(limits.get("cores", 1.0))),
            parse_address(peer_listen) if peer_listen else None,
            [parse_address(p) for p in raw.get("peers", ())],
            parse_address(peers_all) if peers_all else None, raw.get("known"), settings_of(settings),
            tuple(settings.get("zones", ())), tuple(settings.get("kinds", ())),
            float(settings["permissions"].get("idleCloseMs", 15000.0)))
    except KeyError as error:
        raise ConfigError(f"{path} lacks {error}") from None
    except (OSError, ValueError, TypeError, AttributeError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from None


class DroppingHandler(QueueHandler):
    """Hands log lines to the thread that writes them; when that one is stuck they are dropped, not kept."""

    def enqueue(self, record: logging.LogRecord) -> None:
        """Leave a line, or drop it."""
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(record)


class Program:
    """Wires the actors together and ends them."""

    def __init__(self, config: Config) -> None:
        self.config, self.counters, self.watcher = config, Counters(), Watcher()
        self.stop = asyncio.Event()
        self.code = 0
        self.router = Router(config.settings, config.seed, Clock(), Deadlines(), self.counters)
        self.router.cores = config.cores
        sockets = max(16, config.sockets - OWN_SOCKETS)
        for_clients = int(sockets * CLIENT_SHARE)
        held = int(max(LEAST_HELD, (config.memory - OWN_MEMORY) * VALUE_SHARE) * (1 << 20))
        self.fleet = ServerFleet(
            config.settings, self.router, self.watcher, sockets - for_clients, config.idle_close)
        self.registry = RegistryActor(
            self.router, ListReader(config.zones, config.kinds), config.discovery, self.watcher)
        self.peers = PeerActor(self.router, config.peers, config.peers_all, config.settings.me)
        self.front = Front(
            config.settings, self.router, self.watcher, for_clients, int(config.sockets * COMFORTABLE), held,
            self.ready)
        self.router.fleet, self.router.registry, self.router.peers = self.fleet, self.registry, self.peers

    def ready(self) -> bool:
        """Tell whether clients may come: the module has a list to work with."""
        return self.router.listed

    def _fatal(self, error: BaseException) -> None:
        self.code = 1
        self.stop.set()

    def _registry_died(self, error: BaseException) -> None:
        self.registry._failed(repr(error))
        self._run_registry()

    def _run_registry(self) -> None:
        self.watcher.start(self.registry.run(), "registry", self._registry_died)

    def summary(self) -> None:
        """Log the counters, and what is out right now."""
        log.info("counters %s clients.open=%d connections.open=%d requests.open=%d", self.counters.text(),
                 len(self.front.actors), sum(a.open for a in self.fleet.actors.values()),
                 len(self.router.requests))

    def reload(self) -> None:
        """Read the configuration file anew. What can change while serving does; the rest waits for a restart.

        Guards against the signal's own effect, which ends a program, and against a file that is no good.
        """
        try:
            new = read_config(self.config.path)
        except ConfigError as error:
            self.counters.note("reloads.failed")
            log.error("reload-failed why=%s", " ".join(str(error).split()))
            return
        self.counters.note("reloads.done")
        # Always asked anew: whatever discovery has to tell counts as told soon, wherever it is now.
        self.registry.move(new.discovery)
        self.peers.move(new.peers, new.peers_all)
        kept = [name for name in NEEDS_RESTART if getattr(new, name) != getattr(self.config, name)]
        self.config = new._replace(**{name: getattr(self.config, name) for name in kept})
        log.info("reloaded discovery=%s:%d needs-restart=%s", *new.discovery, ",".join(kept) or "nothing")

    def _collect(self) -> None:
        """Collect all garbage, now and then. It holds up every answer, so the longest time is kept."""
        began = self.router.clock.now()
        gc.collect()
        ended = self.router.clock.now()
        self.counters["gc.longest_ms"] = max(self.counters["gc.longest_ms"], math.ceil(ended - began))
        self.router.deadlines.set(ended + COLLECT_EVERY, self._collect)

    async def run(self) -> int:
        """Serve until a signal, then finish what was taken."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.summary)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.config.known is not None:
            self.registry.known(self.config.known)
        self.router.begin()
        self._run_registry()
        self.watcher.start(self.router.run(), "router", self._fatal)
        if self.config.peer_listen is not None:
            await self.peers.listen(*self.config.peer_listen)
        await self.front.listen(*self.config.listen)
        log.info("started name=%s servers=%d", self.config.name, len(self.router.module.servers))
        # What lives as long as the program is never looked at again; the young are collected in small bites,
        # and all of it at times of our own: connections leave cycles behind, which would pile up all day.
        gc.collect()
        gc.freeze()
        gc.set_threshold(5000, 20, 1 << 30)
        self._collect()
        await self.stop.wait()
        if self.code == 0:
            log.info("stopping requests.open=%d", len(self.router.requests))
            await asyncio.sleep(STILL_ACCEPTING)
            try:
                await asyncio.wait_for(self.front.drain(), LAST_ANSWERS)
            except TimeoutError:
                log.warning("stopped-late requests.open=%d", len(self.router.requests))
        self.fleet.close()
        self.peers.close()
        await self.watcher.stop()
        self.summary()
        return self.code


def main() -> int:
    """Run the router; one plain line on standard error and 1 if it can't start."""
    try:
        if not os.environ.get("LB_CONFIG"):
            raise ConfigError("LB_CONFIG names no file")
        config = read_config(os.environ["LB_CONFIG"])
    except ConfigError as error:
        print(f"starlingthread: {error}", file=sys.stderr)
        return 1
    # Log lines are written by a thread of their own: a full pipe must not hold up an answer.
    lines: queue.Queue[object] = queue.Queue(1000)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    listener = QueueListener(lines, handler)
    for logger in (log, logging.getLogger("asyncio")):
        logger.addHandler(DroppingHandler(lines))
        logger.propagate = False
    log.setLevel(logging.INFO)
    listener.start()

    async def serve() -> int:
        return await Program(config).run()

    try:
        return asyncio.run(serve())
    except (OSError, ListError) as error:
        print(f"starlingthread: {error}", file=sys.stderr)
        return 1
    finally:
        listener.stop()


if __name__ == "__main__":
    sys.exit(main())
