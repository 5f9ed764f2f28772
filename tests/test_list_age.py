"""One age of the endpoint list bounds silence, calls and pauses together, in virtual time with a scripted discovery."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from starlingthread.core.task_supervisor import TaskSupervisor
from starlingthread.limits.list_age import MAX_LIST_AGE_MS
from starlingthread.net.discovery import DiscoveryActor, DiscoveryCallError, EndpointListParser
from starlingthread.net.discovery import actor as actor_module
from starlingthread.net.discovery.call import IDLE_TIMEOUT_MS, WATCH_IDLE_TIMEOUT_MS, PollResponse, WatchResponse
from starlingthread.net.discovery.errors import DiscoveryTimeoutError

from .balancer_driver import THROUGH
from .peers import listing, run_loop_turns
from .router_harness import RouterHarness

SETTINGS = THROUGH._replace(must_poll=True)


class Plan(NamedTuple):
    """How discovery treats one call."""

    end: str
    after_ms: float = 0.0


REFUSED = Plan("refused")
HANGS = Plan("hangs", IDLE_TIMEOUT_MS)
SILENT = Plan("silent", WATCH_IDLE_TIMEOUT_MS)  # a watch with a heartbeat as its last byte


def fails(after_ms: float) -> Plan:
    return Plan("fails", after_ms)


def answers(after_ms: float) -> Plan:
    return Plan("answers", after_ms)


def ends(after_ms: float) -> Plan:
    """A watch that ends so long after a heartbeat."""
    return Plan("ends", after_ms)


class Discovery:
    """A scripted discovery and a router's client of it, with a clock that moves from deadline to deadline."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, plans: Iterator[Plan], seed: int = 1) -> None:
        self.harness = RouterHarness(SETTINGS)
        self.router = self.harness.router
        self.router.balancer.fleet.rng.seed(seed)
        self.plans = plans
        self.calls_at: list[float] = []
        monkeypatch.setattr(actor_module, "DiscoveryCall", lambda *_: self)
        self.actor = DiscoveryActor(self.router, EndpointListParser((), ()), ("127.0.0.1", 1), TaskSupervisor())
        self.router.discovery = self.actor

    async def run(self, response: PollResponse | WatchResponse) -> None:
        """Play one call, in place of DiscoveryCall.run()."""
        plan = next(self.plans)
        self.calls_at.append(self.harness.clock.time)
        if plan.end in ("silent", "ends"):
            response.feed(b"\n")
        await self.wait(plan.after_ms)
        if plan.end == "refused":
            raise ConnectionRefusedError
        if plan.end in ("hangs", "silent"):
            raise DiscoveryTimeoutError(plan.end)
        if plan.end in ("fails", "ends"):
            raise DiscoveryCallError(plan.end)
        response.feed(listing(2) + b"\n")
        await asyncio.Event().wait()

    async def wait(self, duration: float) -> None:
        expired = asyncio.Event()
        self.router.deadlines.set(self.harness.clock.time + duration, expired.set)
        await expired.wait()

    async def play(self, until_ms: float) -> float | None:
        """Open a watch, and return when a list has come since its first byte; None if none has until then."""
        started_at = self.harness.clock.time
        running = asyncio.create_task(self.actor.run())
        self.actor.watch(True)
        await run_loop_turns()
        learned_at = None
        while (due := self.router.deadlines.first()) is not None and due <= started_at + until_ms:
            self.harness.clock.time = max(self.harness.clock.time, due)
            self.router.turn()
            await run_loop_turns()
            while len(self.router.mailbox):
                self.router.turn()
                await run_loop_turns()
            if learned_at is None and self.actor.counters["discovery.lists"]:
                learned_at = self.harness.clock.time - started_at
        running.cancel()
        await self.actor.supervisor.stop()
        return learned_at


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "plans",
    [
        [SILENT, fails(2000.0), answers(1500.0)],
        [SILENT, fails(1000.0), fails(1000.0), answers(1400.0)],
        [SILENT, *[fails(300.0)] * 3, answers(1400.0)],
        [SILENT, *[REFUSED] * 3, answers(1500.0)],
        [SILENT, HANGS, answers(1500.0)],
        [SILENT, REFUSED, HANGS, answers(1400.0)],
        [SILENT, answers(3400.0)],
        [ends(0.0), REFUSED, REFUSED, answers(1500.0)],
        [ends(2000.0), fails(2000.0), answers(1500.0)],
        [ends(2000.0), REFUSED, answers(1500.0)],
        [ends(1000.0), HANGS, answers(1500.0)],
    ],
    ids=lambda plans: " ".join(f"{plan.end}-{plan.after_ms:.0f}" for plan in plans),
)
def test_a_change_is_learned_before_the_list_is_too_old_whatever_fails(
    monkeypatch: pytest.MonkeyPatch, plans: list[Plan], seed: int
) -> None:
    """Guards against a drain that is learned too late, as a silence, calls and pauses each had their own limit."""

    async def scenario() -> None:
        discovery = Discovery(monkeypatch, itertools.chain(plans, itertools.repeat(answers(0.0))), seed)
        learned_at = await discovery.play(20000.0)
        assert learned_at is not None and learned_at <= MAX_LIST_AGE_MS

    asyncio.run(scenario())


# The calls in 20 s with a first backoff of 500 ms in the mean, and of 1 s later, beside the watch that ends.
@pytest.mark.parametrize(("first", "most_calls"), [(ends(0.0), 21.0), (SILENT, 19.0)])
def test_a_discovery_that_is_down_gets_no_more_calls_than_without_the_limit_of_the_age(
    monkeypatch: pytest.MonkeyPatch, first: Plan, most_calls: float
) -> None:
    """The limit of the list's age must not turn an outage into a storm of calls."""

    async def scenario(seed: int) -> int:
        discovery = Discovery(monkeypatch, itertools.chain([first], itertools.repeat(REFUSED)), seed)
        assert await discovery.play(20000.0) is None
        return len(discovery.calls_at)

    counts = [asyncio.run(scenario(seed)) for seed in range(30)]
    assert sum(counts) / len(counts) <= most_calls


def test_an_extra_call_is_made_once_and_the_one_that_answers_first_stays(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        discovery = Discovery(monkeypatch, iter([SILENT, answers(2200.0), answers(1000.0)]))
        assert await discovery.play(5600.0) == WATCH_IDLE_TIMEOUT_MS + 2200.0
        assert len(discovery.calls_at) == 3 and discovery.actor.counters["discovery.lists"] == 1
        assert discovery.actor.counters["discovery.failures"] == 1  # the silence

    asyncio.run(scenario())


def test_a_change_of_the_address_does_not_restart_the_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """A heartbeat of the old address proves nothing about the new one."""

    async def scenario() -> None:
        discovery = Discovery(monkeypatch, itertools.chain([ends(9000.0), HANGS, HANGS], itertools.repeat(HANGS)))
        moved_at = discovery.harness.clock.time + 2000.0
        discovery.router.deadlines.set(moved_at, lambda: discovery.actor.set_address(("127.0.0.1", 2)))
        await discovery.play(4600.0)
        first, moved, extra = discovery.calls_at
        assert moved == moved_at and extra == first + 4500.0

    asyncio.run(scenario())
