"""Discovery: the list and the watch over HTTP, one port a router so that it is known who was told what."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from aiohttp import web

from ..experiment.records import StatusNotification

HEARTBEAT = 2.0  # s between empty lines on a watch
KEPT_CHANGES = 1000


class ListedServer:
    """A line of the list. Each group of routers knows the server by an address of its own."""

    def __init__(self, number: int, name: str, addresses: list[str], zone: str) -> None:
        self.number, self.name, self.addresses, self.zone = number, name, addresses, zone
        self.status, self.since_ms, self.changed_at_index = "in_service", 0, 1
        self.started_at = 0.0  # the same moment on the machine's monotonic clock

    def endpoint_line(self, router: int = 0) -> dict[str, Any]:
        """Return it in the form of the protocol, as one router is told it."""
        address = self.addresses[router % len(self.addresses)]
        return {
            "name": self.name,
            "address": address,
            "zone": self.zone,
            "type": "std",
            "group": 0,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


class DiscoveryServer:
    """All routers' view of the fleet. ``notified`` gets a record for each line written to a router."""

    def __init__(self, routers: int, call_ms: float, notified: list[StatusNotification]) -> None:
        self.notifications, self.request_delay_ms = notified, call_ms
        self.index = 1
        self.entries: dict[int, ListedServer] = {}
        self.is_down = False
        self.partitioned_routers: set[int] = set()  # routers whose calls hear nothing
        self.requests = self.failed_requests = 0
        self.ports: list[int] = []
        self._routers, self._router_of_port = routers, {0: 0}
        self._one_at_a_time = asyncio.Lock()
        self._changed = asyncio.Event()
        self._gone: list[tuple[int, ListedServer]] = []
        self._watches: set[asyncio.Task[Any]] = set()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on one port for each router."""
        app = web.Application()
        app.router.add_get("/registry/instances", self._answer)
        self._runner = web.AppRunner(app, access_log=None, handle_signals=False, shutdown_timeout=0.1)
        await self._runner.setup()
        for router in range(self._routers):
            site = web.TCPSite(self._runner, "127.0.0.1", 0)
            await site.start()
            server = site._server
            assert isinstance(server, asyncio.Server) or hasattr(server, "sockets")
            port = server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
            self.ports.append(port)
            self._router_of_port[port] = router

    async def stop(self) -> None:
        """End all watches and stop listening."""
        for task in list(self._watches):
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    # changes

    def publish(self, entry: ListedServer) -> None:
        """Enter a server, or its change of state, under a new version."""
        self.index += 1
        entry.changed_at_index = self.index
        if entry.status == "terminated":
            self.entries.pop(entry.number, None)
            self._gone.append((self.index, entry))
            del self._gone[:-KEPT_CHANGES]
        else:
            self.entries[entry.number] = entry
        self._changed.set()
        self._changed = asyncio.Event()

    def set_down(self, is_down: bool) -> None:
        """Go down, which ends the watches, or come back."""
        self.is_down = is_down
        if is_down:
            for task in list(self._watches):
                task.cancel()

    def partition(self, routers: set[int], is_cut: bool) -> None:
        """Cut some routers off, or let them hear again: their calls and watches stand still meanwhile."""
        self.partitioned_routers = self.partitioned_routers | routers if is_cut else self.partitioned_routers - routers
        self._changed.set()
        self._changed = asyncio.Event()

    def snapshot(self, router: int = 0) -> dict[str, Any]:
        """Return the whole list in the form of the protocol, as one router is told it."""
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [entry.endpoint_line(router) for entry in self.entries.values()],
        }

    def _since(self, index: int, router: int = 0) -> tuple[dict[str, Any], list[ListedServer]]:
        if index <= 0 or index > self.index or (len(self._gone) == KEPT_CHANGES and self._gone[0][0] > index):
            entries = list(self.entries.values())
            return {
                "index": self.index,
                "snapshot": True,
                "endpoints": [e.endpoint_line(router) for e in entries],
            }, entries
        entries = [e for e in self.entries.values() if e.changed_at_index > index]
        back = {e.number for e in entries}
        entries += [e for at, e in self._gone if at > index and e.number not in back and e.number not in self.entries]
        return {
            "index": self.index,
            "snapshot": False,
            "endpoints": [e.endpoint_line(router) for e in entries],
        }, entries

    def _note(self, router: int, entries: list[ListedServer]) -> None:
        at = time.monotonic() * 1000.0
        self.notifications.extend(StatusNotification(router, e.number, e.status, at, e.started_at) for e in entries)

    # calls

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        self.requests += 1
        assert request.transport is not None
        router = self._router_of_port[request.transport.get_extra_info("sockname")[1]]
        async with self._one_at_a_time:
            await asyncio.sleep(self.request_delay_ms / 1000.0)
        while router in self.partitioned_routers:
            await self._changed.wait()
        if self.is_down:
            self.failed_requests += 1
            if self.failed_requests % 2:
                request.transport.abort()
            return web.Response(status=503)
        if request.query.get("watch") != "1":
            entries = list(self.entries.values())
            body = json.dumps(self.snapshot(router))
            self._note(router, entries)
            return web.Response(text=body, content_type="application/json")
        try:
            after = int(request.query.get("after", "0"))
        except ValueError:
            return web.Response(status=400, text="after: expected a number")
        return await self._watch(request, router, after)

    async def _watch(self, request: web.Request, router: int, after: int) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        task = asyncio.current_task()
        assert task is not None
        self._watches.add(task)
        first = True
        try:
            while True:
                changed = self._changed
                while router in self.partitioned_routers:
                    await self._changed.wait()
                if first or after < self.index:
                    body, entries = self._since(after, router)
                    after, first = self.index, False
                    await response.write(json.dumps(body).encode() + b"\n")
                    self._note(router, entries)
                try:
                    await asyncio.wait_for(changed.wait(), HEARTBEAT)
                except TimeoutError:
                    await response.write(b"\n")
        except asyncio.CancelledError:
            if request.transport is not None:
                request.transport.abort()
        except (ConnectionError, RuntimeError):
            pass
        finally:
            self._watches.discard(task)
        with contextlib.suppress(ConnectionError, RuntimeError):
            await response.write_eof()
        return response
