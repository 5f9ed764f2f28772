"""Tests of the pipe for streamed values: back-pressure, the shared byte budget, and its end."""

from __future__ import annotations

import asyncio

from hypothesis import example, given, settings
from hypothesis import strategies as st

from starlingthread.core.pipe import MAX_WINDOW_BYTES, MIN_READ_BYTES, ByteBudget, Pipe

from .chunked_values import take_all

LIMIT_BYTES = 4 * MAX_WINDOW_BYTES


@settings(max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(["put", "take", "release", "end", "break", "abandon"]),
            st.integers(1, 3 * MAX_WINDOW_BYTES // 2),
        ),
        max_size=60,
    ),
    st.sampled_from([0, LIMIT_BYTES, 100 * MAX_WINDOW_BYTES]),
)
# The last piece is dropped, as the pipe has ended while its window was used up.
@example([(2, "put", MAX_WINDOW_BYTES), (2, "end", 1), (2, "put", 1)], 100 * MAX_WINDOW_BYTES)
# A piece that was taken counts until it is released, also if the pipe is abandoned before.
@example([(0, "put", MAX_WINDOW_BYTES), (0, "take", 1), (0, "put", 1), (0, "abandon", 1)], 0)
def test_a_pipe_preserves_its_bytes_and_all_pipes_together_hold_no_more_than_their_budget(
    steps: list[tuple[int, str, int]], limit: int
) -> None:
    budget = ByteBudget(limit)
    pipes = [Pipe(budget) for _ in range(3)]
    put, taken = [b"", b"", b""], [b"", b"", b""]
    settled = [0, 0, 0]
    for number, pipe in enumerate(pipes):
        pipe.on_settled(lambda number=number: settled.__setitem__(number, settled[number] + 1))  # type: ignore[misc]
    for index, step, size in steps:
        pipe = pipes[index]
        if step == "put" and not pipe.is_full():
            accepts_pieces = not pipe.abandoned and pipe.complete is None
            held_before = pipe.held
            readable = pipe.reserve_read(MAX_WINDOW_BYTES)
            # What is being read is counted before it arrives, so that many reads at once stay within the budget.
            reserved = readable if accepts_pieces else 0
            assert budget.used == sum(each.held for each in pipes) + reserved
            piece = b"x" * min(size, readable)
            pipe.put(piece)
            if accepts_pieces:
                put[index] += piece
            else:
                assert pipe.held == held_before
        elif step == "take" and pipe.has_more():
            taken[index] += pipe.take()
        elif step == "release":
            pipe.release()
        elif step in ("end", "break"):
            pipe.finish(step == "end")
        elif step == "abandon":
            pipe.abandon()
        # An empty pipe is never full, so its producer never waits for another pipe's consumer.
        assert pipe.held or not pipe.is_full()
        assert budget.used == sum(each.held for each in pipes) >= 0
        assert budget.used <= budget.limit + len(pipes) * MIN_READ_BYTES
        assert all(each.held <= MAX_WINDOW_BYTES for each in pipes)
    for index, pipe in enumerate(pipes):
        if not pipe.abandoned:
            assert taken[index] + take_all(pipe) == put[index]
        pipe.abandon()
        pipe.release()
        assert settled[index] == 1 and pipe.is_finished()
    assert budget.used == 0


def test_small_pieces_take_little_memory_beside_their_bytes() -> None:
    """Guards against values that arrive in pieces of a few bytes, each of which takes as much again many times."""
    pipe = Pipe(ByteBudget(1 << 30))
    for _ in range(2000):
        pipe.put(b"ab")
    assert pipe.held == 4000
    assert [len(pipe.take()) for _ in range(4)] == [1024, 1024, 1024, 928]
    assert not pipe.has_more()


def test_back_pressure_affects_only_its_own_pipe() -> None:
    async def run() -> None:
        budget = ByteBudget(0)
        slow, fast = Pipe(budget), Pipe(budget)
        slow.put(b"x" * 11)
        fast.put(b"y")
        reading = asyncio.ensure_future(fast.wait_until_not_full())
        await asyncio.sleep(0)
        assert not reading.done()
        assert fast.take() == b"y"
        await asyncio.sleep(0)
        assert not reading.done()  # The consumer may still have the piece.
        fast.release()
        await reading
        taking = asyncio.ensure_future(fast.wait_for_data())
        await asyncio.sleep(0)
        assert not taking.done()
        fast.finish(False)
        await taking
        waiting = asyncio.ensure_future(slow.wait_until_not_full())
        await asyncio.sleep(0)
        slow.abandon()
        await waiting
        assert budget.used == 0

    asyncio.run(run())
