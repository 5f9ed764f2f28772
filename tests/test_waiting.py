"""What waiting at servers does to later requests."""

from __future__ import annotations

from starlingthread.interface import Refuse, Result

from .world import ASIDE, ORIGIN, World, answers, members, only_send, sends


def late_reads(world: World, count: int, elapsed: float) -> None:
    """Let some reads of many keys be answered after a long wait."""
    for key in range(count):
        world.now += 20.0
        for send in sends(world.ask(1000 + key, cost=0.0)):
            world.end(send, Result.OK, elapsed=elapsed)


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


def test_a_crowded_home_is_left_for_servers_that_would_be_in_time() -> None:
    """Incident i952281: the homes of a crowded zone refused what idle servers could have answered."""
    world = World(ASIDE, members(12))
    home = [world.read(7) for _ in range(12)][-1]
    for _ in range(5):  # the other servers are seen to be quick
        for key in range(100, 130):
            world.now += 10.0
            for send in sends(world.ask(key)):
                world.end(send, Result.OK, elapsed=45.0)
    late = only_send(world.ask(7))
    assert late.server == home
    world.end(late, Result.OK, elapsed=900.0)
    for _ in range(10):
        assert only_send(world.ask(7)).server not in (home, ORIGIN)


def test_a_refused_client_is_told_when_to_come_back() -> None:
    world = World(ASIDE._replace(max_retry_after=2000.0), ())
    told = [refusal.retry_after for _ in range(20) for refusal in answers(world.ask()) if
            isinstance(refusal, Refuse)]
    assert len(told) == 20 and all(1.0 <= ms <= 2000.0 for ms in told) and len(set(told)) > 10
