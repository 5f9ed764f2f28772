"""Tracks when discovery last showed that the router's endpoint list is current, and demands another call in time.

No reload, failed call or change of the address restarts this clock. Lists and heartbeats of obsolete calls do not
either, as the discovery service behind them may not be told of changes any more.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ...core.clock import Clock
from ...core.deadlines import Deadline, Deadlines
from ...limits.list_age import LAST_CALL_AGE_MS
from ..late_timers import LATE_THRESHOLD_MS, is_handled_late


class ListProof:
    """The time of the last proof, and a timer for the age at which a call must have begun."""

    def __init__(self, clock: Clock, deadlines: Deadlines, on_call_due: Callable[[], None]) -> None:
        """Begin without a proof.

        on_call_due: called once after each proof, unless another one follows in time
        """
        self._clock = clock
        self._deadlines = deadlines
        self._on_call_due = on_call_due
        self._proved_at = -math.inf  # clock time
        self._timer: Deadline | None = None

    def age(self) -> float:
        """Return the time (ms) since the last proof; infinite without one."""
        return self._clock.now() - self._proved_at

    def renew(self) -> None:
        """Record that the list is current now."""
        self._proved_at = self._clock.now()
        if self._timer is None:
            self._schedule(self._proved_at + LAST_CALL_AGE_MS)

    def inherit(self, proved_at: float) -> None:
        """Take over the last proof (clock time) of another process of this router."""
        self._proved_at = max(self._proved_at, proved_at)

    @property
    def proved_at(self) -> float | None:
        """Clock time (ms) of the last proof; None without one."""
        return self._proved_at if math.isfinite(self._proved_at) else None

    def _schedule(self, due: float) -> None:
        self._timer = self._deadlines.set(due, lambda: self._check(due))

    def _check(self, due: float) -> None:
        self._timer = None
        if is_handled_late(self._clock, due):  # the process was paused: first read what has arrived
            self._schedule(self._clock.now() + 2 * LATE_THRESHOLD_MS)
        elif self._clock.now() < self._proved_at + LAST_CALL_AGE_MS:
            self._schedule(self._proved_at + LAST_CALL_AGE_MS)
        else:
            self._on_call_due()
