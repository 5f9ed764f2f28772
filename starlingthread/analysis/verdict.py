"""The verdict on a run: broken rules, reasons why the run proves nothing, and notes. Stored in the results file."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Rule(StrEnum):
    """The rules that a router must keep; docs/emulator.md lists them in words."""

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
    """One broken rule."""

    rule: str
    request: str  # id of the client's request; empty if the rule is not about one
    router: int  # -1: not known, or not about one router
    at_s: float  # since the run's start
    text: str


class Verdict(msgspec.Struct):
    """The outcome of judging a run. A void run proves nothing, whatever else it shows."""

    void: list[str]
    counts: dict[str, int]  # violations by rule
    violations: list[Violation]
    notes: dict[str, int]  # occurrences that are no violation but worth knowing

    @property
    def is_clean(self) -> bool:
        """Whether the run counts and no rule was broken."""
        return not self.void and not self.counts
