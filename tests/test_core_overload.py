"""Tests that an overloaded core rejects requests that it cannot serve in time as they are read, the oldest first."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from starlingthread.core.cpu_monitor import CpuMonitor
from starlingthread.limits.queue_limit import (
    ADJUSTMENT_INTERVAL_MS,
    SUSTAINED_OVERLOAD_MS,
    TARGET_QUEUE_TIME_MS,
    QueueLimit,
)

from .balancer_driver import IDEMPOTENCY_KEY, READ, THROUGH, BalancerDriver
from .peers import read_command, running_router, until, value_answer

LONG_WAIT_MS = 4 * TARGET_QUEUE_TIME_MS


def observe(limit: QueueLimit, start: float, duration: float, queue_time: float, queued: int = 100) -> float:
    """Record requests with a queueing time for a duration (both in ms); return the clock time at its end."""
    for at in range(0, int(duration), 10):
        limit.allows(queued, 1.0)
        limit.observe(start + at, queue_time)
    return start + duration


def test_a_core_used_by_other_processes_counts_as_saturated_at_little_own_cpu_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an undetected overload: on a shared core the process itself uses little CPU time."""
    idle, monitor = 0.0, CpuMonitor()
    monitor.idle_seconds = lambda: idle
    monkeypatch.setattr(time, "process_time", lambda: 0.0)
    assert not monitor.sample(1000.0, 1.0)
    assert monitor.sample(1250.0, 1.0)
    idle += 0.2
    assert not monitor.sample(1500.0, 1.0)


def test_a_burst_and_short_waits_set_no_limit() -> None:
    limit = QueueLimit()
    now = observe(limit, 0.0, 5000.0, TARGET_QUEUE_TIME_MS)
    now = observe(limit, now, SUSTAINED_OVERLOAD_MS - 2 * ADJUSTMENT_INTERVAL_MS, LONG_WAIT_MS)
    observe(limit, now, 1000.0, 0.0)
    assert not limit.is_limited and limit.allows(10**6, 0.01)


def test_a_standing_queue_is_limited_and_the_limit_removed_once_waits_are_short() -> None:
    """Guards against requests that all wait until they are late because the router rejects none."""
    limit = QueueLimit()
    now = observe(limit, 0.0, SUSTAINED_OVERLOAD_MS + 2 * ADJUSTMENT_INTERVAL_MS, LONG_WAIT_MS)
    assert limit.is_limited and not limit.allows(100, 1.0) and limit.allows(0, 1.0)
    observe(limit, now, 10000.0, 0.0)
    assert not limit.is_limited


def overloaded_driver() -> BalancerDriver:
    driver = BalancerDriver(THROUGH._replace(max_retry_after=2000.0))
    queue_limit = driver.balancer.admission.core.queue_limit
    queue_limit.limit, queue_limit.limited_since = 8.0, driver.now
    return driver


def test_requests_with_most_time_left_and_greatest_weight_are_queued_first() -> None:
    """Guards against a core that spends its time on requests whose clients have waited for too long."""
    driver = overloaded_driver()
    read, keyed = THROUGH.classes[READ], THROUGH.classes[IDEMPOTENCY_KEY]
    check_queue = driver.balancer.admission.check_queue
    assert check_queue(driver.now, read, read.deadline, 7) is None
    assert check_queue(driver.now, read, read.deadline, 8) is not None
    assert check_queue(driver.now, read, read.deadline * 0.5, 0) is not None
    assert check_queue(driver.now, keyed, keyed.deadline, 30) is None


def test_the_retry_after_of_an_overload_grows_with_its_length_and_is_spread() -> None:
    driver = overloaded_driver()
    read = THROUGH.classes[READ]

    def retry_afters(overload_duration: float) -> list[float]:
        now = driver.now + overload_duration
        return [driver.balancer.admission.check_queue(now, read, read.deadline, 100) or 0.0 for _ in range(50)]

    short, long = retry_afters(0.0), retry_afters(5000.0)
    assert 50.0 <= min(short) < max(short) <= 150.0 and len(set(short)) > 25
    assert 500.0 <= min(long) < max(long) <= 1500.0


def test_a_read_is_rejected_before_it_is_dispatched_and_other_commands_are_left_to_the_reader(tmp_path: Path) -> None:
    """Guards against rejections that cost a third of a served request and so overload the core themselves."""

    async def run_commands() -> None:
        async with running_router(tmp_path) as harness:
            limit = harness.router.balancer.admission.core.queue_limit
            limit.limit, limit.limited_since = 0.5, 0.0
            client = await harness.client()
            await client.send(read_command(1))
            assert (await client.until(b"\r\n")).startswith(b"SERVER_ERROR busy")
            assert harness.actor_of(client).state.commands == 1
            await client.send(read_command(2)[:10])  # the next bytes continue this command
            await until(lambda: harness.actor_of(client).state.partial_since is not None)
            await client.send(read_command(2)[10:] + b"mn\r\n")
            assert (await client.until(b"MN\r\n")).startswith(b"SERVER_ERROR busy")
            await client.send(read_command(3).replace(b"c=read", b"c=what"))
            assert await client.until(b"\r\n") == b"CLIENT_ERROR unknown class\r\n"
            assert harness.counters["requests.shed"] == harness.counters["answers.rejected"] == 2
            assert harness.counters["requests.received"] == 0
            limit.limit = 100.0
            await client.send(read_command(4))
            server = await harness.server.accept()
            await server.until(b"\r\n")
            await server.send(value_answer(4))
            assert await client.until(b"x\r\n") == b"VA 1 O4\r\nx\r\n"

    asyncio.run(run_commands())
