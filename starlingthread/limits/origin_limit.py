"""How many fetches from the origin this router may cause at once, where cache servers fetch what they lack.

Which request is a fetch shows only in its answer, so each counts by how likely it is one. The limit is learned as one
server's is (`limits/concurrency.py`): from the times and the failures of what turned out to be fetches. So it is the
origin's room itself that is learned, not how many failures there were, and it opens within some answers of a jam's
end: a gate that opens by the clock kept refusing for seconds what the origin could serve, and what is refused is
cached nowhere. While fetches are refused, keys give up their copies (`limits/replicas.py`), which are fetched again.
"""

from __future__ import annotations

from .concurrency import ConcurrencyLimit
from .replicas import ReplicaLimit

LEAST = 0.2  # at once: who asks for none never learns that the origin is well again
LATE = 0.9  # of the aim; a fetch that takes longer earns nothing: the origin has too many
GAIN = 0.05  # weight of one likely fetch in the share of them that is refused


class OriginLimit:
    """What is out at the origin on our account, as far as we know, and how much may be."""

    __slots__ = ("replicas", "limit", "in_flight", "rejected_share")

    def __init__(self) -> None:
        self.in_flight = 0.0  # sum of the chances that what is out is a fetch
        self.rejected_share = 0.0  # share of likely fetches that were refused lately
        self.limit, self.replicas = ConcurrencyLimit(LEAST), ReplicaLimit()

    def allows(self, now: float, chance: float, draw: float, write: bool = False) -> bool:
        """Tell whether what is a fetch by this chance may go; what hardly is one counts for little.

        A write has no other place to go, and is not asked for again less often once it is refused, as a key is once
        it is cached. So fetches make room for writes, which are thinned only while the origin bears less than one
        thing at a time from us: else they fail there, and hold the servers' places until they do.
        """
        allowed = self.limit.allows(0.0 if write else self.in_flight * chance, draw * chance)
        if chance > 0.5 and not write:
            self.rejected_share += ((not allowed) - self.rejected_share) * GAIN
            self.replicas.observe(now, self.rejected_share)
        return allowed

    def on_sent(self, chance: float) -> float:
        """Take in that something went out that is a fetch by this chance; return the chance."""
        self.in_flight += chance
        return chance

    def on_finished(self, chance: float) -> None:
        """Take in that it is over, one way or the other."""
        self.in_flight = max(0.0, self.in_flight - chance)

    def on_fetch(self, served: bool, elapsed: float, aim: float) -> None:
        """Take in a fetch that was served or not after so many ms; the aim of its class is in ms too."""
        if not served or elapsed > LATE * aim:
            self.limit.on_failure(self.in_flight)
        else:
            self.limit.on_success(self.in_flight)
