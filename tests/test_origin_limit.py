"""The limit on fetches: it opens again with the origin, not with the clock."""

from __future__ import annotations

import math
from random import Random

import pytest

from starlingthread.events import AttemptResult, Outcome
from starlingthread.limits.concurrency import SAFE_LIMIT, ConcurrencyLimit
from starlingthread.limits.limit_adjustment import adjust_limits
from starlingthread.limits.origin_limit import OriginLimit

from .world import IDEMPOTENCY_KEY, THROUGH, World, answers, members, only_send, sends


def play(fetches: OriginLimit, begin: float, span: float, per_s: float, room: int) -> tuple[int, int, int]:
    """Want fetches at a steady rate of an origin that serves so many at once in 100 ms, and fails the others.

    Return how many were wanted, let through and served.
    """
    rng, now, let, served, wanted = Random(3), begin, 0, 0, 0
    out: list[tuple[float, bool]] = []
    while now < begin + span:
        now += 1000.0 / per_s
        for done in [d for d in out if d[0] <= now]:
            out.remove(done)
            fetches.on_finished(1.0)
            fetches.on_fetch(done[1], 100.0 if done[1] else 1000.0, 1000.0)
        wanted += 1
        if fetches.allows(now, 1.0, rng.random()):
            let += 1
            fine = len(out) < room
            served += fine
            fetches.on_sent(1.0)
            out.append((now + (100.0 if fine else 500.0), fine))
    for _ in out:
        fetches.on_finished(1.0)
    return wanted, let, served


def test_what_the_origin_can_serve_is_let_through_and_little_more_and_a_jam_that_ends_is_forgotten() -> None:
    fetches = OriginLimit()
    wanted, let, _ = play(fetches, 0.0, 5000.0, 100.0, 1000)
    assert let == wanted and not fetches.limit.is_learned  # nothing is limited until something bad was seen
    wanted, let, served = play(fetches, 5000.0, 10000.0, 200.0, 5)
    assert served > 0.4 * 500 and let < 0.6 * wanted
    wanted, let, _ = play(fetches, 15000.0, 3000.0, 100.0, 1000)
    assert let > 0.8 * wanted


def test_a_dead_origin_is_asked_now_and_then_and_what_is_hardly_a_fetch_goes_on() -> None:
    fetches = OriginLimit()
    wanted, let, _ = play(fetches, 0.0, 30000.0, 100.0, 0)
    assert 0 < let < 0.1 * wanted
    assert fetches.rejected_share > 0.8 and fetches.replicas.level > 1.0
    assert not fetches.allows(30000.0, 1.0, 0.99, is_write=True)  # it would fail there as well
    fetches.on_sent(1.0)
    assert fetches.allows(30000.0, 0.02, 0.99) and fetches.allows(30000.0, 0.0, 0.99)
    assert not fetches.allows(30000.0, 1.0, 0.0) and fetches.allows(30000.0, 1.0, 0.0, is_write=True)
    fetches.on_finished(1.0)
    _, let, _ = play(fetches, 30000.0, 20000.0, 100.0, 1000)
    assert let > 1000 and fetches.rejected_share < 0.1


@pytest.mark.parametrize("bad_share", [0.0, 0.02, 0.1])
def test_a_few_bad_answers_limit_nothing(bad_share: float) -> None:
    limit, rng = ConcurrencyLimit(), Random(4)
    for _ in range(5000):
        if rng.random() < bad_share:
            limit.on_failure(1)
        else:
            limit.on_success(1)
    assert limit.limit > SAFE_LIMIT - 2.0


def test_a_limit_is_never_under_its_least_and_always_finite_once_known() -> None:
    limit = ConcurrencyLimit()
    assert limit.allows(10**6) and not limit.is_learned
    limit.on_rejection(0)
    for _ in range(100):
        limit.on_failure(3)
        limit.on_rejection(1)
    assert limit.limit == 1.0 and limit.allows(0) and not limit.allows(1) and math.isfinite(limit.limit)


@pytest.mark.parametrize(
    ("result", "elapsed", "usual"),
    [
        (AttemptResult.ERROR, 20.0, 80.0),
        (AttemptResult.TIMEOUT, 900.0, math.inf),
        (AttemptResult.CONNECT_FAILED, 250.0, 80.0),
    ],
)
def test_servers_that_fail_at_once_or_say_nothing_tell_nothing_of_the_origin(
    result: AttemptResult, elapsed: float, usual: float
) -> None:
    """Three bad servers of sixty, then a lost zone, made forty routers refuse three quarters of what was asked."""
    fetches, server = OriginLimit(), ConcurrencyLimit()
    for _ in range(100):
        adjust_limits(server, fetches, Outcome(1, 0, 1, result, elapsed, False), 1, 1.0, 50.0, 1000.0, usual)
    assert not fetches.limit.is_learned
    adjust_limits(server, fetches, Outcome(1, 0, 1, AttemptResult.ERROR, 200.0, False), 1, 1.0, 50.0, 1000.0, 80.0)
    assert fetches.limit.is_learned


def test_writes_show_the_origins_room_and_go_before_fetches_and_a_jam_thins_them() -> None:
    """On the first site's overloaded day all writes failed at a jammed origin and filled the servers' queues."""
    world = World(THROUGH)
    for _ in range(60):
        for send in sends(world.ask(7, IDEMPOTENCY_KEY)):
            world.now += 500.0
            world.end(send, AttemptResult.ERROR, elapsed=400.0)
    limit = world.balancer.load.fetches.limit
    assert limit.limit < 0.3 and sum(bool(sends(world.ask(8, IDEMPOTENCY_KEY))) for _ in range(100)) < 40
    limit.limit = 2.0
    assert len(sends(world.ask(8, IDEMPOTENCY_KEY))) == 1 and not sends(
        world.ask(9)
    )  # never asked for: a fetch, most likely


def test_while_servers_turn_requests_away_their_last_places_go_to_what_is_cached() -> None:
    """On an overloaded day of the second site fetches, three times as long, held the places that hits were refused."""
    world = World(THROUGH, members(1))
    for _ in range(6):
        world.finish(only_send(world.ask(7)), 30.0)  # key 7 is cached now
    (server,) = world.balancer.fleet.servers.values()
    server.concurrency.limit, world.balancer.affinity.prior = 8.5, [0.0, 0.0]  # what is not counted is a fetch
    for key in range(100, 105):
        assert sends(world.ask(key))  # room for all: fetches go as well
    assert sends(world.ask(105))
    while sends(world.ask(7)):
        pass
    for _ in range(30):
        assert answers(world.ask(7))
    server.attempts_in_flight -= 3  # some end, their places are free again
    assert not sends(world.ask(200)) and sends(world.ask(7))
    for _ in range(300):
        world.balancer.refusal.reserve.observe(False)
    assert sends(world.ask(200))
