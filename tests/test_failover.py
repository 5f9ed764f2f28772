"""The plan for lost zones: the same at all who heard the same, moved by no liar, damped, open where all is lost."""

from __future__ import annotations

from itertools import permutations
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlingthread import options
from starlingthread.events import AttemptResult
from starlingthread.failover.evidence import LEAST_WAIT, ZoneEvidence
from starlingthread.failover.plan import HOLD, LIFE, SETTLE, STEP, STEPS, Plan, ZoneStatus, ZoneVote, witnesses
from starlingthread.failover.topology import Topology, TopologyError
from starlingthread.failover.wire import MOST_WORDS, decode, encode
from starlingthread.failover.zones import MOST_TRY, TRY_EVERY, ZoneFailover
from starlingthread.membership.wire import MAX_DATAGRAM, WireError

from .world import THROUGH, World, members, sends

NOW, KEY = 1e12, b"0123456789abcdef"


class Fleet:
    """Routers that tell one another at once, but for lost datagrams and those who are cut off."""

    def __init__(self, count: int, sizes: dict[int, int], loss: float = 0.0) -> None:
        self.now, self.rng, self.loss, self.sent = NOW, Random(5), loss, 0
        self.routers = [ZoneFailover(n, range(count)) for n in range(count)]
        self.cut: set[int] = set()
        for router in self.routers:
            router.set_servers((zone, zone * 10 + place) for zone, size in sizes.items() for place in range(size))

    def talk(self) -> None:
        while any(router.outgoing_votes for router in self.routers):
            for sender, router in enumerate(self.routers):
                words, router.outgoing_votes = router.outgoing_votes, []
                for other, zones in enumerate(self.routers if words else []):
                    self.sent += 1
                    if other != sender and not {other, sender} & self.cut and self.rng.random() >= self.loss:
                        zones.receive_votes(self.now, words)

    def play(self, span: float, lost: dict[int, set[int]]) -> None:
        """Let time pass in which each router asks each zone now and then; lost: by zone, who hears nothing from it."""
        for _ in range(int(span / 100.0)):
            self.now += 100.0
            for number, router in enumerate(self.routers):
                for zone in router.server_counts:
                    if not router.is_open(self.now, zone, self.rng.getrandbits(64)):
                        continue
                    server = zone * 10 + self.rng.randrange(router.server_counts[zone])
                    router.on_sent(self.now, zone, server)
                    if number not in lost.get(zone, ()):
                        router.on_response(self.now, zone, server, 1.0)
                router.tick(self.now)
            self.talk()

    def lost(self, zone: int) -> int:
        return sum(zone in router.plan.zones and router.plan.zones[zone].lost for router in self.routers)


@given(
    st.lists(st.tuples(st.integers(1, 8), st.sampled_from(ZoneStatus), st.integers(1, 4)), max_size=12), st.randoms()
)
def test_whoever_heard_the_same_words_has_the_same_plan(told: list[tuple[int, ZoneStatus, int]], rng: Random) -> None:
    said: dict[tuple[int, int], ZoneVote] = {}  # a witness gives each number once
    for who, says, number in told:
        said.setdefault((who, number), ZoneVote(who, 1, says, number))
    plans = []
    for _ in range(2):
        words = [*said.values(), *said.values()]
        rng.shuffle(words)
        plan = Plan(0, range(9))
        for word in words:
            plan.receive_vote(NOW, word)
        plan.update_zone(NOW, 1)
        plan.update_zone(NOW + SETTLE, 1)
        plans.append((1 in plan.zones and plan.zones[1].lost, sorted(plan.valid_votes(NOW, 1))))
    assert plans[0] == plans[1]


def test_every_order_and_loss_of_the_words_of_four_witnesses_keeps_what_must_hold() -> None:
    """All states that two words of each of two honest witnesses and one liar can lead to, one by one."""
    words = [
        ZoneVote(1, 1, ZoneStatus.LOST, 1),
        ZoneVote(1, 1, ZoneStatus.HEALTHY, 2),
        ZoneVote(2, 1, ZoneStatus.HEALTHY, 1),
        ZoneVote(2, 1, ZoneStatus.HEALTHY, 2),
        ZoneVote(3, 1, ZoneStatus.LOST, 1),
        ZoneVote(3, 1, ZoneStatus.LOST, 9),
    ]
    states = set()
    for order in permutations(words):
        plan = Plan(0, range(5))
        newest: dict[int, int] = {}
        for word in order:
            plan.receive_vote(NOW, word)
            plan.update_zone(NOW + SETTLE, 1)
            newest[word.witness] = max(newest.get(word.witness, 0), word.sequence)
            good = {w.witness: w for w in plan.valid_votes(NOW, 1)}
            assert {who: w.sequence for who, w in good.items()} == newest  # no old one comes back
            lost = 1 in plan.zones and plan.zones[1].lost
            lies = [w.witness for w in good.values() if w.status == ZoneStatus.LOST]
            assert not lost or len(lies) >= 2  # never by one alone, so never once the honest have said well
            states.add((tuple(sorted(good.values())), lost))
        assert not plan.zones.get(1) or not plan.zones[1].lost
    assert len(states) > 20 and any(lost for _, lost in states)


