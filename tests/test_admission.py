"""What is refused, when, and what the client is told."""

from __future__ import annotations

from starlingthread.actions import Reject
from starlingthread.events import AttemptResult, Request

from .world import (
    ASIDE,
    IDEMPOTENCY_KEY,
    READ,
    THROUGH,
    World,
    answers,
    fetch_many,
    late_reads,
    members,
    only_send,
    sends,
)


def test_most_of_what_would_miss_its_aim_is_refused_early() -> None:
    """Incident iddb886: queues longer than the aim were kept full."""
    world = World(ASIDE, members(6))
    late_reads(world, 60, 900.0)
    world.now += 5000.0  # a balancer comes back to a server every few seconds only
    refused = 0
    for key in range(100):
        world.now += 1.0
        refused += len(answers(world.ask(5000 + key, cost=0.0)))
    assert 60 <= refused < 100  # a few go on, to find out when it is over


def test_work_goes_on_once_answers_are_quick_again() -> None:
    world = World(ASIDE, members(6))
    late_reads(world, 60, 900.0)
    late_reads(world, 600, 30.0)
    world.now += 5000.0
    assert only_send(world.ask(9999, cost=0.0))


def test_quick_answers_refuse_nothing() -> None:
    world = World(ASIDE, members(6))
    late_reads(world, 100, 60.0)
    assert all(not answers(world.ask(5000 + key)) for key in range(50))


def test_a_refused_client_is_told_when_to_come_back() -> None:
    world = World(ASIDE._replace(max_retry_after=2000.0), ())
    told = [refusal.retry_after for _ in range(20) for refusal in answers(world.ask()) if isinstance(refusal, Reject)]
    assert len(told) == 20 and all(1.0 <= ms <= 2000.0 for ms in told) and len(set(told)) > 10


def test_what_our_own_core_is_too_small_for_is_refused_worth_least_first_and_only_then() -> None:
    """Guards against a day on which all wait for us and none is in time."""

    def refused(world: World, waited: float, cls: int = READ) -> int:
        count = 0
        for key in range(400):
            world.now += 10.0
            world.next_id += 1
            done = world.do(Request(world.next_id, cls, 900.0, key=key + 1, cost_hint=40.0, queue_time=waited))
            count += len(answers(done))
            for send in sends(done):
                world.end(send, AttemptResult.OK)
        return count

    world = World(THROUGH)
    assert refused(world, 5.0) == 0
    reads, writes = refused(world, 40.0), refused(world, 40.0, IDEMPOTENCY_KEY)
    assert 100 < reads < 350 and 0 < writes < 200
    refused(world, 5.0)
    assert refused(world, 5.0) == 0


def test_fetches_are_spared_an_origin_that_fails_and_what_is_cached_is_served_on() -> None:
    """Guards against a jam at the origin that keeps the servers' places from what they have cached."""
    world = World(THROUGH)
    world.balancer.affinity.prior_hit_probability = [0.1, 0.1]
    for _ in range(20):
        world.read(7)
    fetch_many(world, 40, AttemptResult.OK)
    assert not [a for key in range(50) for a in answers(world.ask(500000 + key))]
    fetch_many(world, 40, AttemptResult.ERROR, 200.0)
    spared = len([a for key in range(50) for a in answers(world.ask(600000 + key))])
    assert spared > 25 and only_send(world.ask(7))
