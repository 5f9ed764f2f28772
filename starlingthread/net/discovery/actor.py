"""The discovery actor: fetches or watches endpoint lists on the router's request, and reports the results to it."""

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
MAX_MAILBOX_MESSAGES = 100
# Mean pause before the first retry of a watch on pushed lists. It is short because changes take effect at the discovery
# agent whether or not a watch is open, and the grace period of a drain may be only about 100 ms.
WATCH_RETRY_BASE_MS = 20.0
MAX_BACKOFF_DOUBLINGS = 4
# Range of the random factor on a retry pause; it prevents routers from retrying at the same time.
BACKOFF_JITTER_RANGE = (0.5, 1.5)


class StartWatch(NamedTuple):
    """Message: open a watch unless one is open."""


class StopWatch(NamedTuple):
    """Message: cancel the open watch, if there is one."""


class FetchList(NamedTuple):
    """Message: fetch the whole list once."""


class ChangeAddress(NamedTuple):
    """Message: call discovery at a new address from now on."""

    address: tuple[str, int]


Message: TypeAlias = StartWatch | StopWatch | FetchList | ChangeAddress


class DiscoveryActor:
    """Calls discovery on the router's request, and reports endpoint lists and failures to the router."""

    def __init__(
        self,
        router: Router,
        parser: EndpointListParser,
        address: tuple[str, int],
        supervisor: TaskSupervisor,
        lists_pushed: bool = False,
    ) -> None:
        self.router = router
        self.parser = parser
        self.address = address
        self.supervisor = supervisor
        # Whether discovery pushes lists. If so, the router requests none, and this actor keeps a watch open by itself.
        self.lists_pushed = lists_pushed
        self.clock = router.clock
        self.counters = router.counters
        self.deadlines = router.deadlines
        self.mailbox: Mailbox[Message] = Mailbox(MAX_MAILBOX_MESSAGES)
        self.version = 0  # version of the router's list; 0 makes the next call fetch the whole list
        self.watch_wanted = False  # True while the router wants to be notified of changes
        self._listed_ids: set[int] = set()  # ids of the servers in the router's list
        self._watch_task: asyncio.Task[None] | None = None
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        self._consecutive_failures = 0
        self._rng = Random()

    @property
    def endpoint_count(self) -> int:
        """Number of servers in the router's list, draining ones included."""
        return len(self._listed_ids)

    def apply_settings(self, zones: tuple[str, ...], server_kinds: tuple[str, ...], lists_pushed: bool = False) -> None:
        """Apply changed settings. The next call fetches the whole list if the index of a zone or kind has changed."""
        self.lists_pushed = lists_pushed
        self.watch_wanted = self.watch_wanted or lists_pushed
        if self.parser.set_names(zones, server_kinds):
            self.version = 0

    def server_id(self, name: str) -> int | None:
        """Return the id of a listed server, or None if no server of that name is listed."""
        assigned_id = self.parser.ids.lookup(name)
        return assigned_id if assigned_id in self._listed_ids else None

    def load_cached_list(self, raw: object) -> None:
        """Report the endpoint list that is cached in the configuration. Raises EndpointListError."""
        received = self.parser.parse(raw, EndpointListKind.CACHED)
        self.version = received.event.version
        self._listed_ids = {endpoint.server for endpoint in received.event.endpoints}
        self.router.mailbox.force_put(received)

    def watch(self, active: bool) -> None:
        """Start or stop watching for changes."""
        self.watch_wanted = active
        self._put(StartWatch() if active else StopWatch())

    def fetch(self) -> None:
        """Fetch the whole list once."""
        self._put(FetchList())

    def set_address(self, address: tuple[str, int]) -> None:
        """Cancel all calls to discovery's old address and repeat them at once at the new one."""
        self.mailbox.force_put(ChangeAddress(address))

    def report_failure(self, reason: str) -> None:
        """Report a failed call to the router; if lists are pushed, retry the watch after a backoff."""
        self.counters.increment("discovery.failures")
        log.info("discovery-failed", reason=reason)
        self.router.mailbox.force_put(EndpointsReceived(EndpointList(EndpointListKind.FAILED, self.version), {}))
        if self.lists_pushed:
            self.deadlines.set(self.clock.now() + self._next_backoff(), self._retry_watch)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        if self.lists_pushed:
            self.watch(True)
        while True:
            for message in self.mailbox.take():
                self._handle(message)
            await self.mailbox.wait()

    def _put(self, message: Message) -> None:
        if not self.mailbox.put(message):
            self.report_failure(f"discovery mailbox is full: {MAX_MAILBOX_MESSAGES} messages")

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
        # An open watch is kept: it has its own idle timeout, and a new call would have to wait for the list again.
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
        """Cancel all calls to the old address and repeat them at the new one.

        Neither a list from a watch at the old address nor the end of that watch is reported after this. A pending fetch
        is repeated because its response may never arrive.
        """
        self.address = address
        self._stop_watch()
        pending_fetch_count = len(self._fetch_tasks)
        for task in self._fetch_tasks:
            task.cancel()
        self._fetch_tasks.clear()
        if self.watch_wanted:
            self._start_watch()
        for _ in range(pending_fetch_count):
            self._start_fetch()

    def _start_call(self, path: str, is_watch: bool) -> asyncio.Task[None]:
        self.counters.increment("discovery.watches" if is_watch else "discovery.fetches")
        call_coroutine = self._run_call(path, is_watch)
        return self.supervisor.start(call_coroutine, "discovery-call", lambda error: self.report_failure(repr(error)))

    async def _run_call(self, path: str, is_watch: bool) -> None:
        """Make one call. A poll reports one list or one failure; a watch any number of lists, and then one failure."""
        call = DiscoveryCall(self.clock, self.deadlines, self.address, path)
        response = WatchResponse(self.clock, self._apply_list) if is_watch else PollResponse(self._apply_list)
        try:
            await call.run(response)
        except DiscoveryCallError as error:
            self.report_failure(str(error))
        except (OSError, h11.RemoteProtocolError, EndpointListError) as error:
            self.report_failure(repr(error))

    def _next_backoff(self) -> float:
        """Return the pause (ms) before the next retry. Its mean doubles with each consecutive failure, to a limit."""
        doublings = min(self._consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        self._consecutive_failures += 1
        return WATCH_RETRY_BASE_MS * (1 << doublings) * self._rng.uniform(*BACKOFF_JITTER_RANGE)

    def _retry_watch(self) -> None:
        if self.lists_pushed and self.watch_wanted:
            self.watch(True)

    def _apply_list(self, payload: bytes) -> None:
        """Parse a list and report it to the router. Raises EndpointListError."""
        received = self.parser.parse(self._parse_json(payload))
        event = received.event
        if event.kind == EndpointListKind.DELTA and event.version < self.version:
            known_version = self.version
            self.version = 0  # discovery has restarted its version count: the next call fetches the whole list
            raise EndpointListError(
                f"delta of version {event.version} is older than the list of version {known_version}"
            )
        self.version = event.version
        self._update_listed_ids(event)
        self.parser.ids.retain(self._listed_ids)
        self._consecutive_failures = 0
        self.counters.increment("discovery.lists")
        self.router.mailbox.force_put(received)

    def _parse_json(self, payload: bytes) -> object:
        try:
            raw: object = json.loads(payload)
        except (ValueError, RecursionError) as error:
            self.counters.increment("discovery.bad_json")
            raise EndpointListError(f"invalid JSON: {error}") from None
        return raw

    def _update_listed_ids(self, event: EndpointList) -> None:
        removed = {endpoint.server for endpoint in event.endpoints if endpoint.state == ServerState.GONE}
        present = {endpoint.server for endpoint in event.endpoints} - removed
        is_delta = event.kind == EndpointListKind.DELTA
        self._listed_ids = (self._listed_ids | present) - removed if is_delta else present
