"""What responses and time-outs show of the queueing at servers."""

from __future__ import annotations

from starlingthread.events import AttemptResult, CacheStatus, Outcome

from .world import THROUGH, World, only_send


def test_a_timeout_shows_no_queue_if_later_requests_were_answered() -> None:
    """Guards against rejecting everything when one connection falls silent: its server responds as ever."""
    world = World(THROUGH)
    silent = only_send(world.ask(7))
    world.now += 100.0
    world.read(7)
    world.now += 800.0
    before = world.balancer.load.wait_estimates.mean_wait
    world.end(silent, AttemptResult.TIMEOUT, elapsed=930.0)
    assert world.balancer.load.wait_estimates.mean_wait == before
    unanswered = only_send(world.ask(7))
    world.now += 930.0
    world.end(unanswered, AttemptResult.TIMEOUT, elapsed=930.0)
    assert world.balancer.load.wait_estimates.mean_wait == before  # a lost server is no sign of queues at the others
    busy = only_send(world.ask(7))
    world.now += 10.0
    alone = only_send(world.ask(7))
    assert busy.server == alone.server
    world.now += 890.0
    world.end(busy, AttemptResult.OK, elapsed=900.0)
    before = world.balancer.load.wait_estimates.mean_wait
    world.now += 40.0
    world.end(alone, AttemptResult.TIMEOUT, elapsed=930.0)
    assert world.balancer.load.wait_estimates.mean_wait > before


def test_the_time_of_a_fetch_shows_no_queue_at_its_server() -> None:
    world = World(THROUGH)
    world.read(7)
    send = only_send(world.ask(9))
    world.now += 400.0
    before = world.balancer.load.wait_estimates.mean_wait
    world.do(Outcome(send.id, 0, send.server, AttemptResult.OK, 400.0, True, cache_status=CacheStatus.MISS))
    assert world.balancer.load.wait_estimates.mean_wait == before
