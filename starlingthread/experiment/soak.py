"""Random scenarios for the soak test. A seed determines the whole scenario."""

from __future__ import annotations

import sys
from random import Random

from .scenario import Datagrams, Discovery, Fault, FaultKind, Fleet, Machine, Routers, Scenario, Traffic

MIN_LENGTH_S = 12.0
EARLIEST_FAULT_S = 2.5  # faults start after the clients' warm-up
# The end of a run has no faults, so that its resource usage can be compared with that after the warm-up.
FAULT_FREE_END_S = 4.0
WARM_UP_S = 2.0
MIN_DRAIN_S = 3.5  # a draining server leaves the endpoint list after 3 s and can return only after that
DESCRIPTOR_LIMITS = (192, 256, 512)
# As in the deployment file, the shell makes the router ignore signals until its Python program handles them.
ROUTER_COMMAND = ("/bin/sh", "-c", f"trap '' HUP USR1; exec {sys.executable} -m starlingthread")
# Idle connections as a share of a router's descriptors: more than clients may hold.
IDLE_CONNECTION_SHARE = 0.6
# Shares of the seeds with each kind of fault of the peers.
GREEDY_CLIENTS_SHARE = 0.7
SLOW_READS_SHARE = 0.5
REPLACEMENT_SHARE = 0.5
RESTARTING_KINDS = frozenset(("restart-router", "signals-router", "kill-router"))


