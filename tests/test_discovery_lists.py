"""Discovery: lists, watches and the ids of servers."""

from __future__ import annotations

import asyncio
import contextlib

from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.core.watcher import Watcher
from starlingthread.events import Endpoint, EndpointListKind, ServerState
from starlingthread.net.discovery import LIST_PATH, DiscoveryActor, EndpointListError, EndpointListParser, ServerIds

from .router_harness import RouterHarness

LINE = {
    "name": "s-1",
    "address": "127.0.0.1:11211",
    "zone": "b",
    "type": "m2",
    "group": 3,
    "status": "in_service",
    "weight": 1.5,
    "since_ms": 17,
}


def test_a_list_is_read_and_unknown_places_lie_behind_the_known() -> None:
    parser = EndpointListParser(("a", "b"), ("m1", "m2"))
    odd = {**LINE, "name": "s-2", "zone": "x", "type": None, "status": "terminating"}
    listing = parser.parse({"index": 4, "snapshot": False, "endpoints": [odd, LINE]})
    one, two = listing.event.endpoints
    assert one == Endpoint(ServerIds().assign("s-1"), 1, 1, 3, ServerState.READY, 1.5, 17.0)
    assert (two.zone, two.kind, two.state) == (2, 2, ServerState.DRAINING)
    assert listing.event.kind == EndpointListKind.DELTA and listing.addresses[one.server] == ("127.0.0.1", 11211)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.recursive(
        st.none() | st.integers() | st.text(max_size=5) | st.floats(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from([*LINE, "endpoints", "index", "snapshot"]), inner)
        ),
    )
)
def test_any_json_is_a_list_or_a_list_error(raw: object) -> None:
    for text in (raw, {"index": 1, "snapshot": True, "endpoints": [raw, {**LINE, "zone": raw}]}):
        with contextlib.suppress(EndpointListError):
            assert EndpointListParser(("a",), ("m1",)).parse(text).event.kind in EndpointListKind


def test_ids_come_from_the_name_and_collisions_are_resolved() -> None:
    names = [f"s-{n}" for n in range(300)]
    one, other = ServerIds(), ServerIds()
    assert [one.assign(n) for n in names] == [other.assign(n) for n in reversed(names)][::-1]
    crowded = ServerIds()
    crowded._assigned.add(ServerIds().assign("s-1"))
    assert (
        crowded.assign("s-1") != ServerIds().assign("s-1") and crowded.assign("s-1") == crowded.assign("s-1") < 1 << 32
    )


def test_discovery_that_moves_is_asked_anew_and_its_old_watch_is_no_failure() -> None:
    """Guards a reload: what the new address sends counts as notified soon after the signal."""

    async def play() -> None:
        harness, spoken = RouterHarness(), []
        registry = DiscoveryActor(harness.router, EndpointListParser((), ()), ("127.0.0.1", 1), Watcher())

        async def speak(path: str, is_watch: bool) -> None:
            spoken.append((registry.address[1], path))
            await asyncio.Event().wait()

        registry._run_call = speak  # type: ignore[method-assign]
        registry.watcher.start(registry.run(), "discovery", lambda _: None)
        registry.watch(True)
        registry.fetch()
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
        old, fetch = registry._watch_task, next(iter(registry._fetch_tasks))
        registry.set_address(("127.0.0.1", 2))
        for _ in range(4):
            await asyncio.sleep(0.0)
        paths = [f"{LIST_PATH}?watch=1&after=0", LIST_PATH]
        assert spoken == [(port, path) for port in (1, 2) for path in paths]
        assert old is not None and old.cancelled() and fetch.cancelled()
        assert registry.counters["discovery.failures"] == 0
        assert not harness.router.mailbox.take()
        await registry.watcher.stop()

    asyncio.run(play())


def test_names_that_are_gone_are_forgotten_and_come_back_with_the_same_id() -> None:
    ids = ServerIds()
    one, two = ids.assign("s-1"), ids.assign("s-2")
    ids.retain({two})
    assert ids._assigned == {two} and ids.assign("s-1") == one
