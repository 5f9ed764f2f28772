"""Limits: never overspent, always recovered from, the same at every router."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from starlingthread.limits.copies import DOWN, TIERS, UP, CopyLimit

KEYS = range(0, 1 << 16, 257)
HOMES = [(rank, near) for near in (True, False) for rank in range(3)]


def allowed(limit: CopyLimit, key: int) -> set[tuple[int, bool]]:
    return {home for home in HOMES if limit.allows(key, *home)}


def at_level(level: float) -> CopyLimit:
    limit = CopyLimit()
    limit.level = level
    return limit


def test_copies_go_tier_by_tier_and_the_first_home_always_stays() -> None:
    everything = set(HOMES)
    fleet = {home for home in HOMES if not home[1]}
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
    limit, now = CopyLimit(), 0.0
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