def test_a_lost_zone_is_found_in_common_and_comes_back_in_steps() -> None:
    fleet = Fleet(40, {0: 4, 1: 4, 2: 4})
    fleet.play(3000.0, {})
    assert fleet.sent == 0  # while all is well nobody says anything
    fleet.play(500.0, {1: set(range(40))})
    assert fleet.lost(1) == 40 and fleet.lost(0) == fleet.lost(2) == 0
    asked = [n for n, router in enumerate(fleet.routers) if router.is_open(fleet.now + MOST_TRY, 1, 7)]
    assert sorted(asked) == sorted(witnesses(1, range(40)))
    fleet.play(4000.0, {1: set(range(40))})
    assert fleet.lost(1) == 40
    fleet.play(MOST_TRY + 500.0, {})
    assert fleet.lost(1) == 0
    shares = []
    for _ in range(60):
        fleet.play(100.0, {})
        shares.append(sum(fleet.routers[3].plan.is_open(fleet.now, 1, key * 0x9E3779B97F4A7C15) for key in range(400)))
    assert shares == sorted(shares) and shares[-1] == 400


def test_a_liar_a_cut_router_and_a_half_that_sees_well_close_nothing_for_the_fleet() -> None:
    fleet = Fleet(9, {0: 3, 1: 3, 2: 3})
    fleet.play(1000.0, {})
    fleet.play(3000.0, {1: {4}})  # one router's link, or its lie
    assert (
        fleet.lost(1) == 0
        and not fleet.routers[4].is_open(fleet.now, 1, 7)
        and fleet.routers[5].is_open(fleet.now, 1, 7)
    )
    fleet.play(3000.0, {1: {0, 1, 2, 3}})  # four of nine are cut from the zone: each leaves it alone by itself
    assert fleet.lost(1) == 0
    for router in fleet.routers:
        router.receive_votes(
            fleet.now, [ZoneVote(8, 1, ZoneStatus.LOST, int(fleet.now + 10 * 3600e3))]
        )  # a number nobody could outdo
    assert not any(
        (1, 8) in router.plan.votes and router.plan.votes[1, 8][0].sequence > fleet.now + 3600e3
        for router in fleet.routers
    )


@pytest.mark.parametrize("loss", [0.33, 1.0])
def test_lost_datagrams_delay_the_plan_and_without_any_each_goes_by_itself(loss: float) -> None:
    fleet = Fleet(20, {0: 4, 1: 4}, loss)
    fleet.play(1000.0, {})
    everybody = set(range(20))
    fleet.play(4000.0, {1: everybody})
    assert fleet.lost(1) == (20 if loss < 1 else 0)
    assert sum(router.is_open(fleet.now, 1, 7) for router in fleet.routers) < 8
    assert all(router.is_open(fleet.now, 0, 7) for router in fleet.routers)


def test_one_that_stood_still_does_not_act_on_its_old_plan() -> None:
    fleet = Fleet(9, {0: 3, 1: 3})
    fleet.play(1000.0, {})
    fleet.play(2000.0, {1: set(range(9))})
    stopped = fleet.routers[2]
    assert stopped.plan.zones[1].lost
    fleet.cut = {2}
    fleet.now += LIFE + 1.0
    stopped.tick(fleet.now)
    assert not stopped.plan.zones[1].lost  # its words have run out


def test_a_zone_that_flaps_stays_out_longer_each_time() -> None:
    plan, until = Plan(0, range(5)), []
    for turn in range(4):
        at = NOW + turn * 10000.0
        for says, later in ((ZoneStatus.LOST, 0.0), (ZoneStatus.HEALTHY, 1000.0)):
            for who in (1, 2, 3):
                plan.receive_vote(at + later, ZoneVote(who, 1, says, int(at + later)))
            plan.update_zone(at + later, 1)
            plan.update_zone(at + later + SETTLE, 1)
        until.append(plan.zones[1].closed_until - at - 1000.0)
    assert until == [HOLD, 2 * HOLD, 4 * HOLD, 8 * HOLD]
    assert plan.zones[1].open_share(at + 1000.0 + until[-1] + STEPS * STEP) == 1.0


