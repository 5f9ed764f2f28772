"""The actor of discovery: fetches and watches endpoint lists when the router asks for it, and reports the results."""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import NamedTuple, TypeAlias, assert_never

import h11

from ...core.mailbox import Mailbox
from ...core.messages import EndpointsReceived
from ...core.router import Router
from ...core.task_supervisor import TaskSupervisor
from ...events import EndpointList, EndpointListKind, ServerState
from ...logs import log
from .call import DiscoveryCall, PollResponse, WatchResponse
from .endpoint_list import EndpointListParser
from .errors import DiscoveryCallError, EndpointListError

LIST_PATH = "/registry/instances"
MAILBOX_LIMIT = 100  # messages
# Backoff of a watch on pushed lists. It is short, as changes take effect at the agent whether or not a watch is open,
# and the grace of a drain may be some 100 ms.
WATCH_RETRY_BASE_MS = 20.0  # mean pause after the first failure
MAX_BACKOFF_DOUBLINGS = 4
BACKOFF_JITTER = (0.5, 1.5)  # keeps routers from retrying in step


class StartWatch(NamedTuple):
    """Watch for changes."""


class StopWatch(NamedTuple):
    """Stop watching for changes."""


class FetchList(NamedTuple):
    """Fetch the whole list once."""


class ChangeAddress(NamedTuple):
    """Discovery has another address."""

    address: tuple[str, int]


Message: TypeAlias = StartWatch | StopWatch | FetchList | ChangeAddress


