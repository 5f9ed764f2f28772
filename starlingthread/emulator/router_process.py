"""Processes of the routers under test: configuration, life cycle and resource usage."""

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
from signal import Signals
from typing import IO, Any

import psutil

from ..experiment.records import KILLED_AFTER_TERM, Ledger, RouterEvent, RouterSample
from ..experiment.scenario import Scenario
from .child_processes import parent_death_hook
from .load_oracle import ORACLE_FILE_VARIABLE
from .port_allocation import PortStripe, free_port
from .router_settings import router_settings

ORACLE_FILE = "truth"
OPTIONS_FILE = "options.toml"
_SIGNAL_PERIOD_S = 0.005
_SHELL = "sh"
_MAX_SHELL_CHECKS = 2000
_READY_TIMEOUT_S = 30.0
_READY_CHECK_TIMEOUT_S = 1.0
_READY_CHECK_PERIOD_S = 0.02
_BYTES_PER_MB = 1048576.0

_Address = tuple[str, int]


def _format_address(address: _Address) -> str:
    return f"{address[0]}:{address[1]}"


class RouterProcess:
    """One router process. Only this class starts, signals and samples it."""

    def __init__(self, number: int, scenario: Scenario, folder: Path, ledger: Ledger) -> None:
        self.number = number
        self.scenario = scenario
        self.folder = folder
        self.ledger = ledger
        self.name = f"r{number}"
        stripe = PortStripe(0, 1 + scenario.machine.server_processes)  # stripes from 1 on belong to the server workers
        self.listen = ("127.0.0.1", free_port(socket.SOCK_STREAM, stripe))
        self.peer_listen = ("127.0.0.1", free_port(socket.SOCK_DGRAM, stripe))
        self.process: asyncio.subprocess.Process | None = None
        self.start_count = 0
        self.is_exit_expected = False
        self._monitored: psutil.Process | None = None
        self._log: IO[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id, or 0 if the process is not running."""
        return self.process.pid if self.process is not None and self.process.returncode is None else 0

    @property
    def _log_path(self) -> Path:
        return self.folder / f"{self.name}.log"

    def record_event(self, kind: str, exit_code: int = 0) -> None:
        """Append an event of this router to the ledger."""
        self.ledger.router_events.append(RouterEvent(self.number, kind, time.monotonic() * 1000.0, exit_code))

    # start

    def write_configuration(
        self, discovery_port: int, peers: list[_Address], broadcast_address: _Address, endpoint_list: dict[str, Any]
    ) -> Path:
        """Write the configuration file of the router; return its path."""
        routers = self.scenario.routers
        config = {
            "name": self.name,
            "listen": _format_address(self.listen),
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": f"{self.scenario.seed * 1000003 + self.number * 101 + self.start_count:016x}",
            "limits": {"cores": routers.cores, "memory_mb": routers.memory_mb, "sockets": routers.sockets},
            "peer_listen": _format_address(self.peer_listen),
            "peers": [_format_address(peer) for peer in peers],
            "peers_all": _format_address(broadcast_address),
            "known": endpoint_list,
            "settings": router_settings(self.scenario, self.number),
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        return path

    async def start(
        self, discovery_port: int, peers: list[_Address], broadcast_address: _Address, endpoint_list: dict[str, Any]
    ) -> None:
        """Write the configuration file and start the process."""
        self.start_count += 1
        config_path = self.write_configuration(discovery_port, peers, broadcast_address, endpoint_list)
        environment = self._environment(config_path, discovery_port)
        self._log = self._log_path.open("ab")
        process = await asyncio.create_subprocess_exec(
            *self._command(),
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            preexec_fn=parent_death_hook(),
        )
        # The attributes change together, after the last await: otherwise a sample taken while the process is being
        # created reports the previous, killed process as crashed.
        self.process, self.is_exit_expected, self._monitored = process, False, None
        self._limit_resources(process.pid)

    def _command(self) -> tuple[str, ...]:
        routers = self.scenario.routers
        if routers.policy:
            return (sys.executable, "-m", "starlingthread.baselines.router", routers.policy)
        return routers.command or (sys.executable, "-m", "starlingthread")

    def _environment(self, config_path: Path, discovery_port: int) -> dict[str, str]:
        environment = {
            **os.environ,
            "LB_CONFIG": str(config_path),
            "LB_NAME": self.name,
            "LB_LISTEN": _format_address(self.listen),
            "LB_DISCOVERY": f"127.0.0.1:{discovery_port}",
        }
        if self.scenario.routers.options:
            environment["STARLINGTHREAD_OPTIONS"] = str(self.folder / OPTIONS_FILE)
        if self.scenario.routers.policy:
            environment[ORACLE_FILE_VARIABLE] = str(self.folder / ORACLE_FILE)
        return environment

    def _limit_resources(self, pid: int) -> None:
        """Limit the file descriptors of the process, and pin it to a core if the scenario requires that."""
        routers = self.scenario.routers
        # The process may have ended already; its exit code is reported elsewhere.
        with contextlib.suppress(psutil.Error):
            self._monitored = psutil.Process(pid)
            self._monitored.rlimit(psutil.RLIMIT_NOFILE, (routers.sockets, routers.sockets))
        if routers.pin:
            cores = sorted(os.sched_getaffinity(0))
            with contextlib.suppress(OSError):
                os.sched_setaffinity(pid, {cores[self.number % len(cores)]})

    async def wait_until_ready(self) -> bool:
        """Wait until the router answers ``mn``; return False if the process ends or the wait times out."""
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline and self.pid:
            if await self._answers_noop():
                self.record_event("up")
                return True
            await asyncio.sleep(_READY_CHECK_PERIOD_S)
        return False

    async def _answers_noop(self) -> bool:
        try:
            connecting = asyncio.open_connection(*self.listen)
            reader, writer = await asyncio.wait_for(connecting, _READY_CHECK_TIMEOUT_S)
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"mn\r\n")
            return await asyncio.wait_for(reader.readline(), _READY_CHECK_TIMEOUT_S) == b"MN\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    # life cycle

    def sample(self) -> None:
        """Append a sample of the resources that the process uses now to the ledger."""
        if not self.pid or self._monitored is None:
            return
        with contextlib.suppress(psutil.Error):
            cpu = self._monitored.cpu_times()
            self.ledger.router_samples.append(
                RouterSample(
                    self.number,
                    time.monotonic() * 1000.0,
                    cpu.user + cpu.system,
                    self._monitored.memory_info().rss / _BYTES_PER_MB,
                    self._monitored.num_fds(),
                )
            )

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.pid and self.process is not None:
            self.process.send_signal(signal_number)

    async def wait_for_program(self) -> None:
        """Wait until the shell that starts the router, if there is one, has executed the router program.

        Until then, the signals that the router command ignores may still have their default effect.
        """
        with contextlib.suppress(psutil.Error):
            for _ in range(_MAX_SHELL_CHECKS):
                if not self.pid or self._monitored is None or self._monitored.name() != _SHELL:
                    return
                await asyncio.sleep(_SIGNAL_PERIOD_S)

    async def send_signals(self, signals: tuple[Signals, ...], delay_s: float = 0.0) -> None:
        """Send signals in quick succession after a delay; signals to a process that has ended are dropped."""
        await asyncio.sleep(delay_s)
        for signal_number in signals:
            self.signal(signal_number)
            await asyncio.sleep(_SIGNAL_PERIOD_S)

    async def kill(self, event: str = "killed") -> None:
        """Kill the process with SIGKILL, and record an event of the given kind."""
        if self.pid and self.process is not None:
            self.is_exit_expected = True
            self.signal(signal.SIGKILL)
            await self.process.wait()
            self.record_event(event)
        self._close_log()

    async def terminate(self, timeout_s: float) -> int:
        """Shut the router down with SIGTERM, or kill it after a timeout; return its exit code."""
        if not self.pid or self.process is None:
            return self.process.returncode or 0 if self.process is not None else 0
        self.is_exit_expected = True
        self.record_event("terminating")
        self.signal(signal.SIGTERM)
        try:
            exit_code = await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            await self.kill(KILLED_AFTER_TERM)
            return -signal.SIGKILL
        self.record_event("exited", exit_code)
        self._close_log()
        return exit_code

    # log

    def _close_log(self) -> None:
        if self._log is not None:
            self._log.close()
            self._log = None

    def log_tail(self, lines: int = 5) -> str:
        """Return the last lines of the log of the router, to show the cause of a failure in an error."""
        with contextlib.suppress(OSError):
            return "\n".join(self._log_path.read_text("utf-8", "replace").strip().splitlines()[-lines:])
        return ""
