"""The service time of a request class, learned from response times, and the weight given to a client's cost hint.

A hint is in an unknown unit, such as work on a reference machine or a count, so it is never compared to a time. The
model learns the time of a typical request and the slope of log(time) over log(hint), which is 0 for hints without
information and 1 for exact ones, whatever their unit. Queueing and noise flatten the slope and so reduce the effect of
an inexact hint, as desired.

The initial estimate of the typical time has no weight: the first response replaces it, and the next responses are
averaged until the weight of each has fallen to its long-term value (docs/incidents/first-guess-of-service-time.md).
The slope is a least-squares estimate with decaying sums (Ljung and Söderström, "Theory and Practice of Recursive
Identification", 1983).
"""

from __future__ import annotations

import math

# Weight of one response in the statistics of hints; the weight of the first responses is greater.
MIN_GAIN = 0.005
# Responses with a hint before hints are used.
MIN_HINTED_RESPONSES = 50
# Variance of the logarithms of hints from which hints are used.
MIN_VARIANCE = 1e-6
# Weight of a response in the typical time; the weight of the first responses is greater.
TYPICAL_GAIN = 0.1
# Factor on the weight of a response slower than typical, as queueing is not part of the service time.
SLOW_RESPONSE_GAIN_FACTOR = 0.3
# Responses from which the typical time is reliable enough to predict that a request would be late.
MIN_RESPONSES = 10
# Distance from the mean, in standard deviations of the logarithms of hints, to which a hint is clamped.
MAX_DEVIATIONS = 2.5
# Hints below MIN_HINT or above MAX_HINT, and NaN, count as no hint.
MIN_HINT = 1e-9
MAX_HINT = 1e12
MIN_RESPONSE_TIME_MS = 0.1


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
        """Set an initial estimate (ms), used until the first response."""
        self.typical_time = initial_estimate  # ms
        self.response_count = 0
        self.hinted_count = 0  # number of responses to requests with a hint
        self.mean_log_hint = 0.0
        self.mean_log_time = 0.0
        self.variance = 0.0  # variance of the logarithms of hints
        self.covariance = 0.0  # covariance of the logarithms of hints and times

    @property
    def is_learned(self) -> bool:
        """Whether the typical time comes from a response and not from the initial estimate."""
        return self.response_count > 0

    @property
    def has_converged(self) -> bool:
        """Whether there were enough responses for the typical time to be reliable."""
        return self.response_count >= MIN_RESPONSES

    def expected_time(self, hint: float) -> float:
        """Return the expected time (ms) of a request with a hint; a hint of 0 stands for none."""
        return self.typical_time * self._hint_factor(hint)

    def observe(self, hint: float, elapsed: float) -> None:
        """Record the hint of a request and its response time (ms)."""
        elapsed = max(elapsed, MIN_RESPONSE_TIME_MS)
        normalized_time = elapsed / self._hint_factor(hint)
        self.response_count += 1
        gain = max(TYPICAL_GAIN, 1.0 / self.response_count)
        if normalized_time > self.typical_time and self.response_count > 1:
            gain *= SLOW_RESPONSE_GAIN_FACTOR
        self.typical_time += (normalized_time - self.typical_time) * gain
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
        """The slope of log(time) over log(hint): 0 for hints without information, 1 for exact ones."""
        if self.hinted_count < MIN_HINTED_RESPONSES or self.variance < MIN_VARIANCE:
            return 0.0
        return min(1.0, max(0.0, self.covariance / self.variance))

    def _hint_factor(self, hint: float) -> float:
        """Return the ratio of the expected time of a request with a hint to the typical time."""
        slope = self.slope
        if slope <= 0 or not _is_usable(hint):
            return 1.0
        bound = MAX_DEVIATIONS * math.sqrt(self.variance)
        return math.exp(slope * min(bound, max(-bound, math.log(hint) - self.mean_log_hint)))


def _is_usable(hint: float) -> bool:
    return MIN_HINT <= hint <= MAX_HINT
