"""The damped recovery of a zone that was lost.

A zone stays closed the longer the more often it was lost lately. Then it is opened to a share of the keys that grows in
steps (a recovery ramp), the same keys at all routers, as its servers come back cold and fetch from the origin.
"""

from __future__ import annotations

import math

FIRST_HOLD_MS = 500.0  # ms for which a recovered zone stays closed; doubled for each further recent loss
MAX_HOLD_MS = 30000.0  # ms
MAX_HOLD_DOUBLINGS = 16
RECENT_LOSS_WINDOW_MS = 60000.0  # ms for which a loss counts as recent
RAMP_STEPS = 8
RAMP_STEP_TIME_MS = 250.0  # ms


class ZoneState:
    """The fleet's decision on one zone that has been lost at some time."""

    __slots__ = ("closed_until", "loss_times", "lost")

    def __init__(self) -> None:
        self.lost = False
        self.loss_times: list[float] = []  # ms; the recent ones
        self.closed_until = -math.inf  # ms; when the recovery ramp begins

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
        doublings = min(MAX_HOLD_DOUBLINGS, max(0, len(self.loss_times) - 1))
        self.closed_until = now + min(MAX_HOLD_MS, FIRST_HOLD_MS * (1 << doublings))
