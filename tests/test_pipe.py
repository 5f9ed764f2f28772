"""Tests of the pipe for streamed values: back-pressure, the shared byte budget, and its end."""

from __future__ import annotations

import asyncio

from hypothesis import example, given, settings
from hypothesis import strategies as st

from starlingthread.core.pipe import WINDOW_BYTES, ByteBudget, Pipe


@settings(max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(["put", "take", "end", "break", "abandon"]),
            st.integers(1, 3 * WINDOW_BYTES // 2),
        ),
        max_size=60,
    )
)
# The last piece is dropped while the pipe buffers more than its window.
@example([(2, "put", WINDOW_BYTES + 1), (2, "end", 1), (2, "put", 1)])
def test_a_pipe_preserves_its_bytes_and_releases_its_budget(steps: list[tuple[int, str, int]]) -> None:
    budget = ByteBudget(WINDOW_BYTES)
    pipes = [Pipe(budget) for _ in range(3)]
    put, taken = [b"", b"", b""], [b"", b"", b""]
    settled = [0, 0, 0]
    for number, pipe in enumerate(pipes):
        pipe.on_settled(lambda number=number: settled.__setitem__(number, settled[number] + 1))  # type: ignore[misc]
    for index, step, size in steps:
        pipe = pipes[index]
        if step == "put" and not pipe.is_full():
            accepts_pieces = not pipe.abandoned and pipe.complete is None
            buffered_before = pipe.buffered
            pipe.put(b"x" * size)
            if accepts_pieces:
                put[index] += b"x" * size
                # The pipe always accepts one piece; it accepts more only below its window and within the budget.
                assert pipe.buffered < WINDOW_BYTES + size
            else:
                assert pipe.buffered == buffered_before
        elif step == "take":
            taken[index] += b"".join(pipe.take())
            # An empty pipe is never full, so its producer never waits for another pipe's consumer.
            assert not pipe.is_full()
        elif step in ("end", "break"):
            pipe.finish(step == "end")
        elif step == "abandon":
            pipe.abandon()
        assert budget.used == sum(each.buffered for each in pipes) >= 0
    for index, pipe in enumerate(pipes):
        if not pipe.abandoned:
            assert taken[index] + b"".join(pipe.take()) == put[index]
        pipe.abandon()
        assert settled[index] == 1 and pipe.is_finished()
    assert budget.used == 0


def test_back_pressure_affects_only_its_own_pipe() -> None:
    async def run() -> None:
        budget = ByteBudget(10)
        slow, fast = Pipe(budget), Pipe(budget)
        slow.put(b"x" * 11)  # This exceeds the shared budget.
        fast.put(b"y")
        reading = asyncio.ensure_future(fast.wait_until_not_full())
        await asyncio.sleep(0)
        assert not reading.done()
        assert fast.take() == [b"y"]
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