def test_where_all_zones_look_lost_none_is_left_alone() -> None:
    zones = ZoneFailover(0, range(3))
    zones.set_servers([(0, 1), (0, 2), (1, 11), (1, 12)])
    for zone in (0, 1):
        for server in (1, 2):
            zones.on_no_response(NOW, zone, zone * 10 + server, NOW - 1.0)
    assert zones.is_open(NOW, 0, 7) and zones.is_open(NOW, 1, 7)
    zones.drained = frozenset({0})
    assert not zones.is_open(NOW, 0, 7) and zones.is_open(NOW, 1, 7) and zones.closed_shares(NOW) == {0: 0.0, 1: 0.0}
    zones.drained = frozenset()
    zones.on_response(NOW + 1.0, 0, 1, 5.0)
    assert zones.is_open(NOW + 1.0, 0, 7) and not zones.is_open(NOW + 1.0, 1, 7)
    assert zones.is_open(NOW + TRY_EVERY, 1, 7)
    zones.on_sent(NOW + TRY_EVERY, 1, 11)
    assert not zones.is_open(NOW + 2 * TRY_EVERY - 1.0, 1, 7)


def test_one_server_or_an_old_debt_is_no_lost_zone() -> None:
    seen = ZoneEvidence()
    for _ in range(9):
        seen.on_no_response(1, 5.0)
    assert not seen.is_lost(4) and seen.is_lost(1)
    seen.on_response(10.0, 1, 5.0)
    seen.on_no_response(2, 9.0)
    seen.on_no_response(3, 9.0)
    assert not seen.is_lost(4) and not seen.is_lost(0)
    seen.on_no_response(7, 15.0)
    seen.retain_servers({1, 2, 8})  # one that left the list tells nothing of its zone
    assert not seen.unanswered_since
    for server in (1, 2):
        seen.on_sent(20.0, server)
    seen.expire_pending(20.0 + LEAST_WAIT)
    assert not seen.is_lost(4)
    seen.expire_pending(21.0 + LEAST_WAIT)  # twenty times what an answer takes: long before a time-out
    assert seen.is_lost(4)


@given(
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from(ZoneStatus), st.integers(0, 2**63)), min_size=1, max_size=40),
    st.data(),
)
def test_datagrams_are_short_and_wrong_ones_refused(
    said: list[tuple[int, ZoneStatus, int]], data: st.DataObject
) -> None:
    words = [ZoneVote(3, *one) for one in said]
    sent = encode(3, words, KEY)
    assert len(sent) <= MAX_DATAGRAM and decode(sent, (b"another-key-here", KEY), 3, 6) == words[:MOST_WORDS]
    at = data.draw(st.integers(0, len(sent) - 1))
    spoilt = sent[:at] + bytes([sent[at] ^ data.draw(st.integers(1, 255))]) + sent[at + 1 :]
    for wrong, sender, zones in ((spoilt, 3, 6), (sent[:at], 3, 6), (sent, 4, 6), (encode(3, words, b"x"), 3, 6)):
        with pytest.raises(WireError):
            decode(wrong, (KEY,), sender, zones)
    if max(word.zone for word in words[:MOST_WORDS]) > 0:
        with pytest.raises(WireError):
            decode(sent, (KEY,), 3, max(word.zone for word in words[:MOST_WORDS]))


def test_regions_are_checked_and_unknown_zones_are_told() -> None:
    topology = Topology(("a", "b", "c"), {"east": ["a", "b", "z"]})
    assert [topology.step(0, zone) for zone in (0, 1, 2, 9)] == [0, 1, 2, 2] and topology.unknown == ["z"]
    with pytest.raises(TopologyError, match="'a' is in the regions 'east' and 'west'"):
        Topology(("a",), {"east": ["a"], "west": ["a"]})
    with pytest.raises(options.OptionsError, match=r"failover\.region_round_trip_ms"):
        options.parse("[failover]\nregion_round_trip_ms = -1\n", "own.toml")


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (
            "[balance]\nenabled = true",
            "own.toml: the top level: object contains unknown field `balance`, it is called `hot_keys` now",
        ),
        (
            "[failover]\nfar_ms = 20",
            "own.toml: failover: object contains unknown field `far_ms`, it is called `region_round_trip_ms` now",
        ),
        (
            "[failover]\nclosed = ['b']",
            "own.toml: failover: object contains unknown field `closed`, it is called `drained_zones` now",
        ),
    ],
)
def test_an_older_key_of_the_operators_file_is_an_error_that_names_the_new_one(text: str, error: str) -> None:
    with pytest.raises(options.OptionsError) as raised:
        options.parse(text, "own.toml")
    assert str(raised.value) == error


def test_the_module_leaves_a_lost_zone_alone_and_asks_now_and_then() -> None:
    def asked(on: bool) -> int:
        world = World(THROUGH, members(6, zones=2))
        if on:
            world.balancer.fleet.zones = ZoneFailover(0, range(4))
            world.balancer.fleet.zones.set_servers(
                (s.endpoint.zone, s.endpoint.server) for s in world.balancer.fleet.ready
            )
        count = 0
        for key in range(1, 200):
            world.now += 5.0
            for send in sends(world.ask(key)):
                if world.balancer.fleet.servers[send.server].endpoint.zone == 1:
                    count += 1
                    world.end(send, AttemptResult.CONNECT_FAILED, elapsed=1.0)
                else:
                    world.end(send, AttemptResult.OK)
        return count

    assert asked(True) < 0.5 * asked(False)
