"""The health of this member itself, as in Lifeguard's local health multiplier (Dadgar et al. 2018)."""

from __future__ import annotations

MAX_SCORE = 8


class LocalHealth:
    """A score of recent signs that this member is slow, stalled or partitioned; 0 is healthy."""

    __slots__ = ("score",)

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> float:
        """The factor by which this member extends its timeouts before it suspects other members."""
        return 1.0 + self.score

    def degrade(self) -> None:
        """Record a sign that the fault is in this member or its link."""
        self.score = min(MAX_SCORE, self.score + 1)

    def recover(self) -> None:
        """Record a probe that was answered in time."""
        self.score = max(0, self.score - 1)
