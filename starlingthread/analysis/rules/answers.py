"""Rules on answers: each request gets one answer, before its deadline, that a server generated for this request."""

from __future__ import annotations

from collections.abc import Iterator

from ...experiment.records import EXECUTED, PENDING, ClientAttempt, Delivery
from ..evidence import RunEvidence
from ..verdict import Rule, Violation
from .base import NO_ROUTER, Finding, Note, violation, violation_by

TRUNCATED_ANSWER_ERROR = "stopped in the middle of an answer"  # protocol error that the load tool records


def check_answer_time(run: RunEvidence) -> Iterator[Finding]:
    """Every request gets one complete answer before its deadline, unless its router was killed or stopped."""
    tolerance_ms = run.scenario.rules.answer_slack_ms + run.tolerance_ms
    for attempt in run.attempts.values():
        deadline = attempt.sent_at + attempt.budget_ms
        if attempt.outcome in ("none", "eof") and attempt.protocol_error != TRUNCATED_ANSWER_ERROR:
            yield _unanswered(run, attempt, deadline + tolerance_ms)
        elif attempt.answered_at > deadline + tolerance_ms and not run.was_unavailable(
            attempt.router, attempt.sent_at, attempt.answered_at
        ):
            late_ms = attempt.answered_at - deadline
            text = f"answered {late_ms:.0f} ms after its deadline, {tolerance_ms:.0f} ms are allowed"
            yield violation_by(run, Rule.LATE_ANSWER, attempt, attempt.answered_at, text)


def _unanswered(run: RunEvidence, attempt: ClientAttempt, latest: float) -> Finding:
    if run.was_unavailable(attempt.router, attempt.sent_at, latest):
        return Note("unanswered by a dead or stopped router")
    if attempt.outcome == "eof" and not run.deliveries_of(attempt) and run.was_shutting_down(attempt):
        return Note("crossed the close of a router that was shutting down")
    symptom = "no answer" if attempt.outcome == "none" else "the router closed the connection without an answer"
    text = f"{symptom} to a request with d={attempt.budget_ms:g}"
    return violation_by(run, Rule.LOST, attempt, attempt.sent_at, text)


def check_extra_answers(run: RunEvidence) -> Iterator[Violation]:
    """No data follows an answer, and no data comes on a connection without a pending request."""
    for attempt in run.ledger.attempts:
        if attempt.protocol_error.startswith(("bytes behind", "unasked")):
            yield violation_by(run, Rule.ANSWERED_TWICE, attempt, attempt.answered_at, attempt.protocol_error)


def check_foreign_values(run: RunEvidence) -> Iterator[Violation]:
    """A client gets only answers that a server generated for its request."""
    for attempt in run.attempts.values():
        if attempt.protocol_error.startswith("answer for"):
            yield violation_by(run, Rule.FOREIGN_VALUE, attempt, attempt.answered_at, attempt.protocol_error)
        elif attempt.outcome in ("value", "receipt"):
            generated = {d.checksum for d in run.deliveries_of(attempt) if d.disposition == EXECUTED and d.checksum}
            if attempt.checksum not in generated:
                text = (
                    f"{attempt.outcome} with CRC {attempt.checksum:08x}, servers generated "
                    f"{', '.join(f'{checksum:08x}' for checksum in sorted(generated)) or 'none'} for it"
                )
                yield violation_by(run, Rule.FOREIGN_VALUE, attempt, attempt.answered_at, text)


def check_idle_waits(run: RunEvidence) -> Iterator[Violation]:
    """A request is rejected or failed as soon as none of its attempts is in flight at a server."""
    limit_ms = run.scenario.rules.idle_rejection_ms + run.tolerance_ms
    for attempt in run.attempts.values():
        if attempt.outcome not in ("busy", "failed"):
            continue
        elapsed_ms = attempt.answered_at - attempt.sent_at
        if elapsed_ms < max(limit_ms, attempt.budget_ms / 2.0) or _is_wait_explained(run, attempt, limit_ms):
            continue
        idle_since = max([attempt.sent_at, *(delivery.ended_at for delivery in run.deliveries_of(attempt))])
        text = (
            f"{attempt.outcome} after {elapsed_ms:.0f} ms; no attempt was in flight for the last "
            f"{attempt.answered_at - idle_since:.0f} ms"
        )
        yield violation_by(run, Rule.HELD_BACK, attempt, attempt.answered_at, text)


def _is_wait_explained(run: RunEvidence, attempt: ClientAttempt, limit_ms: float) -> bool:
    """Return whether a server may have been processing a request until shortly before its answer."""

    def is_recent(delivery: Delivery) -> bool:
        return (
            delivery.outcome == PENDING
            or run.answer_arrived_at(delivery, attempt.router) > attempt.answered_at - limit_ms
        )

    return (
        any(is_recent(delivery) for delivery in run.deliveries_of(attempt))
        or run.was_never_delivered(attempt)
        or run.were_servers_unresponsive(attempt.sent_at, attempt.answered_at)
        or run.was_unavailable(attempt.router, attempt.sent_at, attempt.answered_at)
    )


def check_unknown(run: RunEvidence) -> Iterator[Violation]:
    """Servers get only requests that clients sent, and clients only answers that are valid in the protocol."""
    for request_id, deliveries in run.deliveries.items():
        if request_id not in run.attempts and not run.is_of_greedy_client(request_id):
            first = deliveries[0]
            text = f"server {first.server} received a request that no client sent"
            yield violation(run, Rule.UNKNOWN_REQUEST, request_id, NO_ROUTER, first.first_at, text)
    for attempt in run.attempts.values():
        if attempt.outcome == "other":
            text = f"answered with {attempt.protocol_error!r}"
            yield violation_by(run, Rule.NO_ANSWER_LINE, attempt, attempt.answered_at, text)
