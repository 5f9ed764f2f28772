"""The limit on concurrent origin fetches caused by this router, for cache servers that fetch what they miss.

Whether a request causes a fetch is known only from its response, so each request counts with its fetch probability. The
limit is learned like that of a server (`limits/concurrency.py`), from the latency and the failures of the requests that
turned out to be fetches. It therefore follows the capacity of the origin and not the number of failures, and is raised
within a few responses of the end of an overload. A limit that was raised by elapsed time kept rejecting fetches that
the origin could serve for seconds, and rejected values are not cached anywhere.

While fetches are rejected, the number of replicas per key is reduced (`limits/replicas.py`), as each replica costs one
more fetch.
"""

from __future__ import annotations

from .concurrency import ConcurrencyLimit
from .replicas import ReplicaLimit

# Minimum of the limit on concurrent fetches; above 0, to detect that the origin has recovered.
MIN_LIMIT_FETCHES = 0.2
# Share of the latency objective above which a fetch shows that the origin is overloaded.
LATE_SHARE = 0.9
# Weight of one likely fetch in the share of likely fetches that is rejected.
REJECTED_SHARE_GAIN = 0.05
# Fetch probability above which a request counts as a likely fetch.
LIKELY_FETCH_PROBABILITY = 0.5


class OriginLimit:
    """The expected number of this router's fetches in flight, and the limit on it."""

    __slots__ = ("in_flight", "limit", "rejected_share", "replicas")

    def __init__(self) -> None:
        self.in_flight = 0.0  # sum of the fetch probabilities of all requests in flight
        self.rejected_share = 0.0  # share of recent likely fetches that was rejected
        self.limit = ConcurrencyLimit(MIN_LIMIT_FETCHES)
        self.replicas = ReplicaLimit()

    def allows(self, now: float, fetch_probability: float, random: float, is_write: bool = False) -> bool:
        """Return whether a request may be sent, by its probability of causing a fetch and a random number in [0, 1).

        A write cannot be served elsewhere, and no cached value makes later writes unnecessary as it does for reads. So
        writes have precedence over fetches. A share of them is rejected only while the origin has capacity for less
        than one request of this router, since they would fail there and occupy slots of the servers until then.
        """
        in_flight = 0.0 if is_write else self.in_flight * fetch_probability
        allowed = self.limit.allows(in_flight, random * fetch_probability)
        if fetch_probability > LIKELY_FETCH_PROBABILITY and not is_write:
            self.rejected_share += ((not allowed) - self.rejected_share) * REJECTED_SHARE_GAIN
            self.replicas.observe(now, self.rejected_share)
        return allowed

    def on_sent(self, fetch_probability: float) -> float:
        """Record that a request was sent; return its fetch probability, to be passed to on_finished."""
        self.in_flight += fetch_probability
        return fetch_probability

    def on_finished(self, fetch_probability: float) -> None:
        """Record that a request has ended, whatever its outcome."""
        self.in_flight = max(0.0, self.in_flight - fetch_probability)

    def on_fetch(self, served: bool, elapsed: float, latency_objective: float) -> None:
        """Record whether a fetch succeeded, its duration (ms), and the latency objective (ms) of its class."""
        if not served or elapsed > LATE_SHARE * latency_objective:
            self.limit.on_failure(self.in_flight)
        else:
            self.limit.on_success(self.in_flight)