class SoakScenarioGenerator:
    """Generates one random scenario."""

    def __init__(self, seed: int, length_s: float) -> None:
        self._seed = seed
        self._rng = Random(seed)
        self._length_s = length_s
        self._faults: list[Fault] = []
        self._router_count = self._rng.randint(2, 4)
        self._server_count = self._rng.randint(4, 8)
        self._descriptors = self._rng.choice(DESCRIPTOR_LIMITS)
        # Servers that are available for faults that end in a restart or a return to the endpoint list: a server is
        # used for one such fault at most.
        self._available_servers = self._rng.sample(range(self._server_count), k=self._server_count // 2)

    def scenario(self) -> Scenario:
        """Generate the scenario."""
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
        self._add_restarts()
        self._add_discovery_faults()
        self._add_server_faults()
        self._add_client_faults()
        self._add_peer_faults()
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

    def _add_restarts(self) -> None:
        """Add restarts of routers, and a drain of a server at the same time."""
        rng = self._rng
        start_s = self._random_start_s()
        routers = rng.sample(range(self._router_count), k=rng.randint(1, min(2, self._router_count - 1)))
        self._add_fault("signals-router", start_s, routers=(routers[0],))
        if len(routers) > 1:
            kind: FaultKind = rng.choice(("signals-router", "restart-router", "kill-router"))
            length_s = 1.0 if kind == "kill-router" else 0.0
            self._add_fault(kind, start_s + rng.uniform(0.0, 1.0), length_s, routers=(routers[1],))
        if self._with_probability(0.7):
            self._add_outage("shrink", start_s + rng.uniform(0.0, 0.5), rng.uniform(3.5, 4.5))

    def _add_discovery_faults(self) -> None:
        rng = self._rng
        if self._with_probability(0.5):
            silent_from_s = self._random_start_s()
            self._add_fault("silent-watches", silent_from_s)
            if self._with_probability(0.5):
                self._add_outage("shrink", silent_from_s + rng.uniform(0.0, 1.0), rng.uniform(3.5, 4.5))
        if self._with_probability(0.4):
            self._add_fault("discovery-down", self._random_start_s(), rng.uniform(0.5, 3.0))
        elif self._with_probability(0.5):
            self._add_fault("discovery-slow", self._random_start_s(), rng.uniform(1.0, 3.0), rng.uniform(50.0, 800.0))

    def _add_server_faults(self) -> None:
        rng = self._rng
        kinds: dict[FaultKind, float] = {"reset": 0.05, "spoilt": 0.05, "half-answers": 0.02, "slow": 5.0}
        for kind, strength in kinds.items():
            if self._with_probability(0.25):
                self._add_fault(
                    kind, self._random_start_s(), rng.uniform(0.5, 2.0), strength, server_share=rng.uniform(0.1, 0.5)
                )
        unresponsive: tuple[FaultKind, ...] = ("silent", "crash", "pause")
        for kind in unresponsive:
            if self._with_probability(0.25):
                self._add_outage(kind, self._random_start_s(), rng.uniform(0.3, 2.0))
        if self._with_probability(0.3):
            self._add_fault(
                "link-cut", self._random_start_s(), rng.uniform(0.2, 1.5), server_share=rng.uniform(0.1, 0.5)
            )
        if self._with_probability(0.2):
            self._add_fault("link-broken", self._random_start_s(), rng.uniform(0.5, 2.0), 0.05, server_share=0.5)

    def _add_client_faults(self) -> None:
        rng = self._rng
        invalid: tuple[FaultKind, ...] = ("garbage-clients", "half-commands")
        for kind in invalid:
            if self._with_probability(0.4):
                self._add_fault(kind, self._random_start_s(), rng.uniform(1.0, 3.0), rng.uniform(5.0, 40.0))
        if self._with_probability(0.3):
            self._add_fault("leaving-clients", self._random_start_s(), rng.uniform(0.5, 2.0), rng.uniform(0.05, 0.5))
        if self._with_probability(0.3):
            self._add_fault(
                "idle-clients", self._random_start_s(), rng.uniform(1.5, 4.0), IDLE_CONNECTION_SHARE * self._descriptors
            )

    def _add_peer_faults(self) -> None:
        """Add greedy clients, and servers that read slowly or are replaced; drawn apart, so that other faults stay."""
        rng = Random(f"{self._seed} peers")
        if rng.random() < GREEDY_CLIENTS_SHARE:
            self._add_fault("greedy-clients", self._random_start(rng), rng.uniform(1.0, 4.0), rng.uniform(4.0, 40.0))
        if rng.random() < SLOW_READS_SHARE:
            rate = 10.0 ** rng.uniform(3.5, 6.0)
            self._add_fault("slow-reads", self._random_start(rng), rng.uniform(1.0, 4.0), rate, server_share=0.5)
        if rng.random() < REPLACEMENT_SHARE and self._available_servers:
            replaced = (self._available_servers.pop(),)
            self._add_fault("replace", self._random_start(rng), 0.0, rng.uniform(0.0, 300.0), servers=replaced)

    def _random_start(self, rng: Random) -> float:
        latest_s = max(EARLIEST_FAULT_S, self._length_s - FAULT_FREE_END_S - MIN_DRAIN_S)
        return rng.uniform(EARLIEST_FAULT_S, latest_s)

    def _add_outage(self, kind: FaultKind, start_s: float, length_s: float) -> None:
        """Add a temporary outage of a server, if one is still available for it."""
        if self._available_servers:
            self._add_fault(kind, start_s, length_s, servers=(self._available_servers.pop(),))

    def _with_probability(self, probability: float) -> bool:
        return self._rng.random() < probability

    def _random_start_s(self) -> float:
        """Return a random start time (s) that lets a fault end before the fault-free end of the run."""
        return self._rng.uniform(
            EARLIEST_FAULT_S, max(EARLIEST_FAULT_S, self._length_s - FAULT_FREE_END_S - MIN_DRAIN_S)
        )

    def _add_fault(
        self,
        kind: FaultKind,
        start_s: float,
        length_s: float = 0.0,
        strength: float = 0.0,
        server_share: float = 0.0,
        routers: tuple[int, ...] = (),
        servers: tuple[int, ...] = (),
    ) -> None:
        latest_end_s = self._length_s - FAULT_FREE_END_S
        shortest_s = MIN_DRAIN_S if kind == "shrink" else 0.2
        length_s = min(length_s, max(shortest_s, latest_end_s - start_s)) if length_s else 0.0
        self._faults.append(
            Fault(kind, start_s, length_s, strength, server_share=server_share, routers=routers, servers=servers)
        )


def generate_scenario(seed: int, length_s: float) -> Scenario:
    """Return the scenario of a seed, of at least the minimum length."""
    return SoakScenarioGenerator(seed, max(MIN_LENGTH_S, length_s)).scenario()


def restarted_routers(scenario: Scenario) -> set[int]:
    """Return the routers whose processes are restarted during the run."""
    return {number for fault in scenario.faults if fault.kind in RESTARTING_KINDS for number in fault.routers}
