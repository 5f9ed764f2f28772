"""The schedule of full garbage collections."""

from __future__ import annotations

import gc

import pytest

from starlingthread.core.counters import Counters
from starlingthread.core.deadlines import Deadlines
from starlingthread.router_process.garbage import FULL_COLLECTION_PERIOD_MS, MAX_ACCEPTED_CONNECTIONS, GarbageCollector

from .router_harness import ManualClock


def test_collections_run_periodically_and_after_many_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory growth between periodic collections.

    Routers in soak runs with bursts of connections had grown by 13 to 17 MB at the end, all of it garbage from the last
    few seconds.
    """
    collections: list[float] = []
    clock, deadlines, counters = ManualClock(), Deadlines(), Counters()
    for name in ("freeze", "set_threshold"):
        monkeypatch.setattr(gc, name, lambda *_: None)
    monkeypatch.setattr(gc, "collect", lambda: collections.append(clock.time))
    GarbageCollector(clock, deadlines, counters).start()
    collections.clear()

    def collections_within(duration: float) -> int:
        until = clock.time + duration
        while (due := deadlines.first()) is not None and due <= until:
            clock.time = due
            deadlines.sweep(due)
        clock.time = until
        count = len(collections)
        collections.clear()
        return count

    assert collections_within(3.5 * FULL_COLLECTION_PERIOD_MS) == 3
    counters["clients.accepted"] += MAX_ACCEPTED_CONNECTIONS - 1
    assert collections_within(0.1 * FULL_COLLECTION_PERIOD_MS) == 0
    counters["clients.accepted"] += 1
    assert collections_within(0.1 * FULL_COLLECTION_PERIOD_MS) == 1
    assert collections_within(0.9 * FULL_COLLECTION_PERIOD_MS) == 0
    assert collections_within(0.2 * FULL_COLLECTION_PERIOD_MS) == 1
