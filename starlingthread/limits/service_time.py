"""The service time of a class, learned from response times, and how far a client's cost hint is to be believed.

A hint is in a unit of its own: work on some reference machine, or a count of anything else. So it is never compared to
a time. What is learned is the time of a typical request, and by how much the time grows when the hint doubles: the
slope of log(time) over log(hint), 0 for hints without information and 1 for exact ones, whatever their unit. Queueing
and chance flatten that slope and so reduce the effect of a rough hint, as is desired.

The first guess of the typical time has no weight of its own: the first response replaces it, and the next ones are
averaged until each has no more weight than in the long run (docs/incidents/first-guess-of-service-time.md).
Least squares with decaying sums: Ljung and Söderström, "Theory and Practice of Recursive Identification" (1983).
"""

from __future__ import annotations

import math

MIN_GAIN = 0.005  # weight of one response in the sums; greater while there are few
MIN_HINTED_RESPONSES = 50  # before hints are used
MIN_VARIANCE = 1e-6  # of the logarithms of hints, before hints are used
TYPICAL_GAIN = 0.1  # weight of a response in the typical time; greater while there are few
SLOW_RESPONSE_GAIN_FACTOR = 0.3  # factor on the weight of a response slower than typical, as queueing is not service
MIN_RESPONSES = 10  # before the typical time tells that a request would be late
MAX_DEVIATIONS = 2.5  # standard deviations of the logarithms of hints at which a hint is clamped
MIN_HINT = 1e-9  # hints outside of these bounds, and NaN, count as none
MAX_HINT = 1e12
MIN_RESPONSE_TIME_MS = 0.1  # ms


class ServiceTime:
    """The time of a typical request of one class in ms, and the statistics of its hints."""

    __slots__ = (
        "covariance",
        "hinted_count",
        "mean_log_hint",
        "mean_log_time",
        "response_count",
        "typical_time",
        "variance",
    )

    def __init__(self, initial_estimate: float) -> None:
        """Begin with a first guess (ms), used until there is a response."""
        self.typical_time = initial_estimate  # ms
        self.response_count = 0
        self.hinted_count = 0  # responses to requests with a hint
        self.mean_log_hint = 0.0
        self.mean_log_time = 0.0
        self.variance = 0.0  # of the logarithms of hints
        self.covariance = 0.0  # of the logarithms of hints and times

    @property
    def is_learned(self) -> bool:
        """Whether the typical time comes from a response, not from the first guess."""
        return self.response_count > 0

    @property
    def has_converged(self) -> bool:
        """Whether so many responses have been seen that a single one says little."""
        return self.response_count >= MIN_RESPONSES

    def expected_time(self, hint: float) -> float:
        """Return the expected time in ms of a request with this hint; 0 means none."""
        return self.typical_time * self._hint_factor(hint)

    def observe(self, hint: float, elapsed: float) -> None:
        """Record the hint of a request and the time in ms of its response."""
        elapsed = max(elapsed, MIN_RESPONSE_TIME_MS)
        relative_elapsed = elapsed / self._hint_factor(hint)
        self.response_count += 1
        gain = max(TYPICAL_GAIN, 1.0 / self.response_count)
        if relative_elapsed > self.typical_time and self.response_count > 1:
            gain *= SLOW_RESPONSE_GAIN_FACTOR
        self.typical_time += (relative_elapsed - self.typical_time) * gain
        if _is_usable(hint):
            self._update_statistics(math.log(hint), math.log(elapsed))

    def _update_statistics(self, log_hint: float, log_time: float) -> None:
        self.hinted_count += 1
        gain = max(MIN_GAIN, 1.0 / self.hinted_count)
        hint_deviation = log_hint - self.mean_log_hint
        time_deviation = log_time - self.mean_log_time
        self.mean_log_hint += gain * hint_deviation
        self.mean_log_time += gain * time_deviation
        self.variance += gain * ((1 - gain) * hint_deviation * hint_deviation - self.variance)
        self.covariance += gain * ((1 - gain) * hint_deviation * time_deviation - self.covariance)

    @property
    def slope(self) -> float:
        """The growth of log(time) with log(hint): 0 for hints without information, 1 for exact ones."""
        if self.hinted_count < MIN_HINTED_RESPONSES or self.variance < MIN_VARIANCE:
            return 0.0
        return min(1.0, max(0.0, self.covariance / self.variance))

    def _hint_factor(self, hint: float) -> float:
        """Return the expected time of a request with this hint in terms of the typical time."""
        slope = self.slope
        if slope <= 0 or not _is_usable(hint):
            return 1.0
        bound = MAX_DEVIATIONS * math.sqrt(self.variance)
        return math.exp(slope * min(bound, max(-bound, math.log(hint) - self.mean_log_hint)))


def _is_usable(hint: float) -> bool:
    return MIN_HINT <= hint <= MAX_HINT
