"""Polling of the endpoint list, where discovery does not push it without a subscription."""

from __future__ import annotations

from ..actions import SetTimer, WatchEndpoints
from ..events import EndpointListKind
from ..state.fleet import Fleet
from .timers import POLL_ENDPOINTS

# The first poll is at a random time within this share of the poll interval, so that routers do not poll in step.
FIRST_POLL_SHARE = 0.3
BACKOFF_MS = 500.0  # mean backoff after the first failed poll, doubled for each further failure
# With this limit, a backoff, a rejected poll and another backoff take at most 6 s in total.
MAX_BACKOFF_DOUBLINGS = 1
BACKOFF_JITTER = (0.5, 1.5)  # range of the random factor on a backoff


class EndpointPolling:
    """Subscribes to the endpoint list, and again after each failure."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._failures = 0
        self._is_subscribed = not fleet.settings.must_poll

    def start(self, now: float) -> None:
        """Schedule the first poll."""
        settings = self.fleet.settings
        if settings.must_poll:
            self._poll_at(now + self.fleet.rng.uniform(0, settings.poll_interval * FIRST_POLL_SHARE))

    def on_list(self, now: float, kind: EndpointListKind) -> None:
        """Record that an endpoint list has arrived, or schedule the next poll after a failure."""
        if kind == EndpointListKind.FAILED:
            self._on_failure(now)
        elif kind != EndpointListKind.CACHED:
            self._is_subscribed = True
            self._failures = 0

    def _on_failure(self, now: float) -> None:
        self._is_subscribed = not self.fleet.settings.must_poll
        if self._is_subscribed:
            return
        backoff = BACKOFF_MS * float(1 << min(self._failures, MAX_BACKOFF_DOUBLINGS))
        self._poll_at(now + backoff * self.fleet.rng.uniform(*BACKOFF_JITTER))
        self._failures += 1

    def _poll_at(self, at: float) -> None:
        self.fleet.actions.append(SetTimer(at, POLL_ENDPOINTS))

    def on_timer(self) -> None:
        """Poll, unless the endpoint list has arrived in the meantime."""
        if not self._is_subscribed:
            self.fleet.actions.append(WatchEndpoints(True))
