"""Types that all checks of the judge share, and constructors of violations."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple, TypeAlias

from ...experiment.records import ClientAttempt
from ..evidence import RunEvidence
from ..verdict import Rule, Violation

NO_ROUTER = -1


class Note(NamedTuple):
    """A notable occurrence that is no violation; occurrences are counted by their text."""

    text: str


Finding: TypeAlias = Violation | Note
Check: TypeAlias = Callable[[RunEvidence], Iterator[Finding]]


def violation(run: RunEvidence, rule: Rule, request_id: str, router: int, at: float, text: str) -> Violation:
    """Return a violation at a time of the monotonic clock (ms)."""
    return Violation(rule.value, request_id, router, run.seconds_since_start(at), text)


def violation_by(run: RunEvidence, rule: Rule, attempt: ClientAttempt, at: float, text: str) -> Violation:
    """Return a violation by the router to which a client sent an attempt."""
    return violation(run, rule, attempt.request_id, attempt.router, at, text)
