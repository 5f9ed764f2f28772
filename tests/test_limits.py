"""Limits: never overspent, always recovered from, the same at every router."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.limits.budgets import GROWTH, LEAST_CALLS, LEAST_LEFT, MB, OWN_SOCKETS, split_budgets
from starlingthread.limits.machine_speed import ENOUGH, MachineSpeeds
from starlingthread.limits.replicas import DOWN, TIERS, UP, ReplicaLimit
from starlingthread.limits.slow_start import ServedRate, SlowStartBudget, first_tokens, warm_share

KEYS = range(0, 1 << 16, 257)
OWNERS = [(rank, near) for near in (True, False) for rank in range(3)]


def allowed(limit: ReplicaLimit, key: int) -> set[tuple[int, bool]]:
    return {owner for owner in OWNERS if limit.allows(key, *owner)}


def at_level(level: float) -> ReplicaLimit:
    limit = ReplicaLimit()
    limit.level = level
    return limit


def test_copies_go_tier_by_tier_and_the_first_owner_always_stays() -> None:
    everything = set(OWNERS)
    fleet = {owner for owner in OWNERS if not owner[1]}
    for key in KEYS:
        assert allowed(at_level(0.0), key) == everything
        assert allowed(at_level(1.0), key) in (fleet, everything)
        assert allowed(at_level(TIERS), key) in ({(0, False)}, fleet)
    shares = [sum(len(allowed(at_level(level / 10), key)) for key in KEYS) / len(KEYS) for level in range(21)]
    assert shares == sorted(shares, reverse=True) and 0.9 < shares[20] < 1.1
    # A tenth of the way moves a tenth of the keys, not all at once.
    assert all(before - after < 0.5 for before, after in pairwise(shares))


@given(st.floats(0, TIERS), st.floats(0, 0.05), st.integers(0, (1 << 64) - 1))
def test_routers_whose_levels_differ_a_little_agree_on_nearly_all_keys(level: float, off: float, salt: int) -> None:
    keys = [(key + salt) & ((1 << 64) - 1) for key in KEYS]
    one, other = at_level(level), at_level(level + off)
    assert sum(allowed(one, key) != allowed(other, key) for key in keys) <= len(keys) * (off + 0.02)


@given(st.lists(st.tuples(st.floats(0, 1e5), st.floats(0, 1))))
def test_the_level_stays_in_its_bounds_and_always_recovers(steps: list[tuple[float, float]]) -> None:
    limit, now = ReplicaLimit(), 0.0
    for passed, pressure in steps:
        now += passed
        limit.observe(now, pressure)
        assert 0.0 <= limit.level <= TIERS
    for _ in range(int(2 * TIERS * UP / 1000.0)):
        now += 1000.0
        limit.observe(now, 0.0)
    assert limit.level < 1e-6
    limit.observe(now + DOWN * TIERS, 1.0)
    assert limit.level > TIERS - 1e-6
    limit.observe(now - 5000.0, 0.0)  # a time that goes back changes nothing
    assert limit.level > TIERS - 1e-6


def test_the_ramp_is_the_least_that_is_told() -> None:
    assert warm_share(5000.0, 0.0, 0.2, 1000.0) == 1.0  # started long ago
    assert warm_share(500.0, 1000.0, 0.2, 1000.0) == 0.2  # a clock that is behind
    assert warm_share(1500.0, 1000.0, 0.2, 1000.0) == pytest.approx(0.6)
    assert warm_share(2000.0, 1000.0, 0.2, 1000.0) == 1.0


def test_one_router_alone_may_send_at_once_and_of_many_only_one() -> None:
    assert first_tokens(0.99, 1) == 1.0
    savings = sorted(first_tokens((n + 0.5) / 40, 40) for n in range(40))
    assert savings[-1] == 1.0 and savings[-2] < 1.0
    assert all(b - a < 0.05 for a, b in pairwise(savings))


@given(st.lists(st.tuples(st.floats(0.0, 500.0), st.floats(0.5, 9.0)), max_size=80), st.floats(0.0, 0.01))
def test_a_cold_budget_is_never_overspent_by_more_than_one_request(
    asked: list[tuple[float, float]], rate: float
) -> None:
    budget, now, spent, window = SlowStartBudget(0.5), 1000.0, 0.0, 2000.0
    began, dearest = now, 0.0
    for pause, cost in asked:
        now += pause
        if budget.allows(now, rate, window, cost):
            budget.spend(cost)
            spent, dearest = spent + cost, max(dearest, cost)
    assert spent <= max(1.0, rate * window) + rate * (now - began) + dearest + 1e-6


def test_a_pace_knows_how_long_it_has_counted() -> None:
    pace = ServedRate(10000.0)
    pace.start(5000.0)
    for n in range(20):
        pace.record(5000.0 + 50.0 * n)
    assert 0.015 < pace.per_ms(6000.0) < 0.025


def test_speeds_wait_for_enough_answers_and_move_in_steps() -> None:
    speeds = MachineSpeeds()
    changes = [speeds.observe(n % 2, 50.0 if n % 2 else 80.0) for n in range(4 * ENOUGH)]
    assert not any(changes[: 2 * ENOUGH - 1]) and sum(changes) == 1
    assert speeds.speed(1) == 1.0 and 0.6 < speeds.speed(0) < 0.65 and speeds.speed(7) == 1.0
    assert not MachineSpeeds().observe(0, 0.0)  # an answer that took no time by a coarse clock


@settings(max_examples=200, derandomize=True)
@given(st.integers(64, 4096), st.floats(32.0, 512.0), st.floats(14.0, 26.0), st.booleans())
def test_what_is_shared_out_stays_within_the_limits_also_by_two_processes(
    sockets: int, memory: float, own: float, called: bool
) -> None:
    for part in (1.0, 0.5):
        budgets = split_budgets(sockets, memory, own, part, called)
        held = budgets.max_clients + budgets.server_connections + budgets.management_connections + OWN_SOCKETS
        assert held <= max(sockets * part, 16 + OWN_SOCKETS + budgets.management_connections)
        assert budgets.idle_client_threshold <= budgets.max_clients or sockets < 256
        # Where half the memory holds a process at all, both together stay within it.
        if memory * part > own * GROWTH + LEAST_LEFT:
            assert own * GROWTH * MB + budgets.buffered_values + budgets.streamed_values <= memory * part * MB
        assert budgets.management_connections >= LEAST_CALLS if called else budgets.management_connections == 0
        assert (
            min(budgets.max_clients, budgets.server_connections) >= 8
            and min(budgets.buffered_values, budgets.streamed_values) > 0
        )
