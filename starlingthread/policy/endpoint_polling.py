"""Polling of the endpoint list, where discovery does not push it without a subscription."""

from __future__ import annotations

from ..actions import SetTimer, WatchEndpoints
from ..events import DiscoveryFailure, EndpointList, EndpointListKind
from ..limits.list_age import MAX_LIST_AGE_MS, limited_pause
from ..state.fleet import Fleet
from .timers import POLL_ENDPOINTS

# The first poll is at a random time within this share of the poll interval, so that routers do not poll in step.
FIRST_POLL_SHARE = 0.3
BACKOFF_MS = 500.0  # mean backoff after the first failed poll, doubled for each further failure
# With this limit, a backoff, a rejected poll and another backoff take at most 6 s in total.
MAX_BACKOFF_DOUBLINGS = 1
BACKOFF_JITTER = (0.5, 1.5)  # range of the random factor on a backoff
MAX_BACKOFF_MS = BACKOFF_MS * (1 << MAX_BACKOFF_DOUBLINGS) * BACKOFF_JITTER[1]
# Longest backoff after a silence, which has taken its part of the time that the list may grow old.
MAX_BACKOFF_AFTER_SILENCE_MS = 650.0


class EndpointPolling:
    """Subscribes to the endpoint list, and again after each failure."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._failures = 0
        self._has_fallen_silent = False  # since the last list
        self._saved_ms = 0.0  # time by which backoffs were shortened since the last list
        self._is_subscribed = not fleet.settings.must_poll

    def start(self, now: float) -> None:
        """Schedule the first poll."""
        settings = self.fleet.settings
        if settings.must_poll:
            self._poll_at(now + self.fleet.rng.uniform(0, settings.poll_interval * FIRST_POLL_SHARE))

    def on_list(self, now: float, event: EndpointList) -> None:
        """Record that an endpoint list has arrived, or schedule the next poll after a failure."""
        if event.kind == EndpointListKind.FAILED:
            self._on_failure(now, event.failure)
        elif event.kind != EndpointListKind.CACHED:
            self._is_subscribed = True
            self._has_fallen_silent = False
            self._saved_ms = 0.0
            self._failures = 0

    def _on_failure(self, now: float, failure: DiscoveryFailure) -> None:
        self._is_subscribed = not self.fleet.settings.must_poll
        if self._is_subscribed:
            return
        if failure.is_silence:
            self._has_fallen_silent = True
            self._saved_ms += BACKOFF_MS
            self._poll_at(now)
        else:
            self._poll_at(now + self._pause(failure))
        self._failures += 1

    def _pause(self, failure: DiscoveryFailure) -> float:
        """Return the time (ms) until the next poll; the time for which discovery kept the last one waiting counts."""
        backoff = BACKOFF_MS * float(1 << min(self._failures, MAX_BACKOFF_DOUBLINGS))
        backoff *= self.fleet.rng.uniform(*BACKOFF_JITTER)
        if failure.list_age >= MAX_LIST_AGE_MS:
            return max(0.0, self._lengthened(backoff) - failure.held_for)
        if failure.held_for >= BACKOFF_MS:
            return 0.0
        longest = MAX_BACKOFF_AFTER_SILENCE_MS if self._has_fallen_silent else MAX_BACKOFF_MS
        pause = limited_pause(min(backoff, longest), failure.list_age)
        self._saved_ms += backoff - pause
        return max(0.0, pause - failure.held_for)

    def _lengthened(self, backoff: float) -> float:
        """Return a backoff that makes up for shortened ones, so that an outage gets no more calls than without them."""
        added = min(self._saved_ms, MAX_BACKOFF_MS - backoff)
        self._saved_ms -= added
        return backoff + added

    def _poll_at(self, at: float) -> None:
        self.fleet.actions.append(SetTimer(at, POLL_ENDPOINTS))

    def on_timer(self) -> None:
        """Poll, unless the endpoint list has arrived in the meantime."""
        if not self._is_subscribed:
            self.fleet.actions.append(WatchEndpoints(True))
