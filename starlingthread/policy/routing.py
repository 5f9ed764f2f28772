"""The next step of a request: the one place that decides where it goes first, and what follows an attempt or a wait.

A request goes to a cache server, and after a failure to another one. What a cache that does not fetch by itself lacks
is fetched from the origin, once for each key: other requests wait for that fetch. Writes that go to the origin wait
while it is full. What no server can answer in time, or the origin can't bear, is given up.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from ..events import NEVER_EXECUTED, AttemptResult
from ..settings import Idempotency
from ..state.records import KeyState, RequestState, Server
from .admission import Admission
from .server_choice import ServerChoice
from .timers import TIMER_TOLERANCE

MAX_FAILED_SERVERS = 3  # servers that may fail a request before it is given up; more retries only add to a crowd
MAX_ORIGIN_WAITS = 2  # times that a write waits for a full origin before it is given up
ORIGIN_WAIT_FETCHES = 2.0  # typical fetch times that the first such wait takes; doubled each time
ORIGIN_WAIT_JITTER = (0.5, 1.5)  # range of the factor on such a wait, so that retries are not in step
RESPONSE_MARGIN = 5.0  # ms; a waiting request is answered this long before its client gives up
MAX_FETCH_PROBABILITY = 0.5  # above this an error is taken for the origin's and not retried


class SendToCache(NamedTuple):
    """Next step: an attempt at a cache server."""

    server: Server
    key_state: KeyState | None


class SendToOrigin(NamedTuple):
    """Next step: an attempt at the origin of what caches do not serve."""

    origin: Server


class FetchFromOrigin(NamedTuple):
    """Next step: a fetch from the origin of what the caches lack."""

    origin: Server
    key_state: KeyState | None


class WaitForFetch(NamedTuple):
    """Next step: wait for another request's fetch of the same key."""

    key_state: KeyState
    until: float  # clock time in ms


class WaitForOrigin(NamedTuple):
    """Next step: wait before a retry at a full origin."""

    until: float  # clock time in ms


class GiveUp(NamedTuple):
    """Next step: answer the client that the request is not served."""


NextStep: TypeAlias = SendToCache | SendToOrigin | FetchFromOrigin | WaitForFetch | WaitForOrigin | GiveUp
GIVE_UP = GiveUp()


class Routing:
    """Decides the next step of a request; the caller takes it."""

    def __init__(self, choice: ServerChoice, admission: Admission) -> None:
        self.choice = choice
        self.admission = admission
        self.affinity = choice.affinity
        self.fleet = choice.fleet
        self.load = choice.load

    def first_step(self, now: float, state: RequestState) -> NextStep:
        """Decide the step of a request that has come in now."""
        if self.admission.check_arrival(now, state) is not None:
            return GIVE_UP
        return self._next_attempt(now, state)

    def step_after_attempt(self, now: float, state: RequestState, server: Server, result: AttemptResult) -> NextStep:
        """Decide the step after an attempt that did not answer the client."""
        self._note_failure(state, server, result)
        if server is self.fleet.origin:
            if result in NEVER_EXECUTED and self._bypasses_caches(state):
                return self._wait_for_origin(now, state)
            return GIVE_UP  # no unlimited retries at the origin
        if result == AttemptResult.ERROR and self.load.fetch_probability(state) > MAX_FETCH_PROBABILITY:
            return GIVE_UP  # the origin's error, likewise
        return self._next_attempt(now, state)

    def step_after_wait(self, now: float, state: RequestState) -> NextStep:
        """Decide the step of a request that has waited."""
        if now >= state.deadline - RESPONSE_MARGIN - TIMER_TOLERANCE:
            return GIVE_UP
        return self._next_attempt(now, state)

    def _next_attempt(self, now: float, state: RequestState) -> NextStep:
        if self._bypasses_caches(state):
            return SendToOrigin(self.fleet.origin) if self.fleet.origin else GIVE_UP
        key = state.request.key
        key_state = self.affinity.keys.get_or_add(now, key) if key else None
        if state.missed_servers:
            return self._fetch(now, state, key_state)
        server = self.choice.choose(now, state, key_state)
        if server is None:
            return GIVE_UP if state.failed_servers else self._fetch(now, state, key_state)
        if self.admission.check_server(now, state, server) is not None:
            return GIVE_UP
        if len(state.failed_servers) >= MAX_FAILED_SERVERS:
            return GIVE_UP
        if self.fleet.read_through and self.admission.check_fetch(now, state) is not None:
            return GIVE_UP
        return SendToCache(server, key_state)

    def _fetch(self, now: float, state: RequestState, key_state: KeyState | None) -> NextStep:
        origin = self.fleet.origin
        if self.fleet.settings.mode != "aside" or origin is None:
            return GIVE_UP
        if key_state is not None and state.missed_servers and self._is_fetched_by_another(key_state, state):
            return WaitForFetch(key_state, state.deadline - RESPONSE_MARGIN)
        if self.admission.check_fetch(now, state) is not None:
            return GIVE_UP
        return FetchFromOrigin(origin, key_state)

    def _wait_for_origin(self, now: float, state: RequestState) -> NextStep:
        """Wait with exponential backoff while there is time for another attempt."""
        fetch_time = self.load.origin_throttle.typical_fetch_time
        jitter = self.fleet.rng.uniform(*ORIGIN_WAIT_JITTER)
        wait = ORIGIN_WAIT_FETCHES * fetch_time * (1 << state.origin_waits) * jitter
        state.origin_waits += 1
        if state.origin_waits > MAX_ORIGIN_WAITS or now + wait + fetch_time > state.deadline:
            return GIVE_UP
        return WaitForOrigin(now + wait)

    def _note_failure(self, state: RequestState, server: Server, result: AttemptResult) -> None:
        """Note which servers are out of question for the request's next attempt."""
        number = server.endpoint.server
        if result == AttemptResult.MISS:
            state.missed_servers.append(number)
        elif not self._may_retry_same_server(state, server, result):
            state.failed_servers.append(number)
        state.last_failed_server = number

    @staticmethod
    def _may_retry_same_server(state: RequestState, server: Server, result: AttemptResult) -> bool:
        """Return whether to try a server once more: one broken connection or invalid answer is no reason to leave
        the server that has the key cached.
        """
        if result not in (AttemptResult.ERROR, AttemptResult.RESET):
            return False
        return not server.outliers.is_faulty and state.last_failed_server != server.endpoint.server

    def _bypasses_caches(self, state: RequestState) -> bool:
        """Return whether a request goes to the origin only: caches that do not write through serve reads alone."""
        if self.fleet.settings.mode != "aside":
            return False
        return state.request.is_write or state.request_class.idempotency != Idempotency.IDEMPOTENT

    @staticmethod
    def _is_fetched_by_another(key_state: KeyState, state: RequestState) -> bool:
        return key_state.fetching_request not in (0, state.request.id)
