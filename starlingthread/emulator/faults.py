"""Faults: each kind is a pair of actions on the testbed, carried out at its time and taken back at its end."""

from __future__ import annotations

import asyncio
import contextlib
import math
import signal
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Protocol

import numpy as np

from ..experiment.records import FaultRecord
from ..experiment.scenario import Fault, Scenario, link_groups

DRAIN_PERIOD_S = 3.0  # s that a draining server has for what it holds
FRONT_GRACE_S = 0.3  # s for which new connections still go to a router after SIGTERM


class Testbed(Protocol):
    """What faults can touch: the running platform."""

    scenario: Scenario

    async def call_server(self, number: int, method: str) -> None:
        """Call a method of a server."""

    async def set_server_attribute(self, number: int, name: str, value: float) -> None:
        """Set a figure of a server."""

    async def set_link_conditions(self, number: int, groups: list[int], figures: dict[str, float]) -> None:
        """Change a server's links to some groups of routers, all if none is named."""

    def partition_discovery(self, routers: set[int], is_cut: bool) -> None:
        """Cut routers off from discovery, or end that."""

    def partition_peers(self, routers: set[int], is_split: bool) -> None:
        """Let datagrams of some routers reach only one another, or end that."""

    def publish_status(self, number: int, status: str, restarted: bool = False) -> None:
        """Change a server's line at discovery."""

    async def call_clients(self, method: str, *arguments: object) -> None:
        """Call all processes that play clients."""

    async def bad_clients(self, per_second: float, seconds: float, half: bool) -> None:
        """Start bad clients."""

    def set_discovery_down(self, is_down: bool) -> None:
        """Take discovery down, or up again."""

    def set_datagram_loss(self, share: float) -> None:
        """Lose a share of the datagrams."""

    def slow_origin(self, factor: float) -> None:
        """Let the origin take so many times less."""

    async def kill_router(self, number: int) -> None:
        """Kill a router outright."""

    async def restart_router(self, number: int) -> None:
        """Begin a planned restart, and see it through to the new process."""

    async def start_router(self, number: int) -> None:
        """Start a router; the front uses it as soon as it is ready."""

    def signal_router(self, number: int, which: signal.Signals) -> None:
        """Send a signal to a router."""

    def record_fault(self, marked: FaultRecord) -> None:
        """Write down what was done when."""


def targets(fault: Fault, scenario: Scenario, rng: np.random.Generator) -> tuple[int, ...]:
    """Return the servers (or routers) that a fault strikes: those it names, else a part drawn by the seed."""
    if fault.kind.endswith("-router"):
        return fault.routers or (int(rng.integers(scenario.routers.count)),)
    servers, zones = scenario.fleet.servers, scenario.fleet.zones
    if fault.kind in ON_ROUTER_LINKS:
        groups = groups_of(fault, scenario)
        return fault.routers or tuple(n for n in range(scenario.routers.count) if n % link_groups(scenario) in groups)
    if fault.zone and not fault.servers:
        return tuple(n for n in range(servers) if zones[n % len(zones)] == fault.zone)
    if fault.servers:
        return fault.servers
    count = max(1, math.ceil(servers * fault.part - 1e-9)) if fault.part else 1
    return tuple(sorted(int(n) for n in rng.choice(servers, size=min(count, servers), replace=False)))


def groups_of(fault: Fault, scenario: Scenario) -> list[int]:
    """Return the groups of routers whose links a fault strikes: those it names, else those of the zone from_zone."""
    zones = scenario.fleet.zones
    return [
        g
        for g in range(link_groups(scenario))
        if (not fault.groups or g in fault.groups) and (not fault.from_zone or zones[g % len(zones)] == fault.from_zone)
    ]


ON_ROUTER_LINKS = {"discovery-cut", "peers-cut"}
ON_SERVERS = {
    "link-cut",
    "link-slow",
    "link-lossy",
    "link-broken",
    "slow",
    "pause",
    "pauses",
    "heavy-tail",
    "silent",
    "crash",
    "replace",
    "reset",
    "late-reports",
    "spoilt",
    "half-answers",
    "shrink",
    "zone-dark",
}


