"""Zone failover: agreement of all routers, tolerance of a faulty witness, flap damping, and fail-open behaviour."""

from __future__ import annotations

from itertools import permutations
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlingthread import options
from starlingthread.events import AttemptResult
from starlingthread.failover.codec import MAX_VOTES, decode, encode
from starlingthread.failover.evidence import MIN_OVERDUE_MS, ZoneEvidence
from starlingthread.failover.plan import SETTLE_TIME_MS, FailoverPlan
from starlingthread.failover.recovery import FIRST_REOPEN_DELAY_MS, RAMP_STEP_TIME_MS, RAMP_STEPS
from starlingthread.failover.topology import Topology, TopologyError
from starlingthread.failover.votes import VOTE_LIFETIME_MS, ZoneStatus, ZoneVote, choose_witnesses
from starlingthread.failover.zones import FIRST_TRIAL_DELAY_MS, MAX_TRIAL_DELAY_MS, ZoneFailover
from starlingthread.membership.datagram import MAX_DATAGRAM_BYTES, DatagramError

from .balancer_driver import THROUGH, BalancerDriver, make_endpoints, sends

NOW_MS = 1e12
KEY = b"0123456789abcdef"
KEY_MULTIPLIER = 0x9E3779B97F4A7C15  # Spreads small key numbers over 64 bits.


class Fleet:
    """Routers that exchange votes without delay, except for lost datagrams and partitioned routers."""

    def __init__(self, count: int, sizes: dict[int, int], loss: float = 0.0) -> None:
        """Create the routers and zones; sizes: servers by zone; loss: the probability that a datagram is lost."""
        self.now = NOW_MS
        self.rng = Random(5)
        self.loss = loss
        self.sent_datagrams = 0
        self.routers = [ZoneFailover(n, range(count)) for n in range(count)]
        self.partitioned: set[int] = set()
        for router in self.routers:
            router.set_servers((zone, zone * 10 + number) for zone, size in sizes.items() for number in range(size))

    def exchange_votes(self) -> None:
        """Deliver outgoing votes until no router has any."""
        while any(router.outgoing_votes for router in self.routers):
            for sender, router in enumerate(self.routers):
                votes = router.take_outgoing_votes()
                for receiver, peer in enumerate(self.routers if votes else []):
                    self.sent_datagrams += 1
                    connected = receiver != sender and not {receiver, sender} & self.partitioned
                    if connected and self.rng.random() >= self.loss:
                        peer.receive_votes(self.now, votes)

    def run_for(self, duration: float, unreachable: dict[int, set[int]]) -> None:
        """Let each router send requests to each open zone for a duration (ms).

        unreachable: for each zone, the routers that get no response from it.
        """
        for _ in range(int(duration / 100.0)):
            self.now += 100.0
            for number, router in enumerate(self.routers):
                for zone in router.server_counts:
                    if not router.is_open(self.now, zone, self.rng.getrandbits(64)):
                        continue
                    server = zone * 10 + self.rng.randrange(router.server_counts[zone])
                    router.on_sent(self.now, zone, server)
                    if number not in unreachable.get(zone, ()):
                        router.on_response(self.now, zone, server, 1.0)
                router.tick(self.now)
            self.exchange_votes()

    def count_lost(self, zone: int) -> int:
        """Return in how many routers' plans a zone is lost."""
        return sum(router.plan.is_lost(zone) for router in self.routers)


@given(
    st.lists(st.tuples(st.integers(1, 8), st.sampled_from(ZoneStatus), st.integers(1, 4)), max_size=12), st.randoms()
)
def test_routers_with_the_same_votes_have_the_same_plan(
    vote_fields: list[tuple[int, ZoneStatus, int]], rng: Random
) -> None:
    """The plan depends neither on the order of the votes nor on duplicates."""
    unique: dict[tuple[int, int], ZoneVote] = {}  # A witness uses each sequence number once.
    for witness, status, sequence in vote_fields:
        unique.setdefault((witness, sequence), ZoneVote(witness, 1, status, sequence))
    plans = []
    for _ in range(2):
        votes = [*unique.values(), *unique.values()]
        rng.shuffle(votes)
        plan = FailoverPlan(0, range(9))
        for vote in votes:
            plan.receive_vote(NOW_MS, vote)
        plan.update_zone(NOW_MS, 1)
        plan.update_zone(NOW_MS + SETTLE_TIME_MS, 1)
        valid = sorted(received.vote for received in plan.valid_votes(NOW_MS, 1))
        plans.append((plan.is_lost(1), valid))
    assert plans[0] == plans[1]


