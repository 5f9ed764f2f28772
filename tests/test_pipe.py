"""The pipe of a chunked value: back-pressure, the shared budget, and its end."""

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
@example([(2, "put", WINDOW_BYTES + 1), (2, "end", 1), (2, "put", 1)])  # dropped while more than the window is buffered
def test_a_pipe_preserves_its_bytes_and_releases_its_budget(steps: list[tuple[int, str, int]]) -> None:
    budget = ByteBudget(WINDOW_BYTES)
    pipes = [Pipe(budget) for _ in range(3)]
    put, got = [b"", b"", b""], [b"", b"", b""]
    settled = [0, 0, 0]
    for number, pipe in enumerate(pipes):
        pipe.on_settled(lambda number=number: settled.__setitem__(number, settled[number] + 1))  # type: ignore[misc]
    for which, what, size in steps:
        pipe = pipes[which]
        if what == "put" and not pipe.is_full():
            is_taking = not pipe.abandoned and pipe.complete is None
            buffered_before = pipe.buffered
            pipe.put(b"x" * size)
            if is_taking:
                put[which] += b"x" * size
                # One piece always; more only within the window, and only while the budget allows.
                assert pipe.buffered < WINDOW_BYTES + size
            else:
                assert pipe.buffered == buffered_before
        elif what == "take":
            got[which] += b"".join(pipe.take())
            assert not pipe.is_full()  # so that none ever waits for another one's writer
        elif what in ("end", "break"):
            pipe.finish(what == "end")
        elif what == "abandon":
            pipe.abandon()
        assert budget.used == sum(p.buffered for p in pipes) >= 0
    for which, pipe in enumerate(pipes):
        if not pipe.abandoned:
            assert got[which] + b"".join(pipe.take()) == put[which]
        pipe.abandon()
        assert settled[which] == 1 and pipe.is_finished()
    assert budget.used == 0


def test_back_pressure_affects_only_its_own_pipe() -> None:
    async def play() -> None:
        budget = ByteBudget(10)
        slow, quick = Pipe(budget), Pipe(budget)
        slow.put(b"x" * 11)  # all the budget there is
        quick.put(b"y")
        reading = asyncio.ensure_future(quick.wait_until_not_full())
        await asyncio.sleep(0)
        assert not reading.done()
        assert quick.take() == [b"y"]
        await reading
        taking = asyncio.ensure_future(quick.wait_for_data())
        await asyncio.sleep(0)
        assert not taking.done()
        quick.finish(False)
        await taking
        waiting = asyncio.ensure_future(slow.wait_until_not_full())
        await asyncio.sleep(0)
        slow.abandon()
        await waiting
        assert budget.used == 0

    asyncio.run(play())
