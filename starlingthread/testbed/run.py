"""One run of a scenario: starts platform and clients, injects faults, samples the routers and collects the records."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import uvloop

from ..emulator.fault_injector import FaultInjector
from ..emulator.router_process import RouterProcess
from ..experiment.randomness import random_streams
from ..experiment.records import Ledger
from ..experiment.scenario import Scenario
from .errors import RunError
from .machine import check_machine
from .platform import ROUTER_STOP_TIMEOUT_S, Platform

# The offset keeps the seeds of the origin, the relay and the faults distinct from those of other parts of the run.
SEED_OFFSET = 1_000_003
SAMPLE_PERIOD_S = 0.25  # time between two samples of all routers
MAX_ROUTERS_PER_SAMPLE_PERIOD = 30  # runs with more routers sample less often, as each sample takes 0.1 ms
START_MARGIN_S = 0.5  # time between the end of the set-up and the first request
END_MARGIN_S = 2.0  # time past twice the longest deadline within which every operation must end
UNLIMITED_HOLD_S = 1e9

Progress = Callable[[float, float, str], None]  # arguments: elapsed seconds, total seconds, phase


class RunOutcome(NamedTuple):
    """The records and counters of a run."""

    ledger: Ledger
    facts: dict[str, float]  # counters of the origin, discovery and the relay


class Run:
    """One run of a scenario, to be executed once."""

    def __init__(
        self, scenario: Scenario, folder: Path, progress: Progress | None = None, has_clients: bool = True
    ) -> None:
        origin_rng, relay_rng, fault_rng = random_streams(scenario.seed + SEED_OFFSET, 3)
        self.scenario = scenario
        self.platform = Platform(scenario, folder, origin_rng, relay_rng, has_clients)
        self.faults = FaultInjector(self.platform, fault_rng)
        self.ledger = self.platform.ledger
        self._progress = progress

    async def execute(self) -> RunOutcome:
        """Execute the whole run. Raise a RunError if a part of the testbed itself fails."""
        self._report(0.0, "starting servers and clients")
        async with self.platform.running():
            await self._start_routers()
            await self._start_clients()
            await self._run_traffic()
            return await self._collect()

    async def hold(self, routers: bool, seconds: float | None, print_line: Callable[[str], None]) -> None:
        """Start the platform without clients, print the addresses that it listens on and inject the faults.

        Args:
            routers: Whether to start the routers, or only to write their configurations.
            seconds: How long to keep the platform running; None: until cancelled.
            print_line: Prints one line.
        """
        async with self.platform.running():
            for server in self.platform.discovery.entries.values():
                print_line(f"server {server.number} {server.name} {server.zone} {server.addresses[0]}")
            for router in self.platform.routers:
                await self._start_or_configure_router(router, routers, print_line)
            self.ledger.started_at = self.platform.schedule.now()
            injecting = asyncio.create_task(self.faults.run(self.ledger.started_at))
            try:
                await asyncio.sleep(seconds if seconds is not None else UNLIMITED_HOLD_S)
            finally:
                injecting.cancel()

    async def _start_or_configure_router(
        self, router: RouterProcess, must_start: bool, print_line: Callable[[str], None]
    ) -> None:
        if must_start:
            await self.platform.start_router(router.number)
            print_line(f"router {router.name} listens at {router.listen[0]}:{router.listen[1]}")
        else:
            path = router.write_configuration(*self.platform.platform_info(router.number))
            print_line(f"router {router.name}: LB_CONFIG={path} python -m starlingthread")

    def _report(self, done_s: float, phase: str) -> None:
        if self._progress is not None:
            self._progress(done_s, self.scenario.length_s, phase)

    # start

    async def _start_routers(self) -> None:
        """Start all routers, a limited number at a time: started all at once, they would become ready too late."""
        self._report(0.0, "starting routers")
        starting = asyncio.Semaphore(2 * (os.cpu_count() or 1))

        async def start(number: int) -> None:
            async with starting:
                await self.platform.start_router(number)

        async with asyncio.TaskGroup() as group:  # the first failure cancels the other starts
            for router in self.platform.routers:
                group.create_task(start(router.number))

    async def _start_clients(self) -> None:
        addresses = [router.listen for router in self.platform.routers]
        if self.scenario.traffic.direct:
            addresses = self.platform.server_addresses()
        workers = self.platform.workers
        scenario = msgspec.to_builtins(self.scenario)
        await asyncio.gather(*(channel.call("setup", scenario, addresses) for channel in workers.client_channels))
        for channel in workers.all_channels:
            await channel.call("reset_lag")

    # traffic

    async def _run_traffic(self) -> None:
        """Run the clients and inject the faults until every operation has ended."""
        started_at = self.platform.schedule.now() + START_MARGIN_S * 1000.0
        self.ledger.started_at = started_at
        await self.platform.call_clients("begin", started_at)
        injecting = asyncio.create_task(self.faults.run(started_at))
        sampling = asyncio.create_task(self._sample_routers(started_at))
        finishing = asyncio.gather(*(channel.call("finish") for channel in self.platform.workers.client_channels))
        try:
            await self._wait_for_operations(injecting, finishing)
        finally:
            for task in (injecting, sampling, finishing):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, Exception):
                    await task
        self.ledger.ended_at = self.platform.schedule.now()

    async def _wait_for_operations(self, injecting: asyncio.Future[Any], finishing: asyncio.Future[Any]) -> None:
        """Wait until clients and faults have finished. Raise a RunError if the clients time out or a worker ends."""
        max_deadline_s = self.scenario.traffic.max_deadline_ms() / 1000.0
        wait_until_s = time.monotonic() + START_MARGIN_S + self.scenario.length_s + max_deadline_s * 2 + END_MARGIN_S
        pending = {injecting, finishing}
        while pending:
            done, _ = await asyncio.wait(
                {*pending, self.platform.workers.failed},
                timeout=max(0.0, wait_until_s - time.monotonic()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                if finishing in pending:
                    raise RunError("operations did not end before the run's time-out: the load tool does not respond")
                return  # a fault may last longer than the run
            for task in done:
                task.result()
            pending -= done

    async def _sample_routers(self, started_at: float) -> None:
        """Periodically sample the resources of the routers, and record crashes."""
        routers = self.platform.routers
        length_s = self.scenario.length_s
        period_s = SAMPLE_PERIOD_S * max(1.0, len(routers) / MAX_ROUTERS_PER_SAMPLE_PERIOD)
        while True:
            for router in routers:
                router.sample()
                _record_crash(router)
            done_s = (self.platform.schedule.now() - started_at) / 1000.0
            active = [
                fault.label()
                for fault in self.scenario.faults
                if fault.start_s <= done_s < fault.start_s + fault.length_s
            ]
            self._report(max(0.0, min(done_s, length_s)), ", ".join(active) or "traffic")
            await asyncio.sleep(period_s)

    # end

    async def _collect(self) -> RunOutcome:
        """Stop the routers and merge the ledgers of all workers."""
        self._report(self.scenario.length_s, "collecting")
        await asyncio.gather(*(_stop_router(router) for router in self.platform.routers if router.pid))
        for channel in self.platform.workers.all_channels:
            self.ledger.merge(msgspec.msgpack.decode(await channel.call("collect"), type=Ledger))
        return RunOutcome(self.ledger, self.platform.counters())


def _record_crash(router: RouterProcess) -> None:
    process = router.process
    if process is not None and process.returncode is not None and not router.is_exit_expected:
        router.is_exit_expected = True
        router.record_event("crashed", process.returncode)


async def _stop_router(router: RouterProcess) -> None:
    router.signal(signal.SIGCONT)
    if exit_code := await router.terminate(ROUTER_STOP_TIMEOUT_S):
        router.record_event("bad-exit", exit_code)


def run_scenario(scenario: Scenario, progress: Progress | None = None, folder: Path | None = None) -> RunOutcome:
    """Run a scenario on an event loop of its own.

    Args:
        scenario: The scenario to run.
        progress: Called periodically during the run.
        folder: The folder for the routers' logs and configurations; None: a temporary folder.

    Raises:
        RunError: The machine's limits are too low, or a part of the testbed itself failed.
    """
    check_machine(scenario)

    async def run(run_folder: Path) -> RunOutcome:
        return await Run(scenario, run_folder, progress).execute()

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(run(folder))
    with tempfile.TemporaryDirectory(prefix="starlingthread-") as temporary:
        return uvloop.run(run(Path(temporary)))


def emulate(
    scenario: Scenario, folder: Path, routers: bool, seconds: float | None, print_line: Callable[[str], None]
) -> None:
    """Start the platform without clients and keep it running for a time or until a KeyboardInterrupt.

    Raise a RunError as ``run_scenario`` does.
    """
    check_machine(scenario)
    folder.mkdir(parents=True, exist_ok=True)

    async def run() -> None:
        await Run(scenario, folder, has_clients=False).hold(routers, seconds, print_line)

    uvloop.run(run())