def test_every_order_and_loss_of_the_votes_of_three_witnesses_keeps_the_invariants() -> None:
    """All orders of six votes: two by each of two correct witnesses and one faulty witness."""
    votes = [
        ZoneVote(1, 1, ZoneStatus.LOST, 1),
        ZoneVote(1, 1, ZoneStatus.HEALTHY, 2),
        ZoneVote(2, 1, ZoneStatus.HEALTHY, 1),
        ZoneVote(2, 1, ZoneStatus.HEALTHY, 2),
        ZoneVote(3, 1, ZoneStatus.LOST, 1),
        ZoneVote(3, 1, ZoneStatus.LOST, 9),
    ]
    states = set()
    for order in permutations(votes):
        plan = FailoverPlan(0, range(5))
        newest: dict[int, int] = {}
        for vote in order:
            plan.receive_vote(NOW_MS, vote)
            plan.update_zone(NOW_MS + SETTLE_TIME_MS, 1)
            newest[vote.witness] = max(newest.get(vote.witness, 0), vote.sequence)
            valid = {received.vote.witness: received.vote for received in plan.valid_votes(NOW_MS, 1)}
            # An older vote never replaces a newer one.
            assert {witness: vote.sequence for witness, vote in valid.items()} == newest
            lost = plan.is_lost(1)
            lost_votes = [vote for vote in valid.values() if vote.status == ZoneStatus.LOST]
            # The vote of a single witness is never enough, correct or faulty.
            assert not lost or len(lost_votes) >= 2
            states.add((tuple(sorted(valid.values())), lost))
        assert not plan.is_lost(1)
    assert len(states) > 20 and any(lost for _, lost in states)


def test_all_routers_agree_on_a_lost_zone_and_its_recovery_ramp() -> None:
    """Only the witnesses of the zone send trial requests to it while it is lost."""
    fleet = Fleet(40, {0: 4, 1: 4, 2: 4})
    fleet.run_for(3000.0, {})
    assert fleet.sent_datagrams == 0  # No votes are sent while all zones are healthy.
    fleet.run_for(500.0, {1: set(range(40))})
    assert fleet.count_lost(1) == 40 and fleet.count_lost(0) == fleet.count_lost(2) == 0
    trial_at = fleet.now + MAX_TRIAL_DELAY_MS
    trial_routers = [index for index, router in enumerate(fleet.routers) if router.is_open(trial_at, 1, 7)]
    assert sorted(trial_routers) == sorted(choose_witnesses(1, range(40)))
    fleet.run_for(4000.0, {1: set(range(40))})
    assert fleet.count_lost(1) == 40
    fleet.run_for(MAX_TRIAL_DELAY_MS + 500.0, {})
    assert fleet.count_lost(1) == 0
    shares = []
    for _ in range(60):
        fleet.run_for(100.0, {})
        shares.append(sum(fleet.routers[3].plan.is_open(fleet.now, 1, key * KEY_MULTIPLIER) for key in range(400)))
    assert shares == sorted(shares) and shares[-1] == 400


def test_a_faulty_witness_a_partitioned_router_and_a_minority_close_no_zone_for_the_fleet() -> None:
    """These routers avoid the zone themselves, but only a quorum of witnesses closes it for all routers."""
    fleet = Fleet(9, {0: 3, 1: 3, 2: 3})
    fleet.run_for(1000.0, {})
    fleet.run_for(3000.0, {1: {4}})  # The link or the evidence of one router is faulty.
    assert (
        fleet.count_lost(1) == 0
        and not fleet.routers[4].is_open(fleet.now, 1, 7)
        and fleet.routers[5].is_open(fleet.now, 1, 7)
    )
    # Four of nine routers cannot reach the zone; only these four avoid it.
    fleet.run_for(3000.0, {1: {0, 1, 2, 3}})
    assert fleet.count_lost(1) == 0
    far_future_vote = ZoneVote(8, 1, ZoneStatus.LOST, int(fleet.now + 10 * 3600e3))
    for router in fleet.routers:
        router.receive_votes(fleet.now, [far_future_vote])
    newest = [router.plan.votes.get(1, 8) for router in fleet.routers]
    assert not any(received and received.vote.sequence > fleet.now + 3600e3 for received in newest)


