"""Rendezvous and hot keys: the same at all routers, as many as their load asks for, given back, few moved."""

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

from .world import THROUGH, World, members, only_send


def drawn(me: int = 0, servers: int = 60, usual: int = 3, gone: int = 0, shuffle: int = 0) -> Rendezvous:
    owners = Rendezvous(me, usual)
    places = [Candidate(mix(n + 1), 1.0, n) for n in range(1, servers + 1) if n != gone]
    Random(shuffle).shuffle(places)
    owners.update(places, [])
    return owners


def heat_of(
    per_s: float,
    writes: float = 0.0,
    routers: int = 200,
    span: float = 60.0,
    heat: Popularity | None = None,
    begin: float = 0.0,
    seed: int = 1,
) -> tuple[Popularity, int]:
    """Let a router be asked for a key so often; return its heat, and how often its number of owners changed."""
    rng, crowd, heat, now, changes = Random(seed), FleetDemand(), heat or Popularity(), begin, 0
    crowd.set_fleet_size(routers, 60, 1)
    while (now := now + rng.expovariate(per_s / 1000.0)) < begin + span * 1000.0:
        changes += heat.record(now, rng.random() < writes, crowd)
    return heat, changes


@given(st.integers(1, 2**64 - 1), st.integers(0, 40), st.integers(0, 64))
def test_equal_lists_give_equal_owners_whatever_their_order(key: int, me: int, copies: int) -> None:
    one, other = drawn(me).owners(key, copies), drawn(me, shuffle=7).owners(key, copies)
    assert one == other and len({h.number for h in one}) == 3
    if copies <= 3:
        assert one == drawn(me + 1).owners(key, copies)  # the usual owners are the same at every router


@given(st.integers(1, 2**64 - 1), st.integers(0, 40), st.sampled_from((0, 8, 16, 32)), st.integers(1, 60))
def test_a_server_that_goes_moves_only_what_was_there(key: int, me: int, copies: int, gone: int) -> None:
    before, after = (h.owners(key, copies) for h in (drawn(me), drawn(me, gone=gone)))
    kept = [h.number for h in before if h.number != gone]
    moved = set(kept) - {h.number for h in after}
    # Of a hot key one owner takes the place of the one that went, and may come before one of ours.
    assert len(moved) <= (1 if copies > 3 else 0)


def test_a_hot_key_is_even_over_its_owners_and_fewer_owners_are_a_part_of_more() -> None:
    routers = [drawn(me) for me in range(200)]
    for key in (mix(k) for k in range(1, 6)):
        many, few = ({r.owners(key, copies)[0].number for r in routers} for copies in (32, 8))
        assert len(many) >= 30 and few <= many and len(few) == 8
        assert max(Counter(r.owners(key, 8)[0].number for r in routers).values()) < 2 * 200 / 8
    fast = Rendezvous(0, 3)
    fast.update([Candidate(mix(n), 3.0 if n < 30 else 1.0, n) for n in range(60)], [])
    assert 0.65 < sum(fast.owners(mix(k))[0].number < 30 for k in range(400)) / 400 < 0.85


def test_a_key_has_owners_by_its_load_and_none_more_for_being_asked_once() -> None:
    assert heat_of(0.01)[0].owner_count == 0  # 2 a second over 200 routers: 20 in the time that a copy is kept
    warm, hot = heat_of(0.06, span=400.0)[0].owner_count, heat_of(1.5)[0].owner_count
    assert 8 <= warm < hot == 32  # the greatest power of two that 60 servers hold
    assert heat_of(1.5, routers=1)[0].owner_count <= 4  # the same at a router that is alone


def test_a_key_that_is_written_has_as_many_owners_as_are_read_often_between_two_writes() -> None:
    copies = [heat_of(1.5, writes=share, span=200.0)[0].owner_count for share in (0.0, 0.01, 0.06, 0.3)]
    assert copies[0] == 32 and 8 <= copies[1] <= 32 and copies[2] <= 4 and copies[3] == 0
    assert copies == sorted(copies, reverse=True)


def test_owners_are_given_back_when_it_cools_and_do_not_swing_in_a_steady_load_or_a_beat_of_two_seconds() -> None:
    hot, changes = heat_of(1.5, span=120.0)
    assert changes <= 6  # up, one power of two at a time
    _, more = heat_of(1.5, span=300.0, heat=hot, begin=120e3, seed=2)
    assert more <= 4
    cool, _ = heat_of(0.005, span=1200.0, heat=hot, begin=420e3)
    assert cool.owner_count == 0
    beat, changes = Popularity(), 0
    for second in range(0, 60, 4):
        beat, more = heat_of(20.0, span=2.0, heat=beat, begin=second * 1e3, seed=second + 1)
        changes += more
    assert beat.owner_count == 32 and changes <= 6


def test_times_that_go_back_count_for_nothing() -> None:
    heat, crowd = Popularity(), FleetDemand()
    crowd.set_fleet_size(200, 60, 3)
    for now in (1000.0, 0.0, -5.0, 2000.0):
        heat.record(now, False, crowd)
    assert 0 <= heat.owner_count <= 60


# the module


def ask_often(me: int, hot_keys: bool, times: int = 60) -> Counter[int]:
    world = World(THROUGH._replace(hot_keys=hot_keys, router_count=100, router_index=me), members(24), seed=me + 1)
    used: Counter[int] = Counter()
    for _ in range(times):
        send = only_send(world.ask(7, cost=0.0))
        world.now += 30.0
        world.do(Outcome(send.id, 0, send.server, AttemptResult.OK, 30.0, True, CacheStatus.HIT))
        world.now += 300.0
        used[send.server] += 1
    return used


def test_routers_spread_a_hot_key_over_its_owners_and_each_stays_with_its_own() -> None:
    plain, spread = Counter[int](), Counter[int]()
    for me in range(30):
        plain += ask_often(me, hot_keys=False)
        mine = ask_often(me, hot_keys=True)
        assert mine.most_common(1)[0][1] > 40  # it returns to one of them
        spread += mine
    assert plain.most_common(1)[0][1] > 0.8 * plain.total()
    assert spread.most_common(1)[0][1] < 0.3 * spread.total() and len(spread) >= 12


def test_the_operators_file_turns_it_on_and_a_reload_off_again() -> None:
    assert not options.parse("", "f").apply_to(THROUGH).hot_keys
    own = options.parse("[hot_keys]\nenabled = true\n", "f")
    assert own.apply_to(THROUGH).hot_keys
    with pytest.raises(options.OptionsError, match=r"hot_keys\.enabled"):
        options.parse('[hot_keys]\nenabled = "yes"\n', "f")
    world = World(own.apply_to(THROUGH)._replace(router_count=100, router_index=3), members(24))
    before = [world.read(7) for _ in range(40)]
    world.do(SettingsChanged(world.set._replace(hot_keys=False)))
    away = {world.read(7) for _ in range(60)}
    plain = World(THROUGH._replace(router_count=100, router_index=3), members(24))
    assert before[0] == plain.read(7) != before[-1] and before[-1] in away


def test_a_fleet_that_grew_by_a_reload_counts_at_once() -> None:
    world = World(THROUGH._replace(hot_keys=True), members(24, zones=3))
    world.do(SettingsChanged(world.set._replace(router_count=90)))
    crowd = world.balancer.fleet.demand
    assert (crowd.routers, crowd.servers, crowd.routers_per_zone) == (90, 24, 30.0)
