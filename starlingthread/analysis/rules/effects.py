"""Rules on side effects: what is not idempotent never runs twice."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from ...experiment.records import EXECUTED, REJECTED, ClientAttempt, Delivery
from ..evidence import RunEvidence
from ..verdict import Rule, Violation
from .base import Finding, Note, violation, violation_by


def check_run_once(run: RunEvidence) -> Iterator[Finding]:
    """A request of effect ``once`` runs at most once; once it may have run it is neither resent nor rejected."""
    for operation, attempts in run.operations.items():
        if run.class_of(attempts[0]).effect != "once":
            continue
        for attempt in attempts:
            yield from _resent(run, attempt)
            yield from _rejected_after_delivery(run, attempt)
        runs = [d for attempt in attempts for d in run.deliveries_of(attempt) if d.disposition == EXECUTED]
        if len(runs) > 1:
            yield _ran_twice(run, operation, attempts[-1].router, runs)
        elif runs and not any(attempt.outcome in ("value", "receipt") for attempt in attempts):
            yield Note("once: ran, client never heard")


def _resent(run: RunEvidence, attempt: ClientAttempt) -> Iterator[Violation]:
    """Find deliveries that follow one which a server had not rejected by then."""
    for earlier, later in itertools.pairwise(run.deliveries_of(attempt)):
        if earlier.outcome != REJECTED or earlier.ended_at > later.first_at:
            text = f"sent to server {later.server} though server {earlier.server} had it ({earlier.outcome})"
            yield violation_by(run, Rule.ONCE_RESENT, attempt, later.first_at, text)


def _rejected_after_delivery(run: RunEvidence, attempt: ClientAttempt) -> Iterator[Violation]:
    """Find a rejection, which tells the client that nothing ran, after a server had accepted the request."""
    if attempt.outcome != "busy":
        return
    if any(d.outcome != REJECTED and d.received_at < attempt.answered_at for d in run.deliveries_of(attempt)):
        text = "refused as harmless though a server had taken it"
        yield violation_by(run, Rule.BUSY_AFTER_RUN, attempt, attempt.answered_at, text)


def _ran_twice(run: RunEvidence, operation: int, router: int, runs: list[Delivery]) -> Violation:
    second = runs[1]
    servers = ", ".join(str(delivery.server) for delivery in runs)
    text = f"operation {operation} ran at servers {servers}"
    return violation(run, Rule.ONCE_RAN_TWICE, second.request_id, router, second.received_at, text)


def check_idempotency_keys(run: RunEvidence) -> Iterator[Violation]:
    """A write with an idempotency key is not resent after the time for which servers remember its key."""
    for request_id, deliveries in run.deliveries.items():
        attempt = run.attempts.get(request_id)
        if attempt is None or run.class_of(attempt).effect != "by_key":
            continue
        remembered_for = run.class_of(attempt).idempotency_window_ms + run.tolerance_ms
        may_have_run = [delivery for delivery in deliveries if delivery.outcome != REJECTED]
        for delivery in may_have_run[1:]:
            first_at = may_have_run[0].first_at
            if delivery.first_at > first_at + remembered_for:
                text = f"sent again {delivery.first_at - first_at:.0f} ms after the first"
                yield violation_by(run, Rule.KEYED_LATE, attempt, delivery.first_at, text)
