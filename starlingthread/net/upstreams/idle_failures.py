"""Failure rates of reused connections by idle time. Pure: no I/O, and the time is a parameter."""

from __future__ import annotations

# Failure rates decay with time, so that idle times after which connections are no longer reused are tried again.
HALF_LIFE_MS = 10000.0
SAMPLE_WEIGHT = 0.1  # weight of one request in the moving average
# One bucket for new connections, and one for each number of bits of the idle time in ms.
BUCKET_COUNT = 18


class IdleFailureRates:
    """The share of requests that lost their connection, by how long the connection had been idle before.

    Servers, or middleboxes between, may drop idle connections without notice and long before the idle limit in the
    settings: the next request on such a connection is lost, and may have been executed.
    """

    def __init__(self) -> None:
        self._rates = [0.0] * BUCKET_COUNT
        self._updated_at = [0.0] * BUCKET_COUNT

    def _decay_bucket(self, now: float, idle: float | None) -> int:
        """Decay the rate in the bucket of an idle time (ms) to now (clock ms); return the bucket's index."""
        bucket = 0 if idle is None else min(BUCKET_COUNT - 1, 1 + int(idle).bit_length())
        self._rates[bucket] *= 0.5 ** ((now - self._updated_at[bucket]) / HALF_LIFE_MS)
        self._updated_at[bucket] = now
        return bucket

    def record(self, now: float, idle: float | None, failed: bool) -> None:
        """Record whether a request lost its connection; idle (ms) is None if the connection was new."""
        bucket = self._decay_bucket(now, idle)
        self._rates[bucket] += (failed - self._rates[bucket]) * SAMPLE_WEIGHT

    def excess_failure_rate(self, now: float, idle: float) -> float:
        """Return the failure rate after an idle time (ms) minus that of new connections, as a share of requests."""
        return self._rates[self._decay_bucket(now, idle)] - self._rates[self._decay_bucket(now, None)]
