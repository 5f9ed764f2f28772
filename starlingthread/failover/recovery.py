"""Flap damping and gradual recovery of a zone that was lost.

A recovered zone stays closed for a delay that doubles with each further recent loss. A recovery ramp then opens it to a
share of the keys that grows in steps, because its servers come back with cold caches and fetch from the origin. All
routers open it to the same keys.
"""

from __future__ import annotations

import math

FIRST_REOPEN_DELAY_MS = 500.0
MAX_REOPEN_DELAY_MS = 30000.0
MAX_REOPEN_DELAY_DOUBLINGS = 16
RECENT_LOSS_WINDOW_MS = 60000.0
RAMP_STEPS = 8
RAMP_STEP_TIME_MS = 250.0


class ZoneState:
    """The plan's state of one zone that has been lost at least once. Times are ms."""

    __slots__ = ("closed_until", "loss_times", "lost")

    def __init__(self) -> None:
        self.lost = False
        self.loss_times: list[float] = []  # The losses within RECENT_LOSS_WINDOW_MS of the last change.
        self.closed_until = -math.inf  # The time at which the recovery ramp begins.

    def open_share(self, now: float) -> float:
        """Return the share of the keys that the zone may serve."""
        if self.lost or now < self.closed_until:
            return 0.0
        steps_done = math.floor(min(now - self.closed_until, RAMP_STEPS * RAMP_STEP_TIME_MS) / RAMP_STEP_TIME_MS)
        return min(1.0, (1 + steps_done) / RAMP_STEPS)

    def set_lost(self, now: float, lost: bool) -> None:
        """Mark the zone as lost, or as recovered."""
        self.lost = lost
        self.loss_times = [at for at in self.loss_times if now - at < RECENT_LOSS_WINDOW_MS]
        if lost:
            self.loss_times.append(now)
            return
        doublings = min(MAX_REOPEN_DELAY_DOUBLINGS, max(0, len(self.loss_times) - 1))
        self.closed_until = now + min(MAX_REOPEN_DELAY_MS, FIRST_REOPEN_DELAY_MS * (1 << doublings))