@pytest.mark.parametrize("loss", [0.33, 1.0])
def test_lost_datagrams_delay_the_plan_and_without_any_votes_each_router_decides_by_itself(loss: float) -> None:
    """A third of the datagrams are lost, or all of them."""
    fleet = Fleet(20, {0: 4, 1: 4}, loss)
    fleet.run_for(1000.0, {})
    all_routers = set(range(20))
    fleet.run_for(4000.0, {1: all_routers})
    assert fleet.count_lost(1) == (20 if loss < 1 else 0)
    assert sum(router.is_open(fleet.now, 1, 7) for router in fleet.routers) < 8
    assert all(router.is_open(fleet.now, 0, 7) for router in fleet.routers)


def test_a_router_that_stalled_does_not_act_on_its_old_plan() -> None:
    """The lifetime of the votes bounds how long a plan stays in effect."""
    fleet = Fleet(9, {0: 3, 1: 3})
    fleet.run_for(1000.0, {})
    fleet.run_for(2000.0, {1: set(range(9))})
    stalled = fleet.routers[2]
    assert stalled.plan.zones[1].lost
    fleet.partitioned = {2}
    fleet.now += VOTE_LIFETIME_MS + 1.0
    stalled.tick(fleet.now)
    assert not stalled.plan.zones[1].lost  # The votes have expired.


def test_a_flapping_zone_stays_closed_longer_each_time() -> None:
    """The reopen delay doubles with each loss (exponential backoff)."""
    plan = FailoverPlan(0, range(5))
    reopen_delays = []
    for loss in range(4):
        at = NOW_MS + loss * 10000.0
        for status, delay in ((ZoneStatus.LOST, 0.0), (ZoneStatus.HEALTHY, 1000.0)):
            for witness in (1, 2, 3):
                plan.receive_vote(at + delay, ZoneVote(witness, 1, status, int(at + delay)))
            plan.update_zone(at + delay, 1)
            plan.update_zone(at + delay + SETTLE_TIME_MS, 1)
        reopen_delays.append(plan.zones[1].closed_until - at - 1000.0)
    assert reopen_delays == [
        FIRST_REOPEN_DELAY_MS,
        2 * FIRST_REOPEN_DELAY_MS,
        4 * FIRST_REOPEN_DELAY_MS,
        8 * FIRST_REOPEN_DELAY_MS,
    ]
    assert plan.zones[1].open_share(at + 1000.0 + reopen_delays[-1] + RAMP_STEPS * RAMP_STEP_TIME_MS) == 1.0


def test_if_all_zones_appear_lost_none_is_avoided() -> None:
    """Routing fails open, except for zones that operators have drained."""
    zones = ZoneFailover(0, range(3))
    zones.set_servers([(0, 1), (0, 2), (1, 11), (1, 12)])
    for zone in (0, 1):
        for server in (1, 2):
            zones.on_no_response(NOW_MS, zone, zone * 10 + server, NOW_MS - 1.0)
    assert zones.is_open(NOW_MS, 0, 7) and zones.is_open(NOW_MS, 1, 7)
    zones.drained = frozenset({0})
    assert (
        not zones.is_open(NOW_MS, 0, 7)
        and zones.is_open(NOW_MS, 1, 7)
        and zones.open_shares(NOW_MS) == {0: 0.0, 1: 0.0}
    )
    zones.drained = frozenset()
    zones.on_response(NOW_MS + 1.0, 0, 1, 5.0)
    assert zones.is_open(NOW_MS + 1.0, 0, 7) and not zones.is_open(NOW_MS + 1.0, 1, 7)
    assert zones.is_open(NOW_MS + FIRST_TRIAL_DELAY_MS, 1, 7)
    zones.on_sent(NOW_MS + FIRST_TRIAL_DELAY_MS, 1, 11)
    assert not zones.is_open(NOW_MS + 2 * FIRST_TRIAL_DELAY_MS - 1.0, 1, 7)


