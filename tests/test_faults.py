"""Tests of the faults of scenarios: the calls of each kind to the testbed, and the choice of targets."""

from __future__ import annotations

import asyncio
import signal

import msgspec
import numpy as np
import pytest

from starlingthread.emulator import server_faults
from starlingthread.emulator.fault_injector import FaultInjector
from starlingthread.emulator.fault_targets import targets
from starlingthread.experiment import scenario, validation
from starlingthread.experiment.records import FaultRecord

FAULTLESS = scenario.Scenario("faultless")


class RecordingTestbed:
    """A testbed that records the calls of faults."""

    def __init__(self, spec: scenario.Scenario) -> None:
        self.scenario = spec
        self.actions: list[tuple[object, ...]] = []
        self.records: list[FaultRecord] = []

    async def call_server(self, number: int, method: str) -> None:
        self.actions.append((method, number))

    async def set_server_attribute(self, number: int, name: str, value: float) -> None:
        self.actions.append((name, value))

    def publish_status(self, number: int, status: str, restarted: bool = False) -> None:
        self.actions.append((status, restarted))

    async def call_clients(self, method: str, *arguments: object) -> None:
        self.actions.append((method, *arguments))

    async def bad_clients(self, connections_per_s: float, duration_s: float, is_partial: bool) -> None:
        self.actions.append(("bad clients", is_partial))

    async def set_link_conditions(self, number: int, groups: list[int], conditions: dict[str, float]) -> None:
        self.actions.append(("link", number, " ".join(f"{name}={value:g}" for name, value in conditions.items())))

    def partition_discovery(self, routers: set[int], is_partitioned: bool) -> None:
        self.actions.append(("partition discovery", *routers, is_partitioned))

    def partition_peers(self, routers: set[int], is_partitioned: bool) -> None:
        self.actions.append(("partition peers", *routers, is_partitioned))

    def set_discovery_down(self, is_down: bool) -> None:
        self.actions.append(("discovery down", is_down))

    def set_datagram_loss(self, share: float) -> None:
        self.actions.append(("datagram loss", share))

    def slow_origin(self, factor: float) -> None:
        self.actions.append(("slow origin", factor))

    def delay_discovery(self, delay_ms: float) -> None:
        self.actions.append(("delay discovery", delay_ms))

    def silence_watches(self) -> None:
        self.actions.append(("silence watches",))

    async def signal_and_restart_router(self, number: int) -> None:
        self.actions.append(("signals-router", number))

    async def kill_router(self, number: int) -> None:
        self.actions.append(("kill", number))

    async def restart_router(self, number: int) -> None:
        self.actions.append(("restart-router", number))

    async def start_router(self, number: int) -> None:
        self.actions.append(("start", number))

    def signal_router(self, number: int, signal_number: signal.Signals) -> None:
        self.actions.append((signal_number.name, number))

    def record_fault(self, record: FaultRecord) -> None:
        self.records.append(record)


EXPECTED: dict[str, list[tuple[object, ...]]] = {
    "slow": [("slowdown", 2.0), ("slowdown", 1.0)],
    "pause": [("freeze", 1), ("resume", 1)],
    "pauses": [("freeze", 1), ("resume", 1)],
    "heavy-tail": [("tail_share", 0.02), ("tail_factor", 2.0), ("tail_share", 0.0)],
    "silent": [("become_unreachable", 1), ("become_reachable", 1), ("terminated", False), ("in_service", False)],
    "crash": [("crash", 1), ("restart", 1), ("terminated", False), ("in_service", True)],
    "replace": [("crash", 1), ("restart", 1), ("in_service", True)],
    "reset": [("reset_rate", 0.5), ("reset_rate", 0.0)],
    "late-reports": [("extra_report_delay_ms", 2.0), ("extra_report_delay_ms", 0.0)],
    "spoilt": [("corruption_rate", 0.5), ("corruption_rate", 0.0)],
    "half-answers": [("truncation_rate", 0.5), ("truncation_rate", 0.0)],
    "garbage-clients": [("bad clients", False)],
    "half-commands": [("bad clients", True)],
    "leaving-clients": [("leave", 0.5), ("leave", 0.0)],
    "lost-datagrams": [("datagram loss", 0.5), ("datagram loss", 0.0)],
    "discovery-down": [("discovery down", True), ("discovery down", False)],
    "kill-router": [("kill", 1), ("start", 1)],
    "stop-router": [("SIGSTOP", 1), ("SIGCONT", 1)],
    "restart-router": [("restart-router", 1)],
    "shrink": [
        ("drain", 1),
        ("restart", 1),
        ("terminating", False),
        ("in_service", True),
        ("crash", 1),
        ("terminated", False),
    ],
    "zone-dark": [("become_unreachable", 1), ("become_reachable", 1), ("terminated", False), ("in_service", False)],
    "origin-jam": [("slow origin", 2.0), ("slow origin", 1.0)],
    "surge": [],
    "link-cut": [
        ("link", 1, "inbound_blocked=1 outbound_blocked=1"),
        ("link", 1, "inbound_blocked=0 outbound_blocked=0"),
    ],
    "link-slow": [("link", 1, "delay_ms=2"), ("link", 1, "delay_ms=0")],
    "link-lossy": [("link", 1, "loss_rate=0.5"), ("link", 1, "loss_rate=0")],
    "link-broken": [("link", 1, "truncation_rate=0.5"), ("link", 1, "truncation_rate=0")],
    "discovery-cut": [("partition discovery", 1, True), ("partition discovery", 1, False)],
    "signals-router": [("signals-router", 1)],
    "silent-watches": [("silence watches",)],
    "discovery-slow": [("delay discovery", 2.0), ("delay discovery", 0.0)],
    "idle-clients": [("idle_clients", 2, 0.001)],
    "greedy-clients": [("greedy_clients", 2.0, 0.001)],
    "slow-reads": [("read_bytes_per_s", 2.0), ("read_bytes_per_s", 0.0)],
    "peers-cut": [("partition peers", 1, True), ("partition peers", 1, False)],
}


@pytest.mark.parametrize("kind", EXPECTED)
def test_each_fault_begins_and_ends(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_faults, "DRAIN_PERIOD_S", 0.0)
    minimum, maximum, _ = validation.STRENGTHS.get(kind, (0.0, 0.0, ""))
    strength = 0.5 if maximum == 1.0 else min(2.0, maximum)
    fault = scenario.Fault(
        kind,  # type: ignore[arg-type]
        0.0,
        0.001,
        max(minimum, strength),
        servers=(1,),
        routers=(1,),
        zone="bloco-b",
        pause_interval_s=0.001,
    )
    discovery = scenario.Discovery(notice_ms=0.0, crash_notice_ms=0.0)
    spec = msgspec.structs.replace(FAULTLESS, faults=(fault,), discovery=discovery, fleet=scenario.Fleet(servers=2))
    testbed = RecordingTestbed(spec)
    asyncio.run(FaultInjector(testbed, np.random.default_rng(1)).run(0.0))
    assert sorted(testbed.actions, key=str) == sorted(EXPECTED[kind], key=str)
    assert [record.kind for record in testbed.records] == [kind]


def test_targets_depend_on_the_seed_alone() -> None:
    fault = scenario.Fault("slow", 0.0, 1.0, 2.0, server_share=0.3)
    drawn = [targets(fault, FAULTLESS, np.random.default_rng(seed)) for seed in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2] and len(drawn[0]) == 3
