"""The verdict on a run: violated rules, reasons why the run is void, and notes. Stored in the results file."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Rule(StrEnum):
    """The rules that a router must keep; docs/emulator.md describes them."""

    LOST = "lost"
    LATE_ANSWER = "late-answer"
    ANSWERED_TWICE = "answered-twice"
    FOREIGN_VALUE = "foreign-value"
    NO_ANSWER_LINE = "no-answer-line"
    HELD_BACK = "held-back"
    UNKNOWN_REQUEST = "unknown-request"
    ONCE_RESENT = "once-resent"
    ONCE_RAN_TWICE = "once-ran-twice"
    BUSY_AFTER_RUN = "busy-after-run"
    KEYED_LATE = "keyed-late"
    DRAIN = "drain"
    COLD_FALL = "cold-fall"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    CRASHED = "crashed"


class Violation(msgspec.Struct):
    """One violation of a rule."""

    rule: str
    request: str  # id of the client's request; empty if the violation is not about a request
    router: int  # -1 if it is not known, or if the violation is not about one router
    at_s: float  # time since the run's start
    text: str


class Verdict(msgspec.Struct):
    """The outcome of checking a run against the rules. A void run is inconclusive, whatever the other fields hold."""

    void: list[str]  # reasons why the run is void
    counts: dict[str, int]  # violations by rule
    violations: list[Violation]
    notes: dict[str, int]  # number of notable occurrences that are no violations, by description

    @property
    def is_clean(self) -> bool:
        """Whether the run is valid and no rule was violated."""
        return not self.void and not self.counts