def test_one_silent_server_or_an_old_request_does_not_mark_a_zone_as_lost() -> None:
    """The evidence must come from several servers and be newer than the last response of the zone."""
    evidence = ZoneEvidence()
    for _ in range(9):
        evidence.on_no_response(1, 5.0)
    assert not evidence.is_lost(4) and evidence.is_lost(1)
    evidence.on_response(10.0, 1, 5.0)
    evidence.on_no_response(2, 9.0)
    evidence.on_no_response(3, 9.0)
    assert not evidence.is_lost(4) and not evidence.is_lost(0)
    evidence.on_no_response(7, 15.0)
    evidence.retain_servers({1, 2, 8})  # A server that is no longer listed provides no evidence.
    assert not evidence.unanswered_since
    for server in (1, 2):
        evidence.on_sent(20.0, server)
    evidence.expire_pending(20.0 + MIN_OVERDUE_MS)
    assert not evidence.is_lost(4)
    evidence.expire_pending(21.0 + MIN_OVERDUE_MS)  # Twenty times the response time, well before a request timeout.
    assert evidence.is_lost(4)


@given(
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from(ZoneStatus), st.integers(0, 2**63)), min_size=1, max_size=40),
    st.data(),
)
def test_datagrams_are_short_and_invalid_ones_rejected(
    vote_fields: list[tuple[int, ZoneStatus, int]], data: st.DataObject
) -> None:
    """Datagrams that are corrupt, truncated or unauthenticated, and a wrong sender or unknown zone, raise an error."""
    votes = [ZoneVote(3, *fields) for fields in vote_fields]
    datagram = encode(3, votes, KEY)
    assert (
        len(datagram) <= MAX_DATAGRAM_BYTES and decode(datagram, (b"another-key-here", KEY), 3, 6) == votes[:MAX_VOTES]
    )
    position = data.draw(st.integers(0, len(datagram) - 1))
    corrupt = (
        datagram[:position] + bytes([datagram[position] ^ data.draw(st.integers(1, 255))]) + datagram[position + 1 :]
    )
    for invalid, sender, zones in (
        (corrupt, 3, 6),
        (datagram[:position], 3, 6),
        (datagram, 4, 6),
        (encode(3, votes, b"x"), 3, 6),
    ):
        with pytest.raises(DatagramError):
            decode(invalid, (KEY,), sender, zones)
    if max(vote.zone for vote in votes[:MAX_VOTES]) > 0:
        with pytest.raises(DatagramError):
            decode(datagram, (KEY,), 3, max(vote.zone for vote in votes[:MAX_VOTES]))


def test_regions_are_checked_and_unknown_zones_are_reported() -> None:
    """A zone in two regions and a negative round-trip time are errors."""
    topology = Topology(("a", "b", "c"), {"east": ["a", "b", "z"]})
    assert [topology.distance(0, zone) for zone in (0, 1, 2, 9)] == [0, 1, 2, 2] and topology.unknown_zones == ["z"]
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
def test_a_renamed_key_of_the_operators_file_is_an_error_with_the_new_name(text: str, error: str) -> None:
    """The error shows operators who upgrade what they have to change."""
    with pytest.raises(options.OptionsError) as raised:
        options.parse(text, "own.toml")
    assert str(raised.value) == error


def test_the_balancer_avoids_a_lost_zone_except_for_trial_requests() -> None:
    """Fewer than half as many attempts go to the zone as without failover."""

    def attempts_in_lost_zone(failover: bool) -> int:
        driver = BalancerDriver(THROUGH, make_endpoints(6, zones=2))
        if failover:
            driver.balancer.fleet.zones = ZoneFailover(0, range(4))
            driver.balancer.fleet.zones.set_servers(
                (server.endpoint.zone, server.endpoint.server) for server in driver.balancer.fleet.ready
            )
        count = 0
        for key in range(1, 200):
            driver.now += 5.0
            for send in sends(driver.submit_request(key)):
                if driver.balancer.fleet.servers[send.server].endpoint.zone == 1:
                    count += 1
                    driver.end_attempt(send, AttemptResult.CONNECT_FAILED, elapsed=1.0)
                else:
                    driver.end_attempt(send, AttemptResult.OK)
        return count

    assert attempts_in_lost_zone(failover=True) < 0.5 * attempts_in_lost_zone(failover=False)
