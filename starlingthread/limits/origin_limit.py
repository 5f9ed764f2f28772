"""How many fetches from the origin this router may cause at once, where cache servers fetch what they lack.

Which request is a fetch shows only in its answer, so each counts by how likely it is one. The limit is learned as one
server's is (`limits/concurrency.py`): from the times and the failures of what turned out to be fetches. So it is the
origin's room itself that is learned, not how many failures there were, and it opens within some answers of a jam's
end: a gate that opens by the clock kept refusing for seconds what the origin could serve, and what is refused is
cached nowhere. While fetches are refused, keys give up their copies (`limits/replicas.py`), which are fetched again.
"""

from __future__ import annotations

from .concurrency import Concurrency
from .replicas import ReplicaLimit

LEAST = 0.2  # at once: who asks for none never learns that the origin is well again
LATE = 0.9  # of the aim; a fetch that takes longer earns nothing: the origin has too many
GAIN = 0.05  # weight of one likely fetch in the share of them that is refused


class OriginLimit:
    """What is out at the origin on our account, as far as we know, and how much may be."""

    __slots__ = ("copies", "limit", "out", "refused")

    def __init__(self) -> None:
        self.out = 0.0  # sum of the chances that what is out is a fetch
        self.refused = 0.0  # share of likely fetches that were refused lately
        self.limit, self.copies = Concurrency(LEAST), ReplicaLimit()

    def allows(self, now: float, chance: float, draw: float, write: bool = False) -> bool:
        """Tell whether what is a fetch by this chance may go; what hardly is one counts for little.

        A write has no other place to go, and is not asked for again less often once it is refused, as a key is once
        it is cached. So fetches make room for writes, which are thinned only while the origin bears less than one
        thing at a time from us: else they fail there, and hold the servers' places until they do.
        """
        allowed = self.limit.allows(0.0 if write else self.out * chance, draw * chance)
        if chance > 0.5 and not write:
            self.refused += ((not allowed) - self.refused) * GAIN
            self.copies.observe(now, self.refused)
        return allowed

    def sent(self, chance: float) -> float:
        """Take in that something went out that is a fetch by this chance; return the chance."""
        self.out += chance
        return chance

    def over(self, chance: float) -> None:
        """Take in that it is over, one way or the other."""
        self.out = max(0.0, self.out - chance)

    def fetched(self, served: bool, elapsed: float, aim: float) -> None:
        """Take in a fetch that was served or not after so many ms; the aim of its class is in ms too."""
        if not served or elapsed > LATE * aim:
            self.limit.bad(self.out)
        else:
            self.limit.good(self.out)
