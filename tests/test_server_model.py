"""Tests of the models of a cache server and the origin, in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import msgspec
import numpy as np

from starlingthread.emulator.origin_model import OriginModel
from starlingthread.emulator.server_model import Command, ServerModel
from starlingthread.experiment import scenario


class VirtualScheduler:
    """A Scheduler whose time advances only in ``run``."""

    def __init__(self) -> None:
        self.time, self.count = 0.0, 0
        self.due: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> float:
        return self.time

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.time + delay_ms, self.count, callback))

    def run(self, until: float = 1e9) -> None:
        while self.due and self.due[0][0] <= until:
            self.time, _, callback = heapq.heappop(self.due)
            callback()
        if until < 1e9:
            self.time = max(self.time, until)


class ModelServer:
    """A server model in virtual time, and the outcomes of its commands."""

    def __init__(self, fleet: scenario.Fleet, origin: scenario.Origin | None = None) -> None:
        self.clock = VirtualScheduler()
        rng = np.random.default_rng(1)
        self.origin = OriginModel(origin or scenario.Origin(fetch_ms=10.0, cv=0.0), self.clock, rng)
        self.model = ServerModel(0, fleet, 1.0, self.clock, self.origin, rng)
        self.outcomes: list[tuple[str, str, str, float]] = []

    def submit(self, request_id: str, key: str = "k", is_write: bool = False, idempotency_key: str = "") -> None:
        self.model.submit(
            Command(
                request_id,
                key,
                is_write,
                idempotency_key,
                lambda command, outcome: self.outcomes.append(
                    (command.request_id, outcome.value, command.flags, round(self.clock.now(), 3))
                ),
            )
        )


PREDICTABLE = scenario.Fleet(slots=2, queue_length=1, hit_ms=4.0, miss_ms=2.0, work_cv=0.0, report_noise=0.0)


def test_a_server_runs_commands_in_its_slots_then_queues_then_rejects() -> None:
    server = ModelServer(PREDICTABLE)
    server.model.store("k", 0)
    for request_id in "abcd":
        server.submit(request_id)
    assert server.outcomes == [("d", "busy", "", 0.0)]
    server.clock.run()
    assert server.outcomes[1:] == [("a", "served", "h1", 4.0), ("b", "served", "h1", 4.0), ("c", "served", "h1", 8.0)]


def test_misses_of_one_key_share_a_fetch_and_a_write_invalidates_the_cached_value() -> None:
    server = ModelServer(PREDICTABLE)
    server.submit("a")
    server.clock.run(7.0)
    server.submit("b")
    server.clock.run()
    assert server.outcomes == [("a", "served", "h0", 16.0), ("b", "served", "h0 Z", 16.0)]
    assert server.origin.fetches == 1 and "k" in server.model.cache
    server.submit("w", is_write=True)
    server.clock.run()
    assert "k" not in server.model.cache and server.origin.versions["k"] == 1


def test_an_idempotent_write_runs_once_even_while_the_first_is_in_flight() -> None:
    server = ModelServer(PREDICTABLE)
    server.submit("a", is_write=True, idempotency_key="x")
    server.submit("b", is_write=True, idempotency_key="x")
    server.clock.run()
    server.submit("c", is_write=True, idempotency_key="x")
    server.clock.run()
    assert (server.origin.writes, server.origin.deduplicated_writes, server.origin.versions) == (1, 2, {"k": 1})
    assert [outcome for _, outcome, _, _ in server.outcomes] == ["served"] * 3


def test_the_cache_evicts_the_least_recently_used_and_the_origin_fails_requests_beyond_its_queue() -> None:
    fleet = msgspec.structs.replace(PREDICTABLE, cache_capacity_keys=2, slots=9)
    server = ModelServer(fleet, scenario.Origin(slots=1, fetch_ms=10.0, cv=0.0, queue=1))
    for key in "abc":
        server.submit(key, key)
    server.clock.run()
    assert [(request_id, outcome) for request_id, outcome, _, _ in server.outcomes] == [
        ("c", "failed"),
        ("a", "served"),
        ("b", "served"),
    ]
    server.submit("a2", "a")
    server.submit("d", "d")
    server.clock.run()
    assert list(server.model.cache) == ["a", "d"]


def test_a_server_that_warms_up_crashes_when_it_is_overloaded() -> None:
    fleet = msgspec.structs.replace(
        PREDICTABLE,
        initial_capacity_share=0.1,
        warm_up_ms=1e6,
        queue_length=999,
        overload_factor=4.0,
        overload_window_ms=1000.0,
    )
    crashes: list[tuple[str, ...]] = []
    for gap_ms, is_crash in ((7.0, False), (4.0, True)):  # limit: 4 x 0.1 x 2 slots x 1000 ms of work; 4 ms per command
        server = ModelServer(fleet)
        server.model.boot(is_warm=False)
        server.model.on_overload_crash = crashes.append
        for number in range(600):
            server.clock.run(number * gap_ms)
            if not server.model.crashed:
                server.submit(str(number), f"k{number}")
        assert server.model.crashed == is_crash
    assert len(crashes) == 1 and len(crashes[0]) > 200


def test_load_reports_are_as_old_as_the_configured_delay() -> None:
    server = ModelServer(msgspec.structs.replace(PREDICTABLE, report_period_ms=100.0, report_delay_ms=300.0))
    server.model.report()
    server.submit("a")
    server.clock.run(1.0)
    for at in (100.0, 200.0, 300.0, 399.0):
        server.clock.run(at - 1e-6)
        server.model.busy_slots = 2
        assert server.model.report().in_flight == 0.0
    server.clock.run(450.0)
    server.model.report()
    server.clock.run(760.0)
    assert server.model.report().in_flight >= 2.0
