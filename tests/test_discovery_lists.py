"""Discovery: parsing of endpoint lists, a change of the discovery address, and the assignment of server ids."""

from __future__ import annotations

import asyncio
import contextlib

from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.core.task_supervisor import TaskSupervisor
from starlingthread.events import Endpoint, EndpointListKind, ServerState
from starlingthread.net.discovery import LIST_PATH, DiscoveryActor, EndpointListError, EndpointListParser, ServerIds
from starlingthread.net.discovery.open_calls import OpenCall

from .router_harness import RouterHarness

ENTRY = {
    "name": "s-1",
    "address": "127.0.0.1:11211",
    "zone": "b",
    "type": "m2",
    "group": 3,
    "status": "in_service",
    "weight": 1.5,
    "since_ms": 17,
}


def test_a_list_is_parsed_and_unknown_zones_and_kinds_come_after_the_known() -> None:
    """A zone or kind that is not in the settings gets the index after the last one that is."""
    parser = EndpointListParser(("a", "b"), ("m1", "m2"))
    unusual = {**ENTRY, "name": "s-2", "zone": "x", "type": None, "status": "terminating"}
    listing = parser.parse({"index": 4, "snapshot": False, "endpoints": [unusual, ENTRY]})
    first, second = listing.event.endpoints
    assert first == Endpoint(ServerIds().assign("s-1"), 1, 1, 3, ServerState.READY, 1.5, 17.0)
    assert (second.zone, second.kind, second.state) == (2, 2, ServerState.DRAINING)
    assert listing.event.kind == EndpointListKind.DELTA and listing.addresses[first.server] == ("127.0.0.1", 11211)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.recursive(
        st.none() | st.integers() | st.text(max_size=5) | st.floats(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from([*ENTRY, "endpoints", "index", "snapshot"]), inner)
        ),
    )
)
def test_any_json_is_parsed_or_raises_a_list_error(raw: object) -> None:
    """No list may raise any other exception."""
    for document in (raw, {"index": 1, "snapshot": True, "endpoints": [raw, {**ENTRY, "zone": raw}]}):
        with contextlib.suppress(EndpointListError):
            assert EndpointListParser(("a",), ("m1",)).parse(document).event.kind in EndpointListKind


def test_ids_are_derived_from_the_name_and_collisions_are_resolved() -> None:
    """Two routers assign the same ids, in whatever order they receive the names."""
    names = [f"s-{n}" for n in range(300)]
    one, other = ServerIds(), ServerIds()
    assert [one.assign(name) for name in names] == [other.assign(name) for name in reversed(names)][::-1]
    with_collision = ServerIds()
    with_collision._assigned.add(ServerIds().assign("s-1"))
    resolved = with_collision.assign("s-1")
    assert resolved != ServerIds().assign("s-1") and resolved == with_collision.assign("s-1") < 1 << 32


def test_a_new_address_of_discovery_is_called_at_once_and_the_old_calls_end_without_a_failure() -> None:
    """After a reload the router must get the lists of the new address soon; until then, those of the old one."""

    async def scenario() -> None:
        harness = RouterHarness()
        calls: list[tuple[int, str]] = []
        open_calls: list[OpenCall] = []
        discovery = DiscoveryActor(harness.router, EndpointListParser((), ()), ("127.0.0.1", 1), TaskSupervisor())

        async def run_call(call: OpenCall, address: tuple[str, int], path: str) -> None:
            calls.append((address[1], path))
            open_calls.append(call)
            await asyncio.Event().wait()

        discovery._run_call = run_call  # type: ignore[method-assign]
        discovery.supervisor.start(discovery.run(), "discovery", lambda _: None)
        discovery.watch(True)
        discovery.fetch()
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
        discovery.set_address(("127.0.0.1", 1))  # unchanged
        discovery.set_address(("127.0.0.1", 2))
        for _ in range(4):
            await asyncio.sleep(0.0)
        watch, fetch = (f"{LIST_PATH}?watch=1&after=0", LIST_PATH)
        assert calls == [(1, watch), (1, fetch), (2, fetch), (2, watch)]
        tasks = [call.task for call in open_calls if call.task is not None]
        assert not any(task.done() for task in tasks)
        discovery._on_answer(open_calls[-1])
        await asyncio.sleep(0.0)
        assert [task.cancelled() for task in tasks] == [True, True, False, False]
        assert discovery.counters["discovery.failures"] == 0
        assert not harness.router.mailbox.take()
        await discovery.supervisor.stop()

    asyncio.run(scenario())


def test_removed_names_are_released_and_have_the_same_id_when_they_return() -> None:
    """Guards against unbounded memory for the ids of servers that are no longer listed."""
    ids = ServerIds()
    first, second = ids.assign("s-1"), ids.assign("s-2")
    ids.retain({second})
    assert ids._assigned == {second} and ids.assign("s-1") == first
