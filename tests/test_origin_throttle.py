"""The origin's guard: what it lets through while the origin is well, jammed, and well again."""

from __future__ import annotations

from starlingthread.actions import Reject
from starlingthread.events import AttemptResult

from .world import NOT_IDEMPOTENT, ORIGIN, World, answers, only_send, sends


def fetch_result(world: World, key: int, result: AttemptResult, elapsed: float) -> bool:
    """Read a key that no cache holds; end its fetch so; tell whether there was a fetch."""
    first = only_send(world.ask(key))
    if first.server != ORIGIN:
        done = world.end(first, AttemptResult.MISS)
        if not sends(done):
            assert answers(done) == [Reject(first.id)]
            return False
        fetch = only_send(done)
    else:
        fetch = first
    assert fetch.server == ORIGIN
    world.now += elapsed
    world.end(fetch, result, len(world.checker.seen[fetch.id].attempts) - 1, elapsed=elapsed)
    return True


def test_a_well_origin_gets_every_fetch() -> None:
    world = World()
    assert all(fetch_result(world, key, AttemptResult.OK, 60.0) for key in range(1, 60))


def test_a_jammed_origin_is_left_nearly_alone() -> None:
    """Incident if95e43: fetches went on unchecked while 97% of them failed."""
    world = World()
    let = [fetch_result(world, key, AttemptResult.TIMEOUT, 400.0) for key in range(1, 60)]
    assert sum(let[20:]) < 0.4 * len(let[20:])


def test_slow_fetches_press_before_any_fails() -> None:
    world = World()
    for key in range(1, 20):
        fetch_result(world, key, AttemptResult.OK, 60.0)
    let = [fetch_result(world, key, AttemptResult.OK, 900.0) for key in range(20, 40)]
    assert not all(let)


def test_the_origin_is_asked_again_once_it_has_rested() -> None:
    world = World()
    for key in range(1, 40):
        fetch_result(world, key, AttemptResult.TIMEOUT, 400.0)
    world.now += 60000
    assert fetch_result(world, 1000, AttemptResult.OK, 60.0)


def test_a_write_waits_out_a_full_origin_and_is_answered_in_time() -> None:
    world = World()
    send = only_send(world.ask(cls=NOT_IDEMPOTENT, budget=2000.0))
    assert not answers(world.end(send, AttemptResult.FULL))
    final, number = [], 0
    for _ in range(60):
        done = world.pass_time(50.0)
        for again in sends(done):
            assert again.server == ORIGIN
            number += 1
            done = done + world.end(again, AttemptResult.FULL, number)
        final += answers(done)
    assert number >= 1
    assert final == [Reject(send.id)]
