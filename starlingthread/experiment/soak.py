"""Scenarios of the soak: everything in one is drawn from its seed."""

from __future__ import annotations

import sys
from random import Random

from .scenario import Datagrams, Discovery, Fault, FaultKind, Fleet, Machine, Routers, Scenario, Traffic

MIN_LENGTH_S = 12.0
EARLIEST_FAULT_S = 2.5  # after the clients' warm-up
FAULT_FREE_END_S = 4.0  # without faults, so that the end can be compared with the warm-up
WARM_UP_S = 2.0
MIN_DRAIN_S = 3.5  # a draining server leaves the list after 3 s, and can come back after that only
DESCRIPTOR_LIMITS = (192, 256, 512)
# Ignores the signals that arrive before the program's first line, as the deploy file does.
ROUTER_COMMAND = ("/bin/sh", "-c", f"trap '' HUP USR1; exec {sys.executable} -m starlingthread")
IDLE_CONNECTION_SHARE = 0.6  # of a router's descriptors: more connections than clients may hold
RESTARTING_KINDS = frozenset(("restart-router", "signals-router", "kill-router"))


class SoakScenarioGenerator:
    """Draws one scenario."""

    def __init__(self, seed: int, length_s: float) -> None:
        self._seed = seed
        self._rng = Random(seed)
        self._length_s = length_s
        self._faults: list[Fault] = []
        self._router_count = self._rng.randint(2, 4)
        self._server_count = self._rng.randint(4, 8)
        self._descriptors = self._rng.choice(DESCRIPTOR_LIMITS)
        # Servers for faults that end in a restart or a return to the list: each is in one of them at most.
        self._untouched = self._rng.sample(range(self._server_count), k=self._server_count // 2)

    def scenario(self) -> Scenario:
        """Return the scenario."""
        rng = self._rng
        fleet = Fleet(servers=self._server_count, idle_close_ms=rng.choice((300.0, 1000.0, 4000.0, 30000.0)))
        discovery = Discovery(notice_ms=rng.uniform(50.0, 800.0), call_ms=rng.uniform(1.0, 40.0))
        traffic = Traffic(
            rate=rng.uniform(100.0, 250.0),
            warmup_s=WARM_UP_S,
            connections=10 * self._router_count,
            retries=rng.randint(0, 2),
            abandon_share=rng.choice((0.0, 0.0, 0.03)),
        )
        self._draw_restarts()
        self._draw_discovery_faults()
        self._draw_server_faults()
        self._draw_client_faults()
        return Scenario(
            name="soak",
            length_s=self._length_s,
            seed=self._seed,
            fleet=fleet,
            routers=Routers(count=self._router_count, sockets=self._descriptors, command=ROUTER_COMMAND),
            discovery=discovery,
            datagrams=Datagrams(),
            traffic=traffic,
            machine=Machine(load_processes=2),
            faults=tuple(sorted(self._faults, key=lambda fault: fault.start_s)),
        )

    # faults

    def _draw_restarts(self) -> None:
        """Draw restarts, with drains in the same moment."""
        rng = self._rng
        start_s = self._start()
        routers = rng.sample(range(self._router_count), k=rng.randint(1, min(2, self._router_count - 1)))
        self._add("signals-router", start_s, routers=(routers[0],))
        if len(routers) > 1:
            kind: FaultKind = rng.choice(("signals-router", "restart-router", "kill-router"))
            length_s = 1.0 if kind == "kill-router" else 0.0
            self._add(kind, start_s + rng.uniform(0.0, 1.0), length_s, routers=(routers[1],))
        if self._chance(0.7):
            self._add_leave("shrink", start_s + rng.uniform(0.0, 0.5), rng.uniform(3.5, 4.5))

    def _draw_discovery_faults(self) -> None:
        rng = self._rng
        if self._chance(0.5):
            silent_at = self._start()
            self._add("silent-watches", silent_at)
            if self._chance(0.5):
                self._add_leave("shrink", silent_at + rng.uniform(0.0, 1.0), rng.uniform(3.5, 4.5))
        if self._chance(0.4):
            self._add("discovery-down", self._start(), rng.uniform(0.5, 3.0))
        elif self._chance(0.5):
            self._add("discovery-slow", self._start(), rng.uniform(1.0, 3.0), rng.uniform(50.0, 800.0))

    def _draw_server_faults(self) -> None:
        rng = self._rng
        kinds: dict[FaultKind, float] = {"reset": 0.05, "spoilt": 0.05, "half-answers": 0.02, "slow": 5.0}
        for kind, strength in kinds.items():
            if self._chance(0.25):
                self._add(kind, self._start(), rng.uniform(0.5, 2.0), strength, server_share=rng.uniform(0.1, 0.5))
        silent: tuple[FaultKind, ...] = ("silent", "crash", "pause")
        for kind in silent:
            if self._chance(0.25):
                self._add_leave(kind, self._start(), rng.uniform(0.3, 2.0))
        if self._chance(0.3):
            self._add("link-cut", self._start(), rng.uniform(0.2, 1.5), server_share=rng.uniform(0.1, 0.5))
        if self._chance(0.2):
            self._add("link-broken", self._start(), rng.uniform(0.5, 2.0), 0.05, server_share=0.5)

    def _draw_client_faults(self) -> None:
        rng = self._rng
        bad: tuple[FaultKind, ...] = ("garbage-clients", "half-commands")
        for kind in bad:
            if self._chance(0.4):
                self._add(kind, self._start(), rng.uniform(1.0, 3.0), rng.uniform(5.0, 40.0))
        if self._chance(0.3):
            self._add("leaving-clients", self._start(), rng.uniform(0.5, 2.0), rng.uniform(0.05, 0.5))
        if self._chance(0.3):
            self._add("idle-clients", self._start(), rng.uniform(1.5, 4.0), IDLE_CONNECTION_SHARE * self._descriptors)

    def _add_leave(self, kind: FaultKind, start_s: float, length_s: float) -> None:
        """Add a fault in which a server goes and comes back, while there is one left for it."""
        if self._untouched:
            self._add(kind, start_s, length_s, servers=(self._untouched.pop(),))

    def _chance(self, probability: float) -> bool:
        return self._rng.random() < probability

    def _start(self) -> float:
        """Return when a fault begins: it can end before the quiet end."""
        return self._rng.uniform(
            EARLIEST_FAULT_S, max(EARLIEST_FAULT_S, self._length_s - FAULT_FREE_END_S - MIN_DRAIN_S)
        )

    def _add(
        self,
        kind: FaultKind,
        start_s: float,
        length_s: float = 0.0,
        strength: float = 0.0,
        server_share: float = 0.0,
        routers: tuple[int, ...] = (),
        servers: tuple[int, ...] = (),
    ) -> None:
        latest = self._length_s - FAULT_FREE_END_S
        shortest = MIN_DRAIN_S if kind == "shrink" else 0.2
        length_s = min(length_s, max(shortest, latest - start_s)) if length_s else 0.0
        self._faults.append(
            Fault(kind, start_s, length_s, strength, server_share=server_share, routers=routers, servers=servers)
        )


def generate_scenario(seed: int, length_s: float) -> Scenario:
    """Return the scenario of a seed."""
    return SoakScenarioGenerator(seed, max(MIN_LENGTH_S, length_s)).scenario()


def restarted_routers(scenario: Scenario) -> set[int]:
    """Return the routers whose processes do not live through the whole run."""
    return {number for fault in scenario.faults if fault.kind in RESTARTING_KINDS for number in fault.routers}
