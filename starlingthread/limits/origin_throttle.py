"""The pressure on the origin, as far as the responses that one router gets show it. Times are ms."""

from __future__ import annotations

import math

from ..events import AttemptResult

FETCH_COUNT_HALF_LIFE_MS = 7000.0  # ms; of the counts of fetches
FAILURE_PRESSURE_STEP = 0.25  # added to the alarm by each bad fetch
FAILURE_PRESSURE_RECOVERY_FACTOR = 0.8  # factor on the alarm for each good fetch
SLOW_FETCH_FACTOR = 4.0  # times the typical fetch time from which a fetch does not count as served
MAX_REQUEST_RATIO = 1.5  # requested fetches per served one that put no pressure on the origin
TYPICAL_GAIN = 0.1  # weight of a fetch in the typical fetch time; greater while there are few
SLOW_FETCH_GAIN_FACTOR = (
    0.2  # factor on the weight of a fetch slower than typical: fast ones show what the origin can do
)


class OriginThrottle:
    """The pressure on the origin: the fetches requested against those served in time, with decaying counts."""

    def __init__(self, initial_fetch_time: float) -> None:
        """Begin with a first guess of a fetch's time (ms), used until a fetch has succeeded."""
        self.typical_fetch_time = initial_fetch_time  # ms; while the origin is not overloaded
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
        """Return the present pressure: 0 while most fetches are served, near 1 when next to none is."""
        self._decay(now)
        return max(self._failure_pressure, (self._requested - MAX_REQUEST_RATIO * self._served) / (self._requested + 1))

    def on_rejection(self, now: float) -> None:
        """Record a fetch that this router rejected itself, so that the pressure lasts as long as the demand."""
        self._decay(now)
        self._requested += 1

    def on_outcome(self, now: float, result: AttemptResult, elapsed: float) -> None:
        """Record the outcome of a request that this router sent to the origin, and the ms that it took."""
        if result not in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            self.observe(now, result == AttemptResult.OK, elapsed)

    def observe(self, now: float, success: bool, elapsed: float, min_slow_time: float = 0.0) -> None:
        """Record a fetch; one that took less than min_slow_time ms never counts as slow."""
        self._decay(now)
        self._requested += 1
        if success:
            self._learn_fetch_time(elapsed)
        # An overload shows in the latency before fetches fail.
        served = success and elapsed < max(min_slow_time, SLOW_FETCH_FACTOR * self.typical_fetch_time)
        self._served += served
        # The counts react too late in a router that sends a fetch every other second; the alarm does not.
        self._failure_pressure = (
            self._failure_pressure * FAILURE_PRESSURE_RECOVERY_FACTOR
            if served
            else min(1.0, self._failure_pressure + FAILURE_PRESSURE_STEP)
        )

    def _learn_fetch_time(self, elapsed: float) -> None:
        """Average the times (ms) of successful fetches; the first one replaces the guess.

        A guess far below the time that a fetch takes would make a healthy origin look overloaded for good, as fetches
        that count as slow are throttled and so hardly teach anything.
        """
        self._success_count += 1
        gain = max(TYPICAL_GAIN, 1.0 / self._success_count)
        if elapsed > self.typical_fetch_time and self._success_count > 1:
            gain *= SLOW_FETCH_GAIN_FACTOR
        self.typical_fetch_time += (elapsed - self.typical_fetch_time) * gain