class DiscoveryActor:
    """Calls discovery when the router asks for it, and reports lists and failures to the router."""

    def __init__(
        self,
        router: Router,
        parser: EndpointListParser,
        address: tuple[str, int],
        supervisor: TaskSupervisor,
        pushed: bool = False,
    ) -> None:
        self.router = router
        self.parser = parser
        self.address = address
        self.supervisor = supervisor
        self.pushed = pushed  # lists are pushed: the router never asks, and this actor keeps a watch open by itself
        self.clock = router.clock
        self.counters = router.counters
        self.deadlines = router.deadlines
        self.mailbox: Mailbox[Message] = Mailbox(MAILBOX_LIMIT)
        self.version = 0  # of the list that the router has; 0: fetch the whole list with the next call
        self.watch_wanted = False  # whether the router wants to be notified of changes
        self._listed: set[int] = set()  # servers of that list
        self._watch_task: asyncio.Task[None] | None = None
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        self._consecutive_failures = 0
        self._rng = Random()

    @property
    def endpoint_count(self) -> int:
        """How many servers the router's list has, draining ones included."""
        return len(self._listed)

    def apply_settings(self, zones: tuple[str, ...], server_kinds: tuple[str, ...], pushed: bool = False) -> None:
        """Apply changed settings. If zones or server kinds are numbered anew, the next call fetches the whole list."""
        self.pushed = pushed
        self.watch_wanted = self.watch_wanted or pushed
        if self.parser.set_names(zones, server_kinds):
            self.version = 0

    def server_id(self, name: str) -> int | None:
        """Return the id of a listed server, or None if the list has none of that name."""
        number = self.parser.ids.lookup(name)
        return number if number in self._listed else None

    def load_cached_list(self, raw: object) -> None:
        """Report the list that the configuration holds. Raises EndpointListError."""
        listing = self.parser.parse(raw, EndpointListKind.CACHED)
        self.version = listing.event.version
        self._listed = {endpoint.server for endpoint in listing.event.endpoints}
        self.router.mailbox.force_put(listing)

    def watch(self, active: bool) -> None:
        """Start watching for changes, or stop."""
        self.watch_wanted = active
        self._put(StartWatch() if active else StopWatch())

    def fetch(self) -> None:
        """Fetch the whole list once."""
        self._put(FetchList())

    def set_address(self, address: tuple[str, int]) -> None:
        """Leave discovery's old address and repeat all pending calls at the new one, at once."""
        self.mailbox.force_put(ChangeAddress(address))

    def report_failure(self, reason: str) -> None:
        """Report a failed call to the router; where lists are pushed, retry the watch after a backoff."""
        self.counters.increment("discovery.failures")
        log.info("discovery-failed", reason=reason)
        self.router.mailbox.force_put(EndpointsReceived(EndpointList(EndpointListKind.FAILED, self.version), {}))
        if self.pushed:
            self.deadlines.set(self.clock.now() + self._next_backoff(), self._retry_watch)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        if self.pushed:
            self.watch(True)
        while True:
            for message in self.mailbox.take():
                self._handle(message)
            await self.mailbox.wait()

    def _put(self, message: Message) -> None:
        if not self.mailbox.put(message):
            self.report_failure("mailbox full")

    def _handle(self, message: Message) -> None:
        match message:
            case StartWatch():
                self._start_watch()
            case StopWatch():
                self._stop_watch()
            case FetchList():
                self._start_fetch()
            case ChangeAddress(address):
                self._change_address(address)
            case _:
                assert_never(message)

    def _start_watch(self) -> None:
        # An open watch is left open: it has its own silence time-out, and a new call would wait for the list anew.
        if self._watch_task is None or self._watch_task.done():
            self._watch_task = self._start_call(f"{LIST_PATH}?watch=1&after={self.version}", is_watch=True)

    def _stop_watch(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    def _start_fetch(self) -> None:
        task = self._start_call(LIST_PATH, is_watch=False)
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    def _change_address(self, address: tuple[str, int]) -> None:
        """Cancel all calls at the old address and repeat them at the new one.

        Guards against a watch at the old address that lives on or ends later: neither its lists nor its end are
        reported any more. A pending fetch is repeated, as its response may never come.
        """
        self.address = address
        self._stop_watch()
        pending_fetches = len(self._fetch_tasks)
        for task in self._fetch_tasks:
            task.cancel()
        self._fetch_tasks.clear()
        if self.watch_wanted:
            self._start_watch()
        for _ in range(pending_fetches):
            self._start_fetch()

    def _start_call(self, path: str, is_watch: bool) -> asyncio.Task[None]:
        self.counters.increment("discovery.watches" if is_watch else "discovery.fetches")
        work = self._run_call(path, is_watch)
        return self.supervisor.start(work, "discovery-call", lambda error: self.report_failure(repr(error)))

    async def _run_call(self, path: str, is_watch: bool) -> None:
        """Make one call. A poll reports one list or one failure; a watch any number of lists, then one failure."""
        call = DiscoveryCall(self.clock, self.deadlines, self.address, path)
        response = WatchResponse(self.clock, self._apply_list) if is_watch else PollResponse(self._apply_list)
        try:
            await call.run(response)
        except DiscoveryCallError as error:
            self.report_failure(str(error))
        except (OSError, h11.RemoteProtocolError, EndpointListError) as error:
            self.report_failure(repr(error))

    def _next_backoff(self) -> float:
        """Return the pause (ms) before the next retry, doubled with each consecutive failure."""
        doublings = min(self._consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        self._consecutive_failures += 1
        return WATCH_RETRY_BASE_MS * (1 << doublings) * self._rng.uniform(*BACKOFF_JITTER)

    def _retry_watch(self) -> None:
        if self.pushed and self.watch_wanted:
            self.watch(True)

    def _apply_list(self, text: bytes) -> None:
        """Parse a list and report it to the router. Raises EndpointListError."""
        listing = self.parser.parse(self._parse_json(text))
        event = listing.event
        if event.kind == EndpointListKind.DELTA and event.version < self.version:
            known = self.version
            self.version = 0  # discovery has restarted its count: the next call fetches the whole list
            raise EndpointListError(f"changes for version {event.version}, but the list has version {known}")
        self.version = event.version
        self._update_listed(event)
        self.parser.ids.retain(self._listed)
        self._consecutive_failures = 0
        self.counters.increment("discovery.lists")
        self.router.mailbox.force_put(listing)

    def _parse_json(self, text: bytes) -> object:
        try:
            raw: object = json.loads(text)
        except (ValueError, RecursionError) as error:
            self.counters.increment("discovery.bad_json")
            raise EndpointListError(f"invalid JSON: {error}") from None
        return raw

    def _update_listed(self, event: EndpointList) -> None:
        removed = {endpoint.server for endpoint in event.endpoints if endpoint.state == ServerState.GONE}
        named = {endpoint.server for endpoint in event.endpoints} - removed
        is_delta = event.kind == EndpointListKind.DELTA
        self._listed = (self._listed | named) - removed if is_delta else named
