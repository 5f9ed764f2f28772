"""The discovery actor: fetches or watches endpoint lists on the router's request, and reports the results to it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple, TypeAlias, assert_never

import h11

from ...core.mailbox import Mailbox
from ...core.messages import EndpointsReceived
from ...core.router import Router
from ...core.task_supervisor import TaskSupervisor
from ...events import DiscoveryFailure, EndpointList, EndpointListKind
from ...handover.endpoint_exchange import EndpointSnapshot
from ...limits.list_age import LAST_CALL_AGE_MS, MAX_LIST_AGE_MS
from ...logs import log
from .call import DiscoveryCall, PollResponse, WatchResponse
from .endpoint_list import EndpointListParser
from .errors import DiscoveryCallError, DiscoveryTimeoutError, EndpointListError
from .known_list import KnownList
from .list_proof import ListProof
from .open_calls import CallKind, OpenCall, OpenCalls

LIST_PATH = "/registry/instances"
MAX_MAILBOX_MESSAGES = 100
# Mean pause before the first retry of a watch on pushed lists. It is short because changes take effect at the discovery
# agent whether or not a watch is open, and the grace period of a drain may be only about 100 ms.
WATCH_RETRY_BASE_MS = 20.0
MAX_BACKOFF_DOUBLINGS = 4
# A call that has waited for less is not overtaken by another one.
MIN_WAIT_BEFORE_EXTRA_CALL_MS = 1000.0
UNKNOWN_FAILURE = DiscoveryFailure()
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
        self.watch_wanted = False  # True while the router wants to be notified of changes
        self._are_calls_obsolete = False  # whether an index has changed since the open calls have started
        self.on_list: Callable[[], None] = lambda: None  # called after each list from discovery
        self._known = KnownList(parser, self.counters)
        self._calls = OpenCalls()
        self._proof = ListProof(self.clock, self.deadlines, self._on_call_due)
        self._consecutive_failures = 0
        self._rng = Random()

    @property
    def version(self) -> int:
        """Version of the router's list; 0: none."""
        return self._known.version

    @property
    def endpoint_count(self) -> int:
        """Number of servers in the router's list, draining ones included."""
        return len(self._known)

    def apply_settings(self, zones: tuple[str, ...], server_kinds: tuple[str, ...], lists_pushed: bool = False) -> None:
        """Apply changed settings. The whole list is fetched again if the index of a zone or kind has changed."""
        self.lists_pushed = lists_pushed
        self.watch_wanted = self.watch_wanted or lists_pushed
        if self._known.set_names(zones, server_kinds):
            self._are_calls_obsolete = True

    def server_id(self, name: str) -> int | None:
        """Return the id of a listed server, or None if no server of that name is listed."""
        return self._known.server_id(name)

    def load_cached_list(self, raw: object) -> None:
        """Report the endpoint list that is cached in the configuration. Raises EndpointListError."""
        self.router.mailbox.force_put(self._known.load_cached(raw))

    def snapshot(self) -> EndpointSnapshot | None:
        """Return the router's list for another process of this router; None if it has none."""
        if not self._known:
            return None
        return EndpointSnapshot(self.version, self._proof.proved_at, self._known.entries())

    def inherit(self, snapshot: EndpointSnapshot) -> None:
        """Use the list of another process of this router, unless discovery has sent one to this process."""
        if self._known.is_from_discovery:
            return
        raw = {"index": snapshot.version, "snapshot": True, "endpoints": snapshot.entries}
        try:
            self.load_cached_list(raw)
        except EndpointListError as error:
            log.warning("handover-endpoints-invalid", reason=str(error))
            return
        if snapshot.proved_at is not None:
            self._proof.inherit(snapshot.proved_at)

    def watch(self, active: bool) -> None:
        """Start or stop watching for changes."""
        self.watch_wanted = active
        self._put(StartWatch() if active else StopWatch())

    def fetch(self) -> None:
        """Fetch the whole list once."""
        self._put(FetchList())

    def set_address(self, address: tuple[str, int]) -> None:
        """Call discovery at this address from now on, at once if it or the settings of lists have changed.

        Calls to the old address go on until the new one has sent a list.
        """
        self.mailbox.force_put(ChangeAddress(address))

    def report_failure(self, reason: str, failure: DiscoveryFailure = UNKNOWN_FAILURE) -> None:
        """Report a failed call to the router; if lists are pushed, retry the watch after a backoff."""
        self._record_failure(reason)
        self._report_no_watch(failure)
        if self.lists_pushed:
            self.deadlines.set(self.clock.now() + self._next_backoff(), self._retry_watch)

    def _record_failure(self, reason: str) -> None:
        self.counters.increment("discovery.failures")
        log.info("discovery-failed", reason=reason)

    def _report_no_watch(self, failure: DiscoveryFailure) -> None:
        event = EndpointList(EndpointListKind.FAILED, self.version, failure=failure)
        self.router.mailbox.force_put(EndpointsReceived(event, {}))

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
                self._calls.cancel(CallKind.WATCH)
            case FetchList():
                self._start_call(CallKind.FETCH)
            case ChangeAddress(address):
                self._change_address(address)
            case _:
                assert_never(message)

    def _start_watch(self) -> None:
        # An open watch is kept: it has its own idle timeout, and a new call would have to wait for the list again.
        if not self._calls.current(CallKind.WATCH):
            self._start_call(CallKind.WATCH)

    def _change_address(self, address: tuple[str, int]) -> None:
        """Repeat the calls at a new address, or for new settings of lists.

        Without such a change open calls are kept. Their answers are as good as those of new ones, which would have to
        wait anew.
        """
        if address != self.address or self._are_calls_obsolete:
            self.address = address
            self._are_calls_obsolete = False
            pending_fetch_count = len(self._calls.current(CallKind.FETCH))
            self._calls.begin_epoch()
            for _ in range(pending_fetch_count):
                self._start_call(CallKind.FETCH)
        if self.watch_wanted:
            self._start_watch()

    def _start_call(self, kind: CallKind) -> None:
        if kind is CallKind.WATCH:
            self.counters.increment("discovery.watches")
            call = self._calls.add(kind, self.clock.now(), self._known.needs_whole_list)
            path = f"{LIST_PATH}?watch=1&after={self._known.version_to_ask_after}"
        else:
            self.counters.increment("discovery.fetches")
            call = self._calls.add(kind, self.clock.now(), True)
            path = LIST_PATH
        call.task = self.supervisor.start(
            self._run_call(call, self.address, path),
            "discovery-call",
            lambda error: self._on_call_failed(call, repr(error)),
        )

    async def _run_call(self, call: OpenCall, address: tuple[str, int], path: str) -> None:
        """Make one call. A fetch reports one list or one failure; a watch any number of lists, and then one failure."""
        request = DiscoveryCall(self.clock, self.deadlines, address, path)
        response: PollResponse | WatchResponse
        if call.kind is CallKind.WATCH:
            response = WatchResponse(
                self.clock, lambda payload: self._on_list(call, payload), lambda: self._on_answer(call)
            )
        else:
            response = PollResponse(lambda payload: self._on_list(call, payload))
        try:
            await request.run(response)
        except DiscoveryTimeoutError as error:
            self._on_call_failed(call, str(error), has_timed_out=True)
        except DiscoveryCallError as error:
            self._on_call_failed(call, str(error))
        except (OSError, h11.RemoteProtocolError, EndpointListError) as error:
            self._on_call_failed(call, repr(error))
        finally:
            self._calls.remove(call)

    def _on_call_failed(self, call: OpenCall, reason: str, has_timed_out: bool = False) -> None:
        """Report a failure, unless the call is obsolete or another one is open in its place."""
        self._calls.remove(call)
        if not self._calls.is_current(call):
            log.info("discovery-call-ended", reason=reason)
        elif not self._calls.current(call.kind):
            self.report_failure(reason, self._failure(call, has_timed_out))
        else:
            self._record_failure(reason)

    def _failure(self, call: OpenCall, has_timed_out: bool) -> DiscoveryFailure:
        is_held = not call.has_answered and not has_timed_out
        held_for = self.clock.now() - call.started_at if is_held else 0.0
        return DiscoveryFailure(self._proof.age(), held_for, is_silence=call.has_answered and has_timed_out)

    def _on_call_due(self) -> None:
        """Start another watch beside one that is kept waiting, so that its answer can still arrive in time."""
        waiting = self._calls.current(CallKind.WATCH)
        if not waiting or not self.watch_wanted:
            return  # the next call follows a pause, which does not last longer either
        due = waiting[-1].started_at + MIN_WAIT_BEFORE_EXTRA_CALL_MS
        if self.clock.now() >= due:
            self._start_call(CallKind.WATCH)
        elif self._proof.age() < MAX_LIST_AGE_MS:
            self.deadlines.set(due, self._check_call_due)

    def _check_call_due(self) -> None:
        if LAST_CALL_AGE_MS <= self._proof.age() < MAX_LIST_AGE_MS:
            self._on_call_due()

    def _on_list(self, call: OpenCall, payload: bytes) -> None:
        """Parse a list and report it to the router. Raises EndpointListError."""
        received = self._known.apply(payload)
        if call.wants_whole_list and not call.has_answered:
            self._known.needs_whole_list = False
        self._consecutive_failures = 0
        self.router.mailbox.force_put(received)
        self._on_answer(call)
        self.on_list()
        if not self._calls.is_current(call) and not self._calls.current(CallKind.WATCH):
            # The list has come from an obsolete call, so another call is still needed.
            self._report_no_watch(DiscoveryFailure(self._proof.age()))

    def _on_answer(self, call: OpenCall) -> None:
        """Record that the list is as current as a call can tell."""
        call.has_answered = True
        if self._calls.is_current(call):
            self._proof.renew()
        self._calls.cancel_superseded_by(call)

    def _next_backoff(self) -> float:
        """Return the pause (ms) before the next retry. Its mean doubles with each consecutive failure, to a limit."""
        doublings = min(self._consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        self._consecutive_failures += 1
        return WATCH_RETRY_BASE_MS * (1 << doublings) * self._rng.uniform(*BACKOFF_JITTER_RANGE)

    def _retry_watch(self) -> None:
        if self.lists_pushed and self.watch_wanted:
            self.watch(True)
