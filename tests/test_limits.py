"""Tests that limits are never exceeded, always recover, and agree between routers."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.limits.budgets import (
    BYTES_PER_MB,
    MEMORY_GROWTH_FACTOR,
    MIN_MANAGEMENT_CONNECTIONS,
    MIN_REMAINING_MB,
    PROCESS_DESCRIPTORS,
    split_budgets,
)
from starlingthread.limits.machine_speed import MIN_RESPONSES, MachineSpeeds
from starlingthread.limits.replicas import TIER_COUNT, TIER_REDUCTION_TIME_MS, TIER_RESTORATION_TIME_MS, ReplicaLimit
from starlingthread.limits.slow_start import ServedRate, SlowStartBudget, first_tokens, warm_share

KEYS = range(0, 1 << 16, 257)
OWNERS = [(rank, near) for near in (True, False) for rank in range(3)]


def allowed(limit: ReplicaLimit, key: int) -> set[tuple[int, bool]]:
    return {owner for owner in OWNERS if limit.allows(key, *owner)}


def at_level(level: float) -> ReplicaLimit:
    limit = ReplicaLimit()
    limit.level = level
    return limit


def test_replicas_are_removed_by_tiers_and_the_first_owner_always_stays() -> None:
    all_owners = set(OWNERS)
    fleet = {owner for owner in OWNERS if not owner[1]}
    for key in KEYS:
        assert allowed(at_level(0.0), key) == all_owners
        assert allowed(at_level(1.0), key) in (fleet, all_owners)
        assert allowed(at_level(TIER_COUNT), key) in ({(0, False)}, fleet)
    shares = [sum(len(allowed(at_level(level / 10), key)) for key in KEYS) / len(KEYS) for level in range(21)]
    assert shares == sorted(shares, reverse=True) and 0.9 < shares[20] < 1.1
    # A step of 0.1 of the level affects about a tenth of the keys and not all at once.
    assert all(before - after < 0.5 for before, after in pairwise(shares))


@given(st.floats(0, TIER_COUNT), st.floats(0, 0.05), st.integers(0, (1 << 64) - 1))
def test_routers_whose_levels_differ_a_little_agree_on_nearly_all_keys(
    level: float, difference: float, salt: int
) -> None:
    keys = [(key + salt) & ((1 << 64) - 1) for key in KEYS]
    one, other = at_level(level), at_level(level + difference)
    assert sum(allowed(one, key) != allowed(other, key) for key in keys) <= len(keys) * (difference + 0.02)


@given(st.lists(st.tuples(st.floats(0, 1e5), st.floats(0, 1))))
def test_the_level_stays_in_its_bounds_and_always_recovers(steps: list[tuple[float, float]]) -> None:
    limit, now = ReplicaLimit(), 0.0
    for elapsed, pressure in steps:
        now += elapsed
        limit.observe(now, pressure)
        assert 0.0 <= limit.level <= TIER_COUNT
    for _ in range(int(2 * TIER_COUNT * TIER_RESTORATION_TIME_MS / 1000.0)):
        now += 1000.0
        limit.observe(now, 0.0)
    assert limit.level < 1e-6
    limit.observe(now + TIER_REDUCTION_TIME_MS * TIER_COUNT, 1.0)
    assert limit.level > TIER_COUNT - 1e-6
    limit.observe(now - 5000.0, 0.0)  # an earlier time changes nothing
    assert limit.level > TIER_COUNT - 1e-6


def test_the_slow_start_follows_the_lowest_guaranteed_share() -> None:
    assert warm_share(5000.0, 0.0, 0.2, 1000.0) == 1.0  # started long ago
    assert warm_share(500.0, 1000.0, 0.2, 1000.0) == 0.2  # a clock behind that of the server
    assert warm_share(1500.0, 1000.0, 0.2, 1000.0) == pytest.approx(0.6)
    assert warm_share(2000.0, 1000.0, 0.2, 1000.0) == 1.0


def test_a_single_router_may_send_at_once_and_of_many_only_one() -> None:
    assert first_tokens(0.99, 1) == 1.0
    initial_tokens = sorted(first_tokens((n + 0.5) / 40, 40) for n in range(40))
    assert initial_tokens[-1] == 1.0 and initial_tokens[-2] < 1.0
    assert all(b - a < 0.05 for a, b in pairwise(initial_tokens))


@given(st.lists(st.tuples(st.floats(0.0, 500.0), st.floats(0.5, 9.0)), max_size=80), st.floats(0.0, 0.01))
def test_a_slow_start_budget_is_never_overspent_by_more_than_one_request(
    requests: list[tuple[float, float]], rate: float
) -> None:
    budget, now, spent, window = SlowStartBudget(0.5), 1000.0, 0.0, 2000.0
    started_at, max_cost = now, 0.0
    for pause, cost in requests:
        now += pause
        if budget.allows(now, rate, window, cost):
            budget.spend(cost)
            spent, max_cost = spent + cost, max(max_cost, cost)
    assert spent <= max(1.0, rate * window) + rate * (now - started_at) + max_cost + 1e-6


def test_a_served_rate_allows_for_the_time_since_its_start() -> None:
    served_rate = ServedRate(10000.0)
    served_rate.start(5000.0)
    for n in range(20):
        served_rate.record(5000.0 + 50.0 * n)
    assert 0.015 < served_rate.per_ms(6000.0) < 0.025


def test_speeds_wait_for_enough_responses_and_move_in_steps() -> None:
    speeds = MachineSpeeds()
    changes = [speeds.observe(n % 2, 50.0 if n % 2 else 80.0) for n in range(4 * MIN_RESPONSES)]
    assert not any(changes[: 2 * MIN_RESPONSES - 1]) and sum(changes) == 1
    assert speeds.speed(1) == 1.0 and 0.6 < speeds.speed(0) < 0.65 and speeds.speed(7) == 1.0
    assert not MachineSpeeds().observe(0, 0.0)  # a response time of 0, as a coarse clock can measure


@settings(max_examples=200, derandomize=True)
@given(st.integers(64, 4096), st.floats(32.0, 512.0), st.floats(14.0, 26.0), st.booleans())
def test_budgets_stay_within_the_limits_also_for_two_processes(
    descriptors: int, memory: float, idle: float, has_management: bool
) -> None:
    for share in (1.0, 0.5):
        budgets = split_budgets(descriptors, memory, idle, share, has_management)
        management = budgets.management_connections
        used = budgets.max_clients + budgets.server_connections + management + PROCESS_DESCRIPTORS
        assert used <= max(descriptors * share, 16 + PROCESS_DESCRIPTORS + management)
        assert budgets.idle_client_threshold <= budgets.max_clients or descriptors < 256
        # If a share of the memory is enough for a process, its own memory and its values stay within that share.
        values = budgets.buffered_values + budgets.streamed_values
        if memory * share > idle * MEMORY_GROWTH_FACTOR + MIN_REMAINING_MB:
            assert idle * MEMORY_GROWTH_FACTOR * BYTES_PER_MB + values <= memory * share * BYTES_PER_MB
        assert management >= MIN_MANAGEMENT_CONNECTIONS if has_management else management == 0
        assert min(budgets.max_clients, budgets.server_connections) >= 8
        assert min(budgets.buffered_values, budgets.streamed_values) > 0
