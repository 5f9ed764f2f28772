"""What follows an attempt: retries and second copies."""

from __future__ import annotations

import pytest

from starlingthread.actions import Fail
from starlingthread.events import AttemptResult, RequestCancelled
from starlingthread.state.records import AffinityCount

from .world import COPIES, IDEMPOTENCY_KEY, NOT_IDEMPOTENT, READ, THROUGH, World, answers, only_send, sends, warmed_up


def test_what_stays_out_gets_one_second_copy_elsewhere_and_unsafe_work_none() -> None:
    """Guards against connections that fall silent: a time-out at the deadline would be too late."""
    world = World(COPIES)
    owner = warmed_up(world)
    first = only_send(world.ask(7))
    assert first.server == owner and not sends(world.pass_time(324.0))
    second = only_send(world.pass_time(2.0))
    assert second.server != owner and not sends(world.pass_time(400.0))
    world.end(second, AttemptResult.OK, attempt=1, elapsed=30.0)
    only_send(world.ask(7, NOT_IDEMPOTENT))
    assert not sends(world.pass_time(900.0))


def test_what_its_client_has_left_gets_no_second_copy() -> None:
    world = World(COPIES)
    warmed_up(world)
    first = only_send(world.ask(7))
    world.pass_time(324.0)  # a copy is due 1 ms later
    world.do(RequestCancelled(first.id))
    assert not sends(world.pass_time(700.0))


def test_a_long_request_at_a_server_that_answers_others_gets_no_second_copy() -> None:
    """Where servers work on whatever became of a request, three copies in a hundred were a tenth of all work."""
    world = World(COPIES)
    owner = warmed_up(world)
    long, world.now = only_send(world.ask(7)), world.now + 100.0
    assert world.read(7) == owner and long.server == owner
    assert not sends(world.pass_time(800.0))


def test_where_what_is_overtaken_is_never_answered_it_gets_copies_until_it_is_again() -> None:
    """On rate+silent+leave 19 of 20 requests that were overtaken timed out: single connections had died."""
    world = World(COPIES)

    def overtaken(result: AttemptResult, left: float) -> bool:
        warmed_up(world)
        first, sent_at = only_send(world.ask(7)), world.now
        world.now += 100.0
        assert any(world.read(7) == first.server for _ in range(5))
        copies = sends(world.pass_time(400.0 + sent_at - world.now))
        for copy in copies:
            world.end(copy, AttemptResult.OK, attempt=1)
            world.end(first, AttemptResult.CANCELLED)
        if not copies:
            world.now = sent_at + 1000.0 - left
            world.end(first, result, elapsed=1000.0 - left)
        return bool(copies)

    assert [overtaken(AttemptResult.TIMEOUT, 0.0) for _ in range(40)].index(True) in range(10, 20)
    assert sum(overtaken(AttemptResult.OK, 500.0) for _ in range(80)) in range(5, 60)  # some get none, and show it
    assert not any(overtaken(AttemptResult.OK, 500.0) for _ in range(20))


@pytest.mark.parametrize("dead", [0.0, 0.9])
def test_what_got_lost_says_nothing_of_server_or_origin_and_more_of_it_is_copied(dead: float) -> None:
    """On churn+long of the second site a tenth of all got no answer for 15 s, and a fifth was refused for that."""
    world = World(COPIES)
    warmed_up(world)
    hedging, fetches = world.balancer.hedging.budget, world.balancer.load.origin_limit
    hedging.lost_share, world.balancer.affinity.prior_hit_probability = dead, [0.0, 0.0]
    for key in range(100, 140):
        hedging.tokens = 0.0
        if not (sent := sends(world.ask(key))):
            break
        first = sent[0]
        world.now += 10.0
        while world.read(7) != first.server:
            world.now += 1.0
            world.balancer.affinity.keys[7].counts = {first.server: AffinityCount(50.0, world.now, 1.0)}
        world.now += 900.0
        world.end(first, AttemptResult.TIMEOUT, elapsed=990.0)
    assert fetches.limit.is_learned == (dead == 0.0)
    for _ in range(20):
        hedging.on_first_attempt(500.0, True)
    assert (hedging.tokens >= 2.0) == (dead > 0)
    outliers = world.balancer.fleet.servers[first.server].outliers
    assert hedging.is_worthwhile(outliers.last_response_at - 1.0, outliers, 0.0, 3.0, 0.5) == (
        dead > 0
    )  # a fetch out too long
    assert not hedging.is_worthwhile(outliers.last_response_at - 1.0, outliers, 0.0, 1.0, 0.5)


def test_second_copies_are_few_and_none_where_all_are_slow() -> None:
    world = World(COPIES)
    warmed_up(world)
    asked = [only_send(world.ask(7)) for _ in range(100)]
    copies = len(sends(world.pass_time(400.0)))
    assert 0 < copies <= 0.04 * (len(asked) + 41) + 1
    slow = World(COPIES)
    warmed_up(slow)
    slow.balancer.load.wait_estimates.mean_wait = 300.0
    slow.ask(7)
    assert not sends(slow.pass_time(400.0))


def test_a_broken_answer_is_asked_for_again_where_it_may_have_been_made_and_then_elsewhere() -> None:
    world = World(THROUGH)
    owner = warmed_up(world)
    first = only_send(world.ask(7))
    second = only_send(world.end(first, AttemptResult.RESET))
    third = only_send(world.end(second, AttemptResult.RESET, attempt=1))
    assert first.server == second.server == owner != third.server


def test_what_never_ran_clears_no_other_attempt_at_the_same_server_and_time() -> None:
    """Guards the rule on refusals where a broken keyed write goes to the same server again at once."""
    keyed = THROUGH.classes[IDEMPOTENCY_KEY]._replace(deduplication_scope="zone")
    world = World(THROUGH._replace(classes=(THROUGH.classes[READ], keyed)))
    first = only_send(world.ask(7, IDEMPOTENCY_KEY))
    second = only_send(world.end(first, AttemptResult.RESET, elapsed=0.0))
    assert second.server == first.server
    world.balancer.fleet.servers[first.server].unavailable = True
    for server in world.balancer.fleet.servers.values():
        server.outliers.ejected_until = world.now + 9000.0
    done = world.end(second, AttemptResult.CONNECT_FAILED, attempt=1, elapsed=0.0)
    assert [type(a) for a in answers(done)] == [Fail]


def test_a_fetch_that_failed_is_not_tried_again() -> None:
    """Guards a jammed origin against retries, and our counts against what was never stored."""
    world = World(THROUGH)
    world.balancer.affinity.prior_hit_probability = [0.1, 0.1]
    first = only_send(world.ask(9))
    assert len(answers(world.end(first, AttemptResult.ERROR, elapsed=200.0))) == 1
    assert (
        world.balancer.affinity.keys[9].counts[first.server].request_count < 0.1
        and min(world.balancer.affinity.prior_hit_probability) < 0.1
    )
