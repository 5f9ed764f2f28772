"""Event counters of a router."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Counts by dotted name. Names begin with the topic, so that a sorted list groups them by topic."""

    def increment(self, name: str, by: int = 1) -> None:
        """Increase a counter, which starts at 0."""
        self[name] += by
