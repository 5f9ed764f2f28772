"""Tests of the owners of keys.

The owners must be the same at all routers, as many as the load requires, released when the load falls, and a change of
the server list must remap few keys.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlingthread import options
from starlingthread.balance.popularity import FleetDemand, Popularity
from starlingthread.balance.rendezvous import Candidate, Rendezvous, mix
from starlingthread.events import AttemptResult, CacheStatus, Outcome, SettingsChanged

from .balancer_driver import THROUGH, BalancerDriver, make_endpoints, only_send


def rendezvous(
    router_index: int = 0, servers: int = 60, owner_count: int = 3, removed: int = 0, shuffle: int = 0
) -> Rendezvous:
    """Return the hashing of a router over servers of equal weight, without a removed one, in a shuffled order."""
    hashing = Rendezvous(router_index, owner_count)
    candidates = [Candidate(mix(n + 1), 1.0, n) for n in range(1, servers + 1) if n != removed]
    Random(shuffle).shuffle(candidates)
    hashing.update(candidates, [])
    return hashing


def request_key(
    per_second: float,
    write_share: float = 0.0,
    routers: int = 200,
    duration_s: float = 60.0,
    popularity: Popularity | None = None,
    begin: float = 0.0,
    seed: int = 1,
) -> tuple[Popularity, int]:
    """Record requests for a key at a rate, from a time (ms); return its popularity and how often its owners changed."""
    rng = Random(seed)
    demand = FleetDemand()
    demand.set_fleet_size(routers, 60, 1)
    popularity = popularity or Popularity()
    now = begin
    changes = 0
    while (now := now + rng.expovariate(per_second / 1000.0)) < begin + duration_s * 1000.0:
        changes += popularity.record(now, rng.random() < write_share, demand)
    return popularity, changes


@given(st.integers(1, 2**64 - 1), st.integers(0, 40), st.integers(0, 64))
def test_equal_lists_give_equal_owners_whatever_their_order(key: int, router: int, owner_count: int) -> None:
    """Routers differ only in which owner of a hot key they prefer."""
    owners = rendezvous(router).owners(key, owner_count)
    assert owners == rendezvous(router, shuffle=7).owners(key, owner_count)
    assert len({owner.number for owner in owners}) == 3
    if owner_count <= 3:
        assert owners == rendezvous(router + 1).owners(key, owner_count)  # the same at every router


@given(st.integers(1, 2**64 - 1), st.integers(0, 40), st.sampled_from((0, 8, 16, 32)), st.integers(1, 60))
def test_the_removal_of_a_server_remaps_only_its_own_keys(
    key: int, router: int, owner_count: int, removed: int
) -> None:
    """Rendezvous hashing: other keys stay at their owners."""
    before = {owner.number for owner in rendezvous(router).owners(key, owner_count)}
    after = {owner.number for owner in rendezvous(router, removed=removed).owners(key, owner_count)}
    remapped = before - {removed} - after
    # For a hot key, one owner replaces the removed one and may get a higher rank than an owner that this router used.
    assert len(remapped) <= (1 if owner_count > 3 else 0)


def test_a_hot_key_is_spread_evenly_over_its_owners_and_fewer_owners_are_a_subset_of_more() -> None:
    """The choice of 200 routers depends on their index and on the weights of the servers."""
    routers = [rendezvous(index) for index in range(200)]
    for key in (mix(k) for k in range(1, 6)):
        many, few = ({router.owners(key, owner_count)[0].number for router in routers} for owner_count in (32, 8))
        assert len(many) >= 30 and few <= many and len(few) == 8
        assert max(Counter(router.owners(key, 8)[0].number for router in routers).values()) < 2 * 200 / 8
    weighted = Rendezvous(0, 3)
    weighted.update([Candidate(mix(n), 3.0 if n < 30 else 1.0, n) for n in range(60)], [])
    assert 0.65 < sum(weighted.owners(mix(k))[0].number < 30 for k in range(400)) / 400 < 0.85


def test_a_key_has_owners_by_its_load_and_no_more_for_a_single_request() -> None:
    """The load of the fleet is extrapolated from the rate at one router."""
    # 200 routers send 2 requests per second, that is 20 during the time for which a replica stays cached.
    assert request_key(0.01)[0].owner_count == 0
    popular, hot = request_key(0.06, duration_s=400.0)[0].owner_count, request_key(1.5)[0].owner_count
    assert 8 <= popular < hot == 32  # the greatest power of two up to 60 servers
    assert request_key(1.5, routers=1)[0].owner_count <= 4  # the same rate at a single router


def test_a_written_key_has_as_many_owners_as_are_read_often_between_two_writes() -> None:
    """Each write invalidates all replicas, so more replicas would cost more fetches."""
    counts = [request_key(1.5, write_share=share, duration_s=200.0)[0].owner_count for share in (0.0, 0.01, 0.06, 0.3)]
    assert counts[0] == 32 and 8 <= counts[1] <= 32 and counts[2] <= 4 and counts[3] == 0
    assert counts == sorted(counts, reverse=True)


def test_owners_are_released_with_the_load_and_do_not_oscillate_under_a_steady_or_a_pulsed_load() -> None:
    """Each change costs fetches from the origin, which hysteresis avoids."""
    hot, changes = request_key(1.5, duration_s=120.0)
    assert changes <= 6  # increases by one power of two at a time
    _, more_changes = request_key(1.5, duration_s=300.0, popularity=hot, begin=120e3, seed=2)
    assert more_changes <= 4
    unpopular, _ = request_key(0.005, duration_s=1200.0, popularity=hot, begin=420e3)
    assert unpopular.owner_count == 0
    pulsed, changes = Popularity(), 0
    for second in range(0, 60, 4):
        pulsed, more_changes = request_key(20.0, duration_s=2.0, popularity=pulsed, begin=second * 1e3, seed=second + 1)
        changes += more_changes
    assert pulsed.owner_count == 32 and changes <= 6


def test_a_clock_that_is_set_back_is_tolerated() -> None:
    """A clock that is set back does not cause an error or an invalid number of owners."""
    popularity, demand = Popularity(), FleetDemand()
    demand.set_fleet_size(200, 60, 3)
    for now in (1000.0, 0.0, -5.0, 2000.0):
        popularity.record(now, False, demand)
    assert 0 <= popularity.owner_count <= 60


# Hot keys in the decision module


def servers_used(router: int, hot_keys: bool, requests: int = 60) -> Counter[int]:
    """Return how many requests for one key a router sends to each server."""
    settings = THROUGH._replace(hot_keys=hot_keys, router_count=100, router_index=router)
    driver = BalancerDriver(settings, make_endpoints(24), seed=router + 1)
    used: Counter[int] = Counter()
    for _ in range(requests):
        send = only_send(driver.submit_request(7, cost=0.0))
        driver.now += 30.0
        driver.handle_event(Outcome(send.id, 0, send.server, AttemptResult.OK, 30.0, True, CacheStatus.HIT))
        driver.now += 300.0
        used[send.server] += 1
    return used


def test_routers_spread_a_hot_key_over_its_owners_and_each_uses_the_same_ones_again() -> None:
    """Without the setting, nearly all requests go to one server."""
    plain = Counter[int]()
    spread = Counter[int]()
    for router in range(30):
        plain += servers_used(router, hot_keys=False)
        used = servers_used(router, hot_keys=True)
        assert used.most_common(1)[0][1] > 40  # most of its requests go to one owner
        spread += used
    assert plain.most_common(1)[0][1] > 0.8 * plain.total()
    assert spread.most_common(1)[0][1] < 0.3 * spread.total() and len(spread) >= 12


def test_the_operators_file_enables_hot_keys_and_a_reload_disables_them() -> None:
    """The setting is disabled by default and must be a boolean."""
    assert not options.parse("", "f").apply_to(THROUGH).hot_keys
    operator_options = options.parse("[hot_keys]\nenabled = true\n", "f")
    assert operator_options.apply_to(THROUGH).hot_keys
    with pytest.raises(options.OptionsError, match=r"hot_keys\.enabled"):
        options.parse('[hot_keys]\nenabled = "yes"\n', "f")
    driver = BalancerDriver(
        operator_options.apply_to(THROUGH)._replace(router_count=100, router_index=3), make_endpoints(24)
    )
    servers_before = [driver.read(7) for _ in range(40)]
    driver.handle_event(SettingsChanged(driver.settings._replace(hot_keys=False)))
    servers_after = {driver.read(7) for _ in range(60)}
    plain = BalancerDriver(THROUGH._replace(router_count=100, router_index=3), make_endpoints(24))
    assert servers_before[0] == plain.read(7) != servers_before[-1] and servers_before[-1] in servers_after


def test_a_fleet_size_changed_by_a_reload_takes_effect_at_once() -> None:
    """The demand for a key is extrapolated to the new number of routers."""
    driver = BalancerDriver(THROUGH._replace(hot_keys=True), make_endpoints(24, zones=3))
    driver.handle_event(SettingsChanged(driver.settings._replace(router_count=90)))
    demand = driver.balancer.fleet.demand
    assert (demand.routers, demand.servers, demand.routers_per_zone) == (90, 24, 30.0)
