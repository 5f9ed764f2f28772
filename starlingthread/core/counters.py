"""Counters of what the router takes in, sends and answers."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Counts by name; a name starts with what it is about, so the printed list sorts by topic."""

    def increment(self, name: str, by: int = 1) -> None:
        """Count something."""
        self[name] += by