class FaultInjector:
    """Plays a scenario's faults on a testbed."""

    def __init__(self, testbed: Testbed, rng: np.random.Generator) -> None:
        self.testbed, self.scenario = testbed, testbed.scenario
        # Drawn ahead and in order, so that the targets do not depend on what happens when.
        self.plan = [(fault, targets(fault, self.scenario, rng)) for fault in self.scenario.faults]
        self._later: set[asyncio.Task[None]] = set()

    async def run(self, started_at: float) -> None:
        """Carry all of them out; ``started_at`` is the run's start in ms."""
        await asyncio.gather(*(self._one(fault, struck, started_at) for fault, struck in self.plan))
        await asyncio.gather(*self._later)

    def later(self, delay: float, work: Callable[[], Awaitable[None]]) -> None:
        """Do something after a while, and before the run ends."""

        async def wait() -> None:
            await asyncio.sleep(delay)
            await work()

        task = asyncio.create_task(wait())
        self._later.add(task)

    async def _one(self, fault: Fault, struck: tuple[int, ...], started_at: float) -> None:
        await _until(started_at + fault.start_s * 1000.0)
        began = time.monotonic() * 1000.0
        await self._begin(fault, struck)
        await _until(started_at + (fault.start_s + fault.length_s) * 1000.0)
        if fault.length_s or fault.kind == "replace":
            await self._end(fault, struck)
        on_routers = fault.kind.endswith("-router") or fault.kind in ON_ROUTER_LINKS
        where = "servers " if fault.kind in ON_SERVERS else "routers " if on_routers else ""
        self.testbed.record_fault(
            FaultRecord(
                fault.label(),
                fault.kind,
                began,
                time.monotonic() * 1000.0,
                where + ",".join(map(str, struck)) if where else "",
                struck,
                tuple(groups_of(fault, self.scenario)),
                fault.way,
            )
        )

    async def _begin(self, fault: Fault, struck: tuple[int, ...]) -> None:
        testbed, kind, strength = self.testbed, fault.kind, fault.strength
        if kind in FIGURES:
            for number in struck:
                await testbed.set_server_attribute(number, FIGURES[kind][0], strength)
        elif kind in LINKS or kind in ON_ROUTER_LINKS:
            await self._link(fault, struck, True)
        elif kind == "heavy-tail":
            for number in struck:
                await testbed.set_server_attribute(number, "tail_share", fault.share)
                await testbed.set_server_attribute(number, "tail_factor", strength)
        elif kind == "pauses":
            for place, number in enumerate(struck):
                self.later(fault.every_s * place / len(struck), partial(self._pauses, fault, number))
        elif kind == "pause":
            await _each(testbed, struck, "freeze")
        elif kind in ("silent", "zone-dark"):
            await _each(testbed, struck, "become_unreachable")
            self._list_later(struck, "terminated", self.scenario.discovery.crash_notice_ms)
        elif kind == "crash":
            await _each(testbed, struck, "crash")
            self._list_later(struck, "terminated", self.scenario.discovery.crash_notice_ms)
        elif kind == "replace":
            await _each(testbed, struck, "crash")
            await asyncio.sleep(strength / 1000.0)
            await _each(testbed, struck, "restart")
            self._list_later(struck, "in_service", self.scenario.discovery.notice_ms, restarted=True)
        elif kind == "shrink":
            await _each(testbed, struck, "drain")
            self._list_later(struck, "terminating", self.scenario.discovery.notice_ms)
            self.later(DRAIN_PERIOD_S, lambda: _each(testbed, struck, "crash"))
            self._list_later(struck, "terminated", DRAIN_PERIOD_S * 1000.0 + self.scenario.discovery.notice_ms)
        elif kind in ("garbage-clients", "half-commands"):
            await testbed.bad_clients(strength, fault.length_s, kind == "half-commands")
        elif kind == "leaving-clients":
            await testbed.call_clients("leave", strength)
        elif kind == "lost-datagrams":
            testbed.set_datagram_loss(strength)
        elif kind == "discovery-down":
            testbed.set_discovery_down(True)
        elif kind == "origin-jam":
            testbed.slow_origin(strength)
        elif kind == "kill-router":
            for number in struck:
                await testbed.kill_router(number)
        elif kind == "stop-router":
            for number in struck:
                testbed.signal_router(number, signal.SIGSTOP)
        elif kind == "restart-router":
            await asyncio.gather(*(testbed.restart_router(number) for number in struck))

    async def _end(self, fault: Fault, struck: tuple[int, ...]) -> None:
        testbed, kind = self.testbed, fault.kind
        if kind in FIGURES:
            for number in struck:
                await testbed.set_server_attribute(number, *FIGURES[kind])
        elif kind in LINKS or kind in ON_ROUTER_LINKS:
            await self._link(fault, struck, False)
        elif kind == "heavy-tail":
            for number in struck:
                await testbed.set_server_attribute(number, "tail_share", 0.0)
        elif kind == "pause":
            await _each(testbed, struck, "resume")
        elif kind in ("silent", "zone-dark"):
            await _each(testbed, struck, "become_reachable")
            self._list_later(struck, "in_service", self.scenario.discovery.notice_ms)
        elif kind in ("crash", "shrink"):
            await _each(testbed, struck, "restart")
            self._list_later(struck, "in_service", self.scenario.discovery.notice_ms, restarted=True)
        elif kind == "leaving-clients":
            await testbed.call_clients("leave", self.scenario.traffic.leave)
        elif kind == "lost-datagrams":
            testbed.set_datagram_loss(0.0)
        elif kind == "discovery-down":
            testbed.set_discovery_down(False)
        elif kind == "origin-jam":
            testbed.slow_origin(1.0)
        elif kind == "kill-router":
            await asyncio.gather(*(testbed.start_router(number) for number in struck))
        elif kind == "stop-router":
            for number in struck:
                testbed.signal_router(number, signal.SIGCONT)

    async def _link(self, fault: Fault, struck: tuple[int, ...], begins: bool) -> None:
        """Set what is wrong with the links between some routers and servers, discovery or one another."""
        if fault.kind == "discovery-cut":
            return self.testbed.partition_discovery(set(struck), begins)
        if fault.kind == "peers-cut":
            return self.testbed.partition_peers(set(struck), begins)
        figures: dict[str, float] = {LINKS[fault.kind]: fault.strength if begins else 0.0}
        if fault.kind == "link-cut":
            figures = {
                "inbound_blocked": begins and fault.way != "from-server",
                "outbound_blocked": begins and fault.way != "to-server",
            }
        for number in struck:
            with contextlib.suppress(ConnectionError):
                await self.testbed.set_link_conditions(number, groups_of(fault, self.scenario), figures)

    async def _pauses(self, fault: Fault, number: int) -> None:
        """Pause a server again and again; servers struck together pause one after another."""
        for _ in range(max(1, int(fault.length_s / fault.every_s))):
            await _each(self.testbed, (number,), "freeze")
            await asyncio.sleep(fault.strength / 1000.0)
            await _each(self.testbed, (number,), "resume")
            await asyncio.sleep(max(0.0, fault.every_s - fault.strength / 1000.0))

    def _list_later(self, struck: tuple[int, ...], status: str, delay_ms: float, restarted: bool = False) -> None:
        async def change() -> None:
            for number in struck:
                self.testbed.publish_status(number, status, restarted)

        self.later(delay_ms / 1000.0, change)


# What a fault sets on a server, and what stands there when it is over.
FIGURES: dict[str, tuple[str, float]] = {
    "slow": ("slowdown", 1.0),
    "reset": ("reset_rate", 0.0),
    "late-reports": ("extra_report_delay_ms", 0.0),
    "spoilt": ("corruption_rate", 0.0),
    "half-answers": ("truncation_rate", 0.0),
}


# What a fault of a link sets at a server's address for some routers.
LINKS = {
    "link-cut": "inbound_blocked",
    "link-slow": "delay_ms",
    "link-lossy": "loss_rate",
    "link-broken": "truncation_rate",
}


async def _each(testbed: Testbed, numbers: tuple[int, ...], method: str) -> None:
    for number in numbers:
        with contextlib.suppress(ConnectionError):
            await testbed.call_server(number, method)


async def _until(at: float) -> None:
    await asyncio.sleep(max(0.0, at / 1000.0 - time.monotonic()))
