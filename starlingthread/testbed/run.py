"""One run of a scenario: starts servers, discovery, relay, routers and clients, plays the faults, collects."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import tomli_w
import uvloop

from ..emulator.datagram_relay import DatagramRelay
from ..emulator.discovery_server import DiscoveryServer, ListedServer
from ..emulator.fault_injector import FRONT_GRACE_S, FaultInjector
from ..emulator.load_oracle import create_oracle_file, server_name
from ..emulator.origin_model import OriginModel
from ..emulator.router_process import OPTIONS_FILE, ORACLE_FILE, RouterProcess
from ..emulator.rpc_channel import RpcChannel
from ..emulator.schedule import EventLoopSchedule
from ..experiment.randomness import streams
from ..experiment.records import FaultRecord, Ledger, ServerEvent, StatusNotification
from ..experiment.scenario import Scenario
from .errors import RunError
from .machine import check_machine

SAMPLE_EVERY = 0.25  # s between looks at the routers
START_WITHIN = 30.0  # s for workers to come up
SAMPLED_AT_ONCE = 30  # routers; more are looked at less often, as a look costs 0.1 ms
HEADROOM = 0.5  # s between the last set-up and the first request
EXTRA_END = 2.0  # s past the longest deadline in which every operation must have ended
STOP_WITHIN = 8.0  # s that a router has after SIGTERM


class Outcome(NamedTuple):
    """What a run leaves."""

    ledger: Ledger
    facts: dict[str, float]  # counts of the origin, discovery and the relay


Progress = Callable[[float, float, str], None]  # seconds done, seconds in all, what goes on


class Run:
    """The testbed. One object plays one run."""

    def __init__(self, scenario: Scenario, folder: Path, progress: Progress | None = None) -> None:
        self.scenario, self.folder = scenario, folder
        self.progress = progress or (lambda done, whole, what: None)
        self.ledger = Ledger()
        if scenario.routers.options:  # before any router starts: one that reads it half written would go without
            (folder / OPTIONS_FILE).write_text(tomli_w.dumps(scenario.routers.options))
        seeds = streams(scenario.seed + 1_000_003, 3)
        self.schedule = EventLoopSchedule(asyncio.get_running_loop())
        self.origin = OriginModel(scenario.origin, self.schedule, seeds[0])
        self.origin.on_write = self._wrote
        self.relay = DatagramRelay(scenario.datagrams, seeds[1])
        self.faults = FaultInjector(self, seeds[2])
        self.discovery = DiscoveryServer(scenario.routers.count, scenario.discovery.call_ms, self.ledger.notifications)
        self.routers = [RouterProcess(n, scenario, folder, self.ledger) for n in range(scenario.routers.count)]
        self.workers: dict[tuple[str, int], RpcChannel] = {}
        self._processes: list[asyncio.subprocess.Process] = []
        self._joined = asyncio.Event()
        self._front: set[asyncio.Task[None]] = set()
        self._failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._over = False
        self.has_clients = True
        self._notices: dict[int, asyncio.Task[None]] = {}
        self._shunned: set[int] = set()  # routers that the front leaves alone

    # workers

    def _roles(self) -> list[tuple[str, int]]:
        machine = self.scenario.machine
        clients = machine.load_processes if self.has_clients else 0
        return [*(("servers", n) for n in range(machine.server_processes)), *(("clients", n) for n in range(clients))]

    def _message(self, channel: RpcChannel, message: list[Any]) -> None:
        kind = message[0]
        if not channel.name and kind != "hello":
            channel.transport.abort()
        elif kind == "f":
            self.origin.fetch(message[2], lambda version: channel.send("o", message[1], version))
        elif kind == "w":
            self.origin.write(message[2], message[3], lambda version: channel.send("o", message[1], version))
        elif kind == "hello":
            channel.name = f"{message[1]}-{message[2]}"
            self.workers[(message[1], message[2])] = channel
            if len(self.workers) == len(self._roles()):
                self._joined.set()
        elif kind == "fell":
            asyncio.get_running_loop().call_later(
                self.scenario.discovery.crash_notice_ms / 1000.0, self.publish_status, message[1], "terminated"
            )

    def _ended(self, channel: RpcChannel) -> None:
        if channel.name and not self._over and not self._failed.done():
            self._failed.set_exception(
                RunError(f"process {channel.name} of the emulator has ended; see its trace above")
            )

    def _wrote(self, key: str) -> None:
        for (role, _), channel in self.workers.items():
            if role == "servers":
                channel.send("i", key)

    def _server(self, number: int) -> RpcChannel:
        return self.workers[("servers", number % self.scenario.machine.server_processes)]

    # the testbed, as faults see it

    async def call_server(self, number: int, method: str) -> None:
        await self._server(number).call("server", number, method, [])

    async def set_server_attribute(self, number: int, name: str, value: float) -> None:
        await self._server(number).call("set", number, name, value)

    async def set_link_conditions(self, number: int, groups: list[int], figures: dict[str, float]) -> None:
        await self._server(number).call("link", number, groups, figures)

    def partition_discovery(self, routers: set[int], is_cut: bool) -> None:
        self.discovery.partition(routers, is_cut)

    def partition_peers(self, routers: set[int], is_split: bool) -> None:
        if is_split:
            self.relay.partitions.append(routers)
        else:
            self.relay.partitions.remove(routers)

    def publish_status(self, number: int, status: str, restarted: bool = False) -> None:
        entry = self._entries[number]
        entry.status = status
        if restarted:
            entry.since_ms, entry.started_at = int(time.time() * 1000.0), self.schedule.now()
        self.discovery.publish(entry)
        self.ledger.server_events.append(ServerEvent(number, f"listed {status}", self.schedule.now()))

    async def call_clients(self, method: str, *arguments: object) -> None:
        for (role, _), channel in self.workers.items():
            if role == "clients":
                await channel.call(method, *arguments)

    async def bad_clients(self, per_second: float, seconds: float, half: bool) -> None:
        await self.workers[("clients", 0)].call("bad_clients", per_second, seconds, half)

    def set_discovery_down(self, is_down: bool) -> None:
        self.discovery.set_down(is_down)

    def set_datagram_loss(self, share: float) -> None:
        self.relay.extra_loss = share

    def slow_origin(self, factor: float) -> None:
        self.origin.slowdown = factor

    def record_fault(self, marked: FaultRecord) -> None:
        self.ledger.faults.append(marked)

    def _notice_later(self, number: int, delay: float) -> None:
        """The front leaves a router alone some time after it has stopped answering."""

        async def notice() -> None:
            await asyncio.sleep(delay)
            self._shunned.add(number)
            await self.call_clients("front", number, False)

        task = asyncio.create_task(notice())
        self._front.add(task)
        self._notices[number] = task
        task.add_done_callback(self._front.discard)

    async def _back(self, number: int) -> None:
        if (task := self._notices.pop(number, None)) is not None:
            task.cancel()
        if number in self._shunned:
            self._shunned.discard(number)
            await self.call_clients("front", number, True)

    async def kill_router(self, number: int) -> None:
        self._notice_later(number, self.scenario.traffic.front_notices_ms / 1000.0)
        await self.routers[number].kill()

    def _place_of(self, number: int) -> tuple[int, list[tuple[str, int]], tuple[str, int], dict[str, Any]]:
        """Return what a router is told of the platform."""
        return (
            self.discovery.ports[number],
            self.relay.addresses,
            self.relay.broadcast_address,
            self.discovery.snapshot(number),
        )

    async def start_router(self, number: int) -> None:
        at = self.schedule.now()
        self.ledger.notifications.extend(
            StatusNotification(number, e.number, e.status, at, e.started_at) for e in self.discovery.entries.values()
        )
        await self.routers[number].start(*self._place_of(number))
        if not await self.routers[number].is_ready():
            raise RunError(
                f"router r{number} did not get ready; the end of its log:\n{self.routers[number].log_tail()}"
            )
        await self._back(number)

    async def restart_router(self, number: int) -> None:
        self._notice_later(number, FRONT_GRACE_S)
        longest = max(c.deadline_ms for c in self.scenario.traffic.classes) / 1000.0
        await self.routers[number].terminate(max(STOP_WITHIN, longest + 1.0))
        await self.start_router(number)

    def signal_router(self, number: int, which: signal.Signals) -> None:
        self.routers[number].signal(which)
        stopped = which == signal.SIGSTOP
        self.routers[number].record_event("stopped" if stopped else "continued")
        if stopped:
            self._notice_later(number, self.scenario.traffic.front_notices_ms / 1000.0)
        else:
            task = asyncio.create_task(self._back(number))
            self._front.add(task)
            task.add_done_callback(self._front.discard)

    # the run

    async def play(self) -> Outcome:
        """Play the whole run. Raise a RunError if something of the emulator's own fails."""
        async with self._platform():
            await self._start_routers()
            await self._start_clients()
            await self._go()
            return await self._collect()

    async def hold(self, routers: bool, seconds: float | None, say: Callable[[str], None]) -> None:
        """Bring the platform up without clients, tell where it listens, play the faults."""
        self.has_clients = False
        async with self._platform():
            for entry in self.discovery.entries.values():
                say(f"server {entry.number} {entry.name} {entry.zone} {entry.addresses[0]}")
            for router in self.routers:
                if routers:
                    await self.start_router(router.number)
                    say(f"router {router.name} listens at {router.listen[0]}:{router.listen[1]}")
                else:
                    path = router.configure(*self._place_of(router.number))
                    say(f"router {router.name}: LB_CONFIG={path} python -m starlingthread")
            self.ledger.started_at = self.schedule.now()
            playing = asyncio.create_task(self.faults.run(self.ledger.started_at))
            try:
                await asyncio.sleep(seconds if seconds is not None else 1e9)
            finally:
                playing.cancel()

    @contextlib.asynccontextmanager
    async def _platform(self) -> AsyncIterator[None]:
        """Servers, discovery and relay, and all that was started taken down at the end."""
        server = await asyncio.get_running_loop().create_server(
            lambda: RpcChannel(self._message, self._ended), "127.0.0.1", 0
        )
        try:
            await self._set_up(server.sockets[0].getsockname()[1])
            yield
        except* RunError as group:
            raise group.exceptions[0] from None
        except* (ConnectionError, RuntimeError) as group:
            raise RunError(f"the emulator failed: {group.exceptions[0]}") from group
        finally:
            self._over = True
            for router in self.routers:
                await router.kill()
            for channel in self.workers.values():
                channel.transport.close()
            for process in self._processes:
                if process.returncode is None:
                    try:
                        await asyncio.wait_for(process.wait(), 3.0)
                    except TimeoutError:
                        process.kill()
                        await process.wait()
            self.relay.stop()
            await self.discovery.stop()
            server.close()

    async def _set_up(self, port: int) -> None:
        scenario = self.scenario
        self.progress(0.0, scenario.length_s, "starting servers and clients")
        for role, number in self._roles():
            self._processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "starlingthread.testbed.worker",
                    str(port),
                    role,
                    str(number),
                    stdin=asyncio.subprocess.DEVNULL,
                )
            )
        joined = asyncio.create_task(self._joined.wait())
        ends = [asyncio.create_task(process.wait()) for process in self._processes]
        done, _ = await asyncio.wait({joined, *ends}, timeout=START_WITHIN, return_when=asyncio.FIRST_COMPLETED)
        for task in (joined, *ends):
            task.cancel()
        if done & set(ends):
            raise RunError("a process of the emulator ended at its start; see its trace above")
        if not done:
            raise RunError("the emulator's processes did not come up in time; is the machine overloaded?")
        plain = msgspec.to_builtins(scenario)
        truth = ""
        if scenario.routers.policy == "truth":
            truth = str(self.folder / ORACLE_FILE)
            create_oracle_file(self.folder / ORACLE_FILE, scenario.fleet.servers)
        ports: dict[int, list[int]] = {}
        for number in range(scenario.machine.server_processes):
            ports.update(await self.workers[("servers", number)].call("setup", plain, truth))
        zones = scenario.fleet.zones
        self._entries = {
            n: ListedServer(n, server_name(n), [f"127.0.0.1:{port}" for port in ports[n]], zones[n % len(zones)])
            for n in sorted(ports)
        }
        for number in range(scenario.fleet.cold_servers):
            self._entries[number].since_ms = int(time.time() * 1000.0)
            self._entries[number].started_at = self.schedule.now()
        self.discovery.entries = dict(self._entries)
        await self.discovery.start()
        await self.relay.start([r.peer_listen for r in self.routers])

    async def _start_routers(self) -> None:
        self.progress(0.0, self.scenario.length_s, "starting routers")
        places = asyncio.Semaphore(2 * (os.cpu_count() or 1))  # all at once they'd be late to get ready

        async def start(number: int) -> None:
            async with places:
                await self.start_router(number)

        async with asyncio.TaskGroup() as starting:  # the first that fails ends the others
            for router in self.routers:
                starting.create_task(start(router.number))

    async def _start_clients(self) -> None:
        scenario = self.scenario
        plain = msgspec.to_builtins(scenario)
        addresses = [r.listen for r in self.routers]
        if scenario.traffic.direct:
            places = [entry.addresses[0].rpartition(":") for entry in self._entries.values()]
            addresses = [(host, int(port)) for host, _, port in places]
        await asyncio.gather(
            *(
                self.workers[("clients", n)].call("setup", plain, addresses)
                for n in range(scenario.machine.load_processes)
            )
        )
        for channel in self.workers.values():
            await channel.call("reset_lag")

    async def _go(self) -> None:
        scenario = self.scenario
        started = self.ledger.started_at = self.schedule.now() + HEADROOM * 1000.0
        await self.call_clients("begin", started)
        playing = asyncio.create_task(self.faults.run(started))
        sampling = asyncio.create_task(self._sample(started))
        longest = max(c.deadline_ms for c in scenario.traffic.classes) / 1000.0
        finishing = asyncio.gather(
            *(channel.call("finish") for (role, _), channel in self.workers.items() if role == "clients")
        )
        limit = HEADROOM + scenario.length_s + longest * 2 + EXTRA_END
        tasks: set[asyncio.Future[Any]] = {playing, finishing}
        until = time.monotonic() + limit
        try:
            while tasks:
                left = until - time.monotonic()
                done, _ = await asyncio.wait(
                    {*tasks, self._failed}, timeout=max(0.0, left), return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    if finishing in tasks:
                        raise RunError("operations did not end in their time: the load tool stands still")
                    break  # a fault that ends after the run
                for one in done:
                    one.result()
                tasks -= done
        finally:
            for task in (playing, sampling, finishing):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, Exception):
                    await task
        self.ledger.ended_at = self.schedule.now()

    async def _sample(self, started: float) -> None:
        length = self.scenario.length_s
        while True:
            for router in self.routers:
                router.sample()
                process = router.process
                if process is not None and process.returncode is not None and not router.expected_to_end:
                    router.expected_to_end = True
                    router.record_event("crashed", process.returncode)
            done = (self.schedule.now() - started) / 1000.0
            running = [f.label() for f in self.scenario.faults if f.start_s <= done < f.start_s + f.length_s]
            self.progress(max(0.0, min(done, length)), length, ", ".join(running) or "traffic")
            await asyncio.sleep(SAMPLE_EVERY * max(1.0, len(self.routers) / SAMPLED_AT_ONCE))

    async def _collect(self) -> Outcome:
        self.progress(self.scenario.length_s, self.scenario.length_s, "collecting")

        async def end(router: RouterProcess) -> None:
            router.signal(signal.SIGCONT)
            if code := await router.terminate(STOP_WITHIN):
                router.record_event("bad-exit", code)

        await asyncio.gather(*(end(router) for router in self.routers if router.pid))
        for channel in self.workers.values():
            part = msgspec.msgpack.decode(await channel.call("collect"), type=Ledger)
            self.ledger.merge(part)
        origin, discovery, relay = self.origin, self.discovery, self.relay
        return Outcome(
            self.ledger,
            {
                "origin.fetches": origin.fetches,
                "origin.writes": origin.writes,
                "origin.repeats_dropped": origin.deduplicated_writes,
                "origin.failures": origin.failures,
                "discovery.calls": discovery.requests,
                "discovery.failed": discovery.failed_requests,
                "datagrams.sent": relay.sent,
                "datagrams.delivered": relay.delivered,
                "datagrams.dropped": relay.dropped,
                "datagrams.too_long": relay.oversized,
            },
        )


def play(scenario: Scenario, progress: Progress | None = None, folder: Path | None = None) -> Outcome:
    """Play a scenario from the command line's side: makes a loop, a folder for logs, and cleans up."""
    check_machine(scenario)

    async def whole(place: Path) -> Outcome:
        return await Run(scenario, place, progress).play()

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(whole(folder))
    with tempfile.TemporaryDirectory(prefix="starlingthread-") as temporary:
        return uvloop.run(whole(Path(temporary)))


def emulate(scenario: Scenario, folder: Path, routers: bool, seconds: float | None, say: Callable[[str], None]) -> None:
    """Bring up the platform without clients and hold it until the time is over or a KeyboardInterrupt comes."""
    check_machine(scenario)
    folder.mkdir(parents=True, exist_ok=True)

    async def whole() -> None:
        await Run(scenario, folder).hold(routers, seconds, say)

    uvloop.run(whole())
