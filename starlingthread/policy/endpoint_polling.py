"""Polling of the endpoint list, where discovery does not push it unasked."""

from __future__ import annotations

from ..actions import SetTimer, WatchEndpoints
from ..events import EndpointListKind
from ..state.fleet import Fleet
from .timers import POLL_ENDPOINTS

START_SHARE = 0.3  # of the poll interval, within which the first poll starts at random, so that routers differ
BACKOFF = 500.0  # ms; mean pause after a failed poll, doubled each time
MAX_DOUBLINGS = 1  # a rejected poll between two pauses is over within 6 s
BACKOFF_JITTER = (0.5, 1.5)  # range of the factor on a pause


class EndpointPolling:
    """Subscribes to the endpoint list, and does so again after a failure."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._failures = 0
        self._is_subscribed = not fleet.settings.must_poll

    def start(self, now: float) -> None:
        """Schedule the first poll."""
        settings = self.fleet.settings
        if settings.must_poll:
            self._poll_at(now + self.fleet.rng.uniform(0, settings.poll_interval * START_SHARE))

    def on_list(self, now: float, kind: EndpointListKind) -> None:
        """Note that a list has come, or schedule the next poll after a failure."""
        if kind == EndpointListKind.FAILED:
            self._on_failure(now)
        elif kind != EndpointListKind.CACHED:
            self._is_subscribed = True
            self._failures = 0

    def _on_failure(self, now: float) -> None:
        self._is_subscribed = not self.fleet.settings.must_poll
        if self._is_subscribed:
            return
        pause = BACKOFF * float(1 << min(self._failures, MAX_DOUBLINGS))
        self._poll_at(now + pause * self.fleet.rng.uniform(*BACKOFF_JITTER))
        self._failures += 1

    def _poll_at(self, at: float) -> None:
        self.fleet.actions.append(SetTimer(at, POLL_ENDPOINTS))

    def on_timer(self) -> None:
        """Poll, unless the list has come meanwhile."""
        if not self._is_subscribed:
            self.fleet.actions.append(WatchEndpoints(True))
