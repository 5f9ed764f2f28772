"""The endpoint list of the old process of an upgrade reaches the new one, which may find no discovery."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest

from starlingthread.core.clock import Clock
from starlingthread.core.counters import Counters
from starlingthread.core.messages import EndpointsReceived
from starlingthread.core.task_supervisor import TaskSupervisor
from starlingthread.events import EndpointListKind, ServerState
from starlingthread.handover.actor import Handover
from starlingthread.handover.channel import MAX_LINE_BYTES, request_handover
from starlingthread.handover.endpoint_exchange import EndpointExchange
from starlingthread.net.discovery import DiscoveryActor, EndpointListParser

from .discovery_steps import receive_list
from .peers import entry, listing, until
from .router_harness import RouterHarness


class OneProcess:
    """The client of discovery and the handover of one process; the clocks of two processes have different bases."""

    def __init__(self, folder: Path, zones: tuple[str, ...], clock_base: float, inherited: Any = None) -> None:
        self.router = RouterHarness().router
        self.router.clock = Clock()
        self.router.clock._base += clock_base
        self.router.mailbox.take()
        parser = EndpointListParser(zones, ("k",))
        self.discovery = DiscoveryActor(self.router, parser, ("127.0.0.1", 1), TaskSupervisor())
        exchange = EndpointExchange(self.discovery, self.router.clock)
        self.discovery.on_list = exchange.on_list
        self.handover = Handover(
            Mock(), TaskSupervisor(), Counters(), folder, inherited, executions=None, endpoints=exchange
        )
        self.handover.process.sockets = dict  # type: ignore[method-assign]

    def receive(self, index: int, *entries: dict[str, Any], full: bool = True) -> None:
        """Receive a list from discovery."""
        receive_list(self.discovery, listing(index, *entries, full=full))

    def lists(self) -> list[EndpointsReceived]:
        """Return the lists that the router has got since the last call."""
        return [message for message in self.router.mailbox.take() if isinstance(message, EndpointsReceived)]

    async def close(self) -> None:
        for channel in (self.handover._predecessor, self.handover._successor):
            if channel is not None:
                channel.transport.abort()
        self.handover.close()
        await self.handover.supervisor.stop()


@pytest.mark.parametrize("servers", [3, 400])
def test_a_drain_that_the_old_process_was_told_binds_the_new_one(tmp_path: Path, servers: int) -> None:
    """Guards against requests to a draining server from a new process that finds no discovery."""

    async def scenario() -> None:
        old = OneProcess(tmp_path, ("a", "b"), 0.0)
        entries = [{**entry(f"s-{n}", f"127.0.0.1:{n}"), "zone": "b", "since_ms": n} for n in range(1, servers + 1)]
        old.receive(7, *entries)
        old.receive(8, {**entries[0], "status": "terminating"}, {**entries[1], "status": "terminated"}, full=False)
        old.lists()
        old.handover.on_serving()
        new = OneProcess(tmp_path, ("b", "a"), 5e6, await asyncio.to_thread(request_handover, tmp_path))
        await new.handover.start()
        await until(lambda: new.discovery.version == 8)
        (received,) = new.lists()
        assert received.event.kind == EndpointListKind.CACHED and new.discovery.endpoint_count == servers - 1
        by_name = dict(new.discovery.parser.ids.items())
        endpoints = {endpoint.server: endpoint for endpoint in received.event.endpoints}
        assert endpoints[by_name["s-1"]].state == ServerState.DRAINING and "s-2" not in by_name
        last = endpoints[by_name[f"s-{servers}"]]
        assert (last.zone, last.started, received.addresses[last.server]) == (0, servers, ("127.0.0.1", servers))
        assert new.discovery._proof.age() == pytest.approx(old.discovery._proof.age(), abs=50.0)

        old.receive(9, {**entries[2], "status": "terminating"}, full=False)
        await until(lambda: new.discovery.version == 9)  # discovery has not answered the new process yet
        new.receive(3, *entries[:1])
        await until(lambda: old.handover._endpoints is not None and old.handover._endpoints._successor is None)
        old.receive(10, *entries)
        await asyncio.sleep(0.15)  # longer than changes are held back
        assert new.discovery.version == 3 and new.discovery.endpoint_count == 1
        await new.close()
        await old.close()

    asyncio.run(scenario())


def test_an_old_process_without_a_list_or_with_one_that_does_not_fit_sends_none(tmp_path: Path) -> None:
    """The channel must stay usable, as its end means the end of the other process."""

    async def scenario() -> None:
        old = OneProcess(tmp_path, (), 0.0)
        old.handover.on_serving()
        new = OneProcess(tmp_path, (), 0.0, await asyncio.to_thread(request_handover, tmp_path))
        await new.handover.start()
        old.receive(1, entry("s" * MAX_LINE_BYTES, "127.0.0.1:1"))
        await asyncio.sleep(0.15)
        old.discovery.load_cached_list({"index": 2, "snapshot": True, "endpoints": [entry("s-1", "127.0.0.1:1")]})
        old.discovery.on_list()
        await until(lambda: new.discovery.version == 2)
        assert len(new.lists()) == 1 and new.handover._predecessor is not None
        await new.close()
        await old.close()

    asyncio.run(scenario())
