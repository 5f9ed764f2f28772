"""The only place that decides the next step of a request: its first attempt, and what follows an attempt or a wait.

A request goes to a cache server, and after a failure to another one. If caches do not fetch missing values themselves,
the router fetches them from the origin, once for each key: other requests for the key wait for that fetch. Writes that
go to the origin wait while it is full. A request that no server can answer in time, or that would exceed the capacity
of the origin, is rejected or fails.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from ..events import NEVER_EXECUTED, AttemptResult
from ..settings import Idempotency
from ..state.records import KeyState, RequestState, Server
from .admission import Admission
from .server_choice import ServerChoice
from .timers import TIMER_TOLERANCE_MS

# Number of servers that may fail a request before it is rejected or fails; more retries only add to an overload.
MAX_FAILED_SERVERS = 3
MAX_ORIGIN_WAITS = 2  # number of times that a write waits for a full origin
# Length of a write's first wait for a full origin, in typical fetch times; doubled for each further wait.
ORIGIN_WAIT_FETCH_TIMES = 2.0
ORIGIN_WAIT_JITTER = (0.5, 1.5)  # range of the random factor on a wait, so that retries are not in step
RESPONSE_MARGIN_MS = 5.0  # a waiting request is answered this long before its client's deadline
# If a fetch is more probable than this, an error is attributed to the origin and not retried.
MAX_FETCH_PROBABILITY = 0.5


class SendToCache(NamedTuple):
    """Next step: an attempt at a cache server."""

    server: Server
    key_state: KeyState | None


class SendToOrigin(NamedTuple):
    """Next step: an attempt at the origin, for a request that caches do not serve."""

    origin: Server


class FetchFromOrigin(NamedTuple):
    """Next step: a fetch from the origin of a value that the caches do not have."""

    origin: Server
    key_state: KeyState | None


class WaitForFetch(NamedTuple):
    """Next step: wait for another request's fetch of the same key."""

    key_state: KeyState
    until: float  # clock time in ms


class WaitForOrigin(NamedTuple):
    """Next step: wait before a retry at a full origin."""

    until: float  # clock time in ms


class RejectOrFail(NamedTuple):
    """Next step: answer the client that the request is rejected or failed."""


NextStep: TypeAlias = SendToCache | SendToOrigin | FetchFromOrigin | WaitForFetch | WaitForOrigin | RejectOrFail
REJECT_OR_FAIL = RejectOrFail()


class Routing:
    """Decides the next step of a request; the caller carries it out."""

    def __init__(self, choice: ServerChoice, admission: Admission) -> None:
        self.choice = choice
        self.admission = admission
        self.affinity = choice.affinity
        self.fleet = choice.fleet
        self.load = choice.load

    def first_step(self, now: float, state: RequestState) -> NextStep:
        """Decide the first step of a request that has just arrived."""
        if self.admission.check_arrival(now, state) is not None:
            return REJECT_OR_FAIL
        return self._next_attempt(now, state)

    def step_after_attempt(self, now: float, state: RequestState, server: Server, result: AttemptResult) -> NextStep:
        """Decide the step after an attempt that did not answer the client."""
        self._record_failure(state, server, result)
        if server is self.fleet.origin:
            if result in NEVER_EXECUTED and self._bypasses_caches(state):
                return self._wait_for_origin(now, state)
            return REJECT_OR_FAIL  # no unlimited retries at the origin
        if result == AttemptResult.ERROR and self.load.fetch_probability(state) > MAX_FETCH_PROBABILITY:
            return REJECT_OR_FAIL  # an error of the origin, which is not retried either
        return self._next_attempt(now, state)

    def step_after_wait(self, now: float, state: RequestState) -> NextStep:
        """Decide the step of a request whose wait has ended."""
        if now >= state.deadline - RESPONSE_MARGIN_MS - TIMER_TOLERANCE_MS:
            return REJECT_OR_FAIL
        return self._next_attempt(now, state)

    def _next_attempt(self, now: float, state: RequestState) -> NextStep:
        if self._bypasses_caches(state):
            return SendToOrigin(self.fleet.origin) if self.fleet.origin else REJECT_OR_FAIL
        key = state.request.key
        key_state = self.affinity.keys.get_or_add(now, key) if key else None
        if state.missed_servers:
            return self._fetch(now, state, key_state)
        server = self.choice.choose(now, state, key_state)
        if server is None:
            return REJECT_OR_FAIL if state.failed_servers else self._fetch(now, state, key_state)
        if self.admission.check_server(now, state, server) is not None:
            return REJECT_OR_FAIL
        if len(state.failed_servers) >= MAX_FAILED_SERVERS:
            return REJECT_OR_FAIL
        if self.fleet.read_through and self.admission.check_fetch(now, state) is not None:
            return REJECT_OR_FAIL
        return SendToCache(server, key_state)

    def _fetch(self, now: float, state: RequestState, key_state: KeyState | None) -> NextStep:
        origin = self.fleet.origin
        if self.fleet.settings.mode != "aside" or origin is None:
            return REJECT_OR_FAIL
        if key_state is not None and state.missed_servers and self._is_fetched_by_another(key_state, state):
            return WaitForFetch(key_state, state.deadline - RESPONSE_MARGIN_MS)
        if self.admission.check_fetch(now, state) is not None:
            return REJECT_OR_FAIL
        return FetchFromOrigin(origin, key_state)

    def _wait_for_origin(self, now: float, state: RequestState) -> NextStep:
        """Wait with exponential backoff if there is time for another attempt, else reject or fail the request."""
        fetch_time = self.load.origin_throttle.typical_fetch_time
        jitter = self.fleet.rng.uniform(*ORIGIN_WAIT_JITTER)
        wait = ORIGIN_WAIT_FETCH_TIMES * fetch_time * (1 << state.origin_waits) * jitter
        state.origin_waits += 1
        if state.origin_waits > MAX_ORIGIN_WAITS or now + wait + fetch_time > state.deadline:
            return REJECT_OR_FAIL
        return WaitForOrigin(now + wait)

    def _record_failure(self, state: RequestState, server: Server, result: AttemptResult) -> None:
        """Record which servers are excluded from the request's next attempts."""
        number = server.endpoint.server
        if result == AttemptResult.MISS:
            state.missed_servers.append(number)
        elif not self._may_retry_same_server(state, server, result):
            state.failed_servers.append(number)
        state.last_failed_server = number

    @staticmethod
    def _may_retry_same_server(state: RequestState, server: Server, result: AttemptResult) -> bool:
        """Return whether to retry at the same server.

        A single broken connection or invalid answer is no reason to leave the server that has the key cached.
        """
        if result not in (AttemptResult.ERROR, AttemptResult.RESET):
            return False
        return not server.outliers.is_faulty and state.last_failed_server != server.endpoint.server

    def _bypasses_caches(self, state: RequestState) -> bool:
        """Return whether a request goes only to the origin: caches that do not write through serve only reads."""
        if self.fleet.settings.mode != "aside":
            return False
        return state.request.is_write or state.request_class.idempotency != Idempotency.IDEMPOTENT

    @staticmethod
    def _is_fetched_by_another(key_state: KeyState, state: RequestState) -> bool:
        return key_state.fetching_request not in (0, state.request.id)
