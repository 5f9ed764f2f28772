"""The pressure on the origin, estimated from the responses that one router receives. Times are ms."""

from __future__ import annotations

import math

from ..events import AttemptResult

FETCH_COUNT_HALF_LIFE_MS = 7000.0
# Addition to the failure pressure for each failed or slow fetch.
FAILURE_PRESSURE_STEP = 0.25
# Factor on the failure pressure for each fetch served in time.
FAILURE_PRESSURE_RECOVERY_FACTOR = 0.8
# Multiple of the typical fetch time from which a fetch does not count as served.
SLOW_FETCH_FACTOR = 4.0
# Requested fetches per served fetch up to which there is no pressure on the origin.
MAX_REQUEST_RATIO = 1.5
# Weight of a fetch in the typical fetch time; the weight of the first fetches is greater.
TYPICAL_GAIN = 0.1
# Factor on the weight of a fetch slower than typical: fast fetches show what the origin can do.
SLOW_FETCH_GAIN_FACTOR = 0.2


class OriginThrottle:
    """The pressure on the origin, from decaying counts of the fetches requested and of those served in time."""

    def __init__(self, initial_fetch_time: float) -> None:
        """Set an initial estimate of the fetch time (ms), which the first successful fetch replaces."""
        self.typical_fetch_time = initial_fetch_time  # ms, while the origin is not overloaded
        self._success_count = 0
        self._requested = 0.0
        self._served = 0.0
        self._failure_pressure = 0.0
        self._updated_at = 0.0

    def _decay(self, now: float) -> None:
        factor = math.exp2((self._updated_at - now) / FETCH_COUNT_HALF_LIFE_MS)
        self._requested *= factor
        self._served *= factor
        self._failure_pressure *= factor * factor
        self._updated_at = now

    def pressure(self, now: float) -> float:
        """Return the current pressure: 0 while most fetches are served, near 1 when almost none are."""
        self._decay(now)
        return max(self._failure_pressure, (self._requested - MAX_REQUEST_RATIO * self._served) / (self._requested + 1))

    def on_rejection(self, now: float) -> None:
        """Record a fetch that this router rejected, so that the pressure lasts as long as the demand."""
        self._decay(now)
        self._requested += 1

    def on_outcome(self, now: float, result: AttemptResult, elapsed: float) -> None:
        """Record the outcome and the duration (ms) of a request that this router sent to the origin."""
        if result not in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            self.observe(now, result == AttemptResult.OK, elapsed)

    def observe(self, now: float, success: bool, elapsed: float, min_slow_time: float = 0.0) -> None:
        """Record a fetch; one that took less than min_slow_time (ms) never counts as slow."""
        self._decay(now)
        self._requested += 1
        if success:
            self._learn_fetch_time(elapsed)
        # An overload increases the latency before fetches fail.
        served = success and elapsed < max(min_slow_time, SLOW_FETCH_FACTOR * self.typical_fetch_time)
        self._served += served
        # With one fetch every other second the counts react too late; the failure pressure reacts at once.
        self._failure_pressure = (
            self._failure_pressure * FAILURE_PRESSURE_RECOVERY_FACTOR
            if served
            else min(1.0, self._failure_pressure + FAILURE_PRESSURE_STEP)
        )

    def _learn_fetch_time(self, elapsed: float) -> None:
        """Average the times (ms) of successful fetches; the first one replaces the initial estimate.

        An initial estimate far below the real fetch time would make a healthy origin look overloaded permanently, as
        fetches that count as slow are throttled and would hardly change the average.
        """
        self._success_count += 1
        gain = max(TYPICAL_GAIN, 1.0 / self._success_count)
        if elapsed > self.typical_fetch_time and self._success_count > 1:
            gain *= SLOW_FETCH_GAIN_FACTOR
        self.typical_fetch_time += (elapsed - self.typical_fetch_time) * gain
