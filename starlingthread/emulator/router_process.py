"""The routers under test: real processes, their configuration, and what they use."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import IO, Any

import psutil

from ..experiment.records import Ledger, RouterEvent, RouterSample
from ..experiment.scenario import Scenario
from .load_oracle import ORACLE_FILE_VARIABLE
from .port_allocation import free_port

READY_WITHIN = 30.0  # s
ORACLE_FILE, OPTIONS_FILE = "truth", "options.toml"
PEER_PRICE = 0.01


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def router_settings(scenario: Scenario, me: int) -> dict[str, Any]:
    """Return the settings object that a router is given for this scenario."""
    fleet, rules = scenario.fleet, scenario.rules
    grades = [
        {
            "effect": c.effect,
            "group": "all",
            "hardLimitMs": c.deadline_ms,
            "lateWorth": c.late_weight_share,
            "memorySpanMs": c.memory_span_ms,
            "name": c.name,
            "promiseMs": c.latency_objective_ms,
            "streamed": False,
            "worth": c.priority_weight,
        }
        for c in scenario.traffic.classes
    ]
    return {
        "clients": {"marksRetry": False},
        "discovery": "subscribe",
        "extra": {"mode": "through", "originFallMultiple": 0.0, "originKind": -1, "reportX0": "share of hits, lately"},
        "family": "cache",
        "grades": grades,
        "groupSize": scenario.routers.count,
        "kinds": ["std"],
        "me": me,
        "permissions": {
            "cancel": True,
            "connectTimeoutMs": 50.0,
            "cpuUsPerS": 500000,
            "idleCloseMs": fleet.idle_close_ms,
            "maxOpen": 20000,
            "maxRetryAfterMs": 2000.0,
            "mayDuplicate": True,
            "peerMessages": scenario.routers.peer_messages,
            "probing": fleet.probes,
            "retryAfter": True,
            "streamsPerConn": fleet.streams,
            "tryLimit": 4,
        },
        "prices": {
            "crossZone": 0.08,
            "handshake": 0.02,
            "lateFail": 0.08,
            "peer": PEER_PRICE,
            "probe": 0.01,
            "waste": 0.2,
        },
        "report": {"fields": ["inflight", "queue", "x0"], "how": "piggyback"},
        "rules": {
            "answerSlackMs": rules.answer_slack_ms,
            "askWithinMs": scenario.discovery.ask_within_ms,
            "coldFrom": fleet.cold_from,
            "coldMs": fleet.cold_ms,
            "drainGraceMs": rules.drain_grace_ms,
            "overloadFactor": fleet.overload_factor,
            "tipAfterMs": fleet.tip_after_ms,
        },
        "stage": 0,
        "tenants": [],
        "tickMs": 2.0,
        "tiers": ["cache-fleet"],
        "weightKind": "rough",
        "worthBy": "request",
        "zone": me % len(fleet.zones),
        "zones": list(fleet.zones),
    }


class RouterProcess:
    """One router. It is started, signalled and sampled here, and by nobody else."""

    def __init__(self, number: int, scenario: Scenario, folder: Path, ledger: Ledger) -> None:
        self.number, self.scenario, self.folder, self.ledger = number, scenario, folder, ledger
        self.name = f"r{number}"
        part = (0, 1 + scenario.machine.server_processes)  # as testbed/worker.py has it
        self.listen = ("127.0.0.1", free_port(socket.SOCK_STREAM, *part))
        self.peer_listen = ("127.0.0.1", free_port(socket.SOCK_DGRAM, *part))
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.expected_to_end = False
        self._seen: psutil.Process | None = None
        self._log: IO[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id, 0 when it does not run."""
        return self.process.pid if self.process is not None and self.process.returncode is None else 0

    def record_event(self, what: str, code: int = 0) -> None:
        """Write down what happened to it."""
        self.ledger.router_events.append(RouterEvent(self.number, what, time.monotonic() * 1000.0, code))

    def configure(
        self, discovery_port: int, peers: list[tuple[str, int]], everyone: tuple[str, int], known: dict[str, Any]
    ) -> Path:
        """Write its configuration; return where."""
        routers = self.scenario.routers
        config = {
            "name": self.name,
            "listen": _text(self.listen),
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": f"{self.scenario.seed * 1000003 + self.number * 101 + self.starts:016x}",
            "limits": {"cores": routers.cores, "memory_mb": routers.memory_mb, "sockets": routers.sockets},
            "peer_listen": _text(self.peer_listen),
            "peers": [_text(p) for p in peers],
            "peers_all": _text(everyone),
            "known": known,
            "settings": router_settings(self.scenario, self.number),
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        return path

    async def start(
        self, discovery_port: int, peers: list[tuple[str, int]], everyone: tuple[str, int], known: dict[str, Any]
    ) -> None:
        """Write its configuration and start it."""
        self.starts += 1
        routers = self.scenario.routers
        path = self.configure(discovery_port, peers, everyone, known)
        environment = {
            **os.environ,
            "LB_CONFIG": str(path),
            "LB_NAME": self.name,
            "LB_LISTEN": _text(self.listen),
            "LB_DISCOVERY": f"127.0.0.1:{discovery_port}",
        }
        if routers.options:
            environment["STARLINGTHREAD_OPTIONS"] = str(self.folder / OPTIONS_FILE)
        command = routers.command or (sys.executable, "-m", "starlingthread")
        if routers.policy:
            command = (sys.executable, "-m", "starlingthread.baselines.router", routers.policy)
            environment[ORACLE_FILE_VARIABLE] = str(self.folder / ORACLE_FILE)
        self._log = (self.folder / f"{self.name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            *command, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=self._log, stderr=self._log
        )
        # Both at once: who looks meanwhile must not take the one that was killed for a crash.
        self.process, self.expected_to_end, self._seen = process, False, None
        with contextlib.suppress(psutil.Error):  # it may have ended already; who looks for its exit code finds it
            self._seen = psutil.Process(process.pid)
            self._seen.rlimit(psutil.RLIMIT_NOFILE, (routers.sockets, routers.sockets))
        if routers.pin:
            cores = sorted(os.sched_getaffinity(0))
            with contextlib.suppress(OSError):
                os.sched_setaffinity(process.pid, {cores[self.number % len(cores)]})

    async def is_ready(self) -> bool:
        """Wait until it answers ``mn`` with ``MN``; False if it ends or takes too long."""
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until and self.pid:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.listen), 1.0)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.02)
                continue
            try:
                writer.write(b"mn\r\n")
                if await asyncio.wait_for(reader.readline(), 1.0) == b"MN\r\n":
                    self.record_event("up")
                    return True
            except (OSError, TimeoutError):
                pass
            finally:
                writer.close()
            await asyncio.sleep(0.02)
        return False

    def sample(self) -> None:
        """Write down what it uses right now."""
        if not self.pid or self._seen is None:
            return
        with contextlib.suppress(psutil.Error):
            cpu = self._seen.cpu_times()
            self.ledger.router_samples.append(
                RouterSample(
                    self.number,
                    time.monotonic() * 1000.0,
                    cpu.user + cpu.system,
                    self._seen.memory_info().rss / 1048576.0,
                    self._seen.num_fds(),
                )
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that was started here."""
        if self.pid and self.process is not None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill it outright."""
        if self.pid and self.process is not None:
            self.expected_to_end = True
            self.signal(signal.SIGKILL)
            await self.process.wait()
            self.record_event("killed")
        self._close_log()

    async def terminate(self, within: float) -> int:
        """Ask it to end, as before a planned restart; kill it after so many seconds. Return its exit code."""
        if not self.pid or self.process is None:
            return self.process.returncode or 0 if self.process is not None else 0
        self.expected_to_end = True
        self.record_event("terminating")
        self.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(self.process.wait(), within)
        except TimeoutError:
            await self.kill()
            return -9
        self.record_event("exited", code)
        self._close_log()
        return code

    def _close_log(self) -> None:
        if self._log is not None:
            self._log.close()
            self._log = None

    def log_tail(self, lines: int = 5) -> str:
        """Return the end of what it has written, for an error that names the cause."""
        with contextlib.suppress(OSError):
            return "\n".join(
                (self.folder / f"{self.name}.log").read_text("utf-8", "replace").strip().splitlines()[-lines:]
            )
        return ""
