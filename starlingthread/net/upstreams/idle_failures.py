"""Failure rates of reused connections by how long they were idle. Pure: no I/O and no clock of its own."""

from __future__ import annotations

HALF_LIFE_MS = 10000.0  # in which an observed failure rate halves, so that such connections are tried again
SAMPLE_WEIGHT = 0.1  # of one request in the moving average
BUCKETS = 18  # by the number of bits of the idle time in ms; the first is for new connections


class IdleFailureRates:
    """How often connections broke under a request, by how long they had been idle before.

    Guards against servers, or middleboxes on the way, that drop idle connections long before the limit in the
    settings and without notice: the next request on such a connection is lost, and may have been executed.
    """

    def __init__(self) -> None:
        self._rates = [0.0] * BUCKETS
        self._updated_at = [0.0] * BUCKETS

    def _decayed_bucket(self, now: float, idle: float | None) -> int:
        """Return the bucket of an idle time, its rate decayed to now."""
        bucket = 0 if idle is None else min(BUCKETS - 1, 1 + int(idle).bit_length())
        self._rates[bucket] *= 0.5 ** ((now - self._updated_at[bucket]) / HALF_LIFE_MS)
        self._updated_at[bucket] = now
        return bucket

    def record(self, now: float, idle: float | None, broke: bool) -> None:
        """Record whether the connection broke under a request; idle is None if the connection was new."""
        bucket = self._decayed_bucket(now, idle)
        self._rates[bucket] += (broke - self._rates[bucket]) * SAMPLE_WEIGHT

    def excess_over_new(self, now: float, idle: float) -> float:
        """Return the failure rate after this idle time (ms) minus that of new connections, as a share of requests."""
        return self._rates[self._decayed_bucket(now, idle)] - self._rates[self._decayed_bucket(now, None)]
