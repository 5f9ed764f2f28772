"""Counters of the router's requests, attempts, answers and faults."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Counts by dotted name; the topic comes first, so that a sorted list groups by topic."""

    def increment(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self[name] += by
