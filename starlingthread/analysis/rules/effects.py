"""Rules on side effects: a request that is not idempotent is never executed twice."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from ...experiment.records import EXECUTED, REJECTED, ClientAttempt, Delivery
from ..evidence import RunEvidence
from ..verdict import Rule, Violation
from .base import Finding, Note, violation, violation_by


def check_run_once(run: RunEvidence) -> Iterator[Finding]:
    """A request of effect ``once`` runs at most once, and is not resent or rejected after it may have been executed."""
    for operation, attempts in run.operations.items():
        if run.class_of(attempts[0]).effect != "once":
            continue
        for attempt in attempts:
            yield from _resent(run, attempt)
            yield from _rejected_after_delivery(run, attempt)
        executions = [d for attempt in attempts for d in run.deliveries_of(attempt) if d.disposition == EXECUTED]
        if len(executions) > 1:
            yield _executed_twice(run, operation, attempts[-1].router, executions)
        elif executions and not any(attempt.outcome in ("value", "receipt") for attempt in attempts):
            yield Note("once: ran, client never heard")


def _resent(run: RunEvidence, attempt: ClientAttempt) -> Iterator[Violation]:
    """Find deliveries that follow another one which the server had not rejected by then."""
    for earlier, later in itertools.pairwise(run.deliveries_of(attempt)):
        if earlier.outcome != REJECTED or earlier.ended_at > later.first_at:
            text = f"sent to server {later.server} before server {earlier.server} had rejected it ({earlier.outcome})"
            yield violation_by(run, Rule.ONCE_RESENT, attempt, later.first_at, text)


def _rejected_after_delivery(run: RunEvidence, attempt: ClientAttempt) -> Iterator[Violation]:
    """Find a rejection after a server had accepted the request; to a client it means that nothing was executed."""
    if attempt.outcome != "busy":
        return
    if any(d.outcome != REJECTED and d.received_at < attempt.answered_at for d in run.deliveries_of(attempt)):
        text = "rejected as not executed although a server had accepted it"
        yield violation_by(run, Rule.BUSY_AFTER_RUN, attempt, attempt.answered_at, text)


def _executed_twice(run: RunEvidence, operation: int, router: int, executions: list[Delivery]) -> Violation:
    second = executions[1]
    servers = ", ".join(str(delivery.server) for delivery in executions)
    text = f"operation {operation} was executed by servers {servers}"
    return violation(run, Rule.ONCE_RAN_TWICE, second.request_id, router, second.received_at, text)


def check_idempotency_keys(run: RunEvidence) -> Iterator[Violation]:
    """A write with an idempotency key is not resent after its idempotency window."""
    for request_id, deliveries in run.deliveries.items():
        attempt = run.attempts.get(request_id)
        if attempt is None or run.class_of(attempt).effect != "by_key":
            continue
        window_ms = run.class_of(attempt).idempotency_window_ms + run.tolerance_ms
        possibly_executed = [delivery for delivery in deliveries if delivery.outcome != REJECTED]
        for delivery in possibly_executed[1:]:
            first_at = possibly_executed[0].first_at
            if delivery.first_at > first_at + window_ms:
                text = f"sent again {delivery.first_at - first_at:.0f} ms after the first delivery"
                yield violation_by(run, Rule.KEYED_LATE, attempt, delivery.first_at, text)
