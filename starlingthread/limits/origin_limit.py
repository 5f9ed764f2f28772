"""The limit on concurrent fetches from the origin that this router causes, where cache servers fetch what they miss.

Whether a request causes a fetch is known only from its response, so each request counts by its probability of being
one. The limit is learned as a server's is (`limits/concurrency.py`), from the latency and the failures of what turned
out to be fetches. So it follows the origin's capacity itself and not the number of failures, and opens within some
responses of the end of an overload: a gate that opened by the clock went on for seconds to reject what the origin could
serve, and what is rejected is cached nowhere. While fetches are rejected, keys give up their replicas
(`limits/replicas.py`), each of which is a further fetch.
"""

from __future__ import annotations

from .concurrency import ConcurrencyLimit
from .replicas import ReplicaLimit

MIN_LIMIT_FETCHES = 0.2  # concurrent fetches; more than none, to find out that the origin has recovered
LATE_SHARE = 0.9  # of the latency objective; a slower fetch shows that the origin is overloaded
REJECTED_SHARE_GAIN = 0.05  # weight of one likely fetch in the share of them that is rejected
LIKELY_FETCH_PROBABILITY = 0.5  # probability beyond which a request counts as a likely fetch


class OriginLimit:
    """The fetches of this router that are probably in flight, and the limit on them."""

    __slots__ = ("in_flight", "limit", "rejected_share", "replicas")

    def __init__(self) -> None:
        self.in_flight = 0.0  # sum of the fetch probabilities of all requests in flight
        self.rejected_share = 0.0  # of the recent likely fetches
        self.limit = ConcurrencyLimit(MIN_LIMIT_FETCHES)
        self.replicas = ReplicaLimit()

    def allows(self, now: float, fetch_probability: float, random: float, is_write: bool = False) -> bool:
        """Tell whether a request may be sent, by its probability of causing a fetch and a random number in [0, 1).

        A write cannot be served elsewhere, and rejecting it does not make the next one rarer, as caching a key does. So
        writes have precedence over fetches and are thinned out only while the origin has capacity for less than one
        request of ours: else they fail there, and occupy the servers' slots until they do.
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
        """Record whether a fetch succeeded, the ms that it took, and the latency objective (ms) of its class."""
        if not served or elapsed > LATE_SHARE * latency_objective:
            self.limit.on_failure(self.in_flight)
        else:
            self.limit.on_success(self.in_flight)
