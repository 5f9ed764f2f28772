"""Rules on the state of servers: no new requests to a draining server, slow start of a warming server."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator

from ...experiment.records import ServerEvent
from ..evidence import IN_SERVICE, RunEvidence
from ..verdict import Rule, Violation
from .base import NO_ROUTER, Finding, Note, violation, violation_by

# An overload of a warming server is a violation if routers that knew of its start sent this share of the requests.
MIN_INFORMED_SHARE = 2.0 / 3.0
NOTIFICATION_LEAD_MS = 1.0  # a notification may precede the record of the server's start by this much


def check_drained_servers(run: RunEvidence) -> Iterator[Violation]:
    """No request is sent to a server after the grace period that starts when the router knew it was out of service."""
    grace_ms = run.scenario.rules.drain_grace_ms + run.tolerance_ms
    for request_id, deliveries in run.deliveries.items():
        attempt = run.attempts.get(request_id)
        if attempt is None:
            continue
        for delivery in deliveries:
            for period in run.out_of_service_periods(attempt.router, delivery.server):
                if period.began_at + grace_ms < delivery.first_at < period.ended_at:
                    text = (
                        f"sent to server {delivery.server} {delivery.first_at - period.began_at:.0f} ms after the "
                        f"router was notified that it is out of service"
                    )
                    yield violation_by(run, Rule.DRAIN, attempt, delivery.first_at, text)


def check_warming_servers(run: RunEvidence) -> Iterator[Finding]:
    """No server that is warming up is overloaded by routers that knew of its start."""
    starts = _cold_starts(run)
    notified = _start_notifications(run)
    for event in run.ledger.server_events:
        if event.kind != "fell":
            continue
        started_at = _last_start(starts.get(event.server, []), event.at)
        informed = sum(
            _knew_of_start(run, event, request_id, started_at, notified) for request_id in event.overloading_requests
        )
        if informed / max(1, len(event.overloading_requests)) < MIN_INFORMED_SHARE:
            yield Note("cold servers that fell, unknown to routers")
            continue
        text = (
            f"cold server {event.server} crashed by overload {event.at - started_at:.0f} ms after its start; "
            f"{informed} of {len(event.overloading_requests)} requests came from routers that knew of the start"
        )
        yield violation(run, Rule.COLD_FALL, event.overloading_requests[-1], NO_ROUTER, event.at, text)


def _cold_starts(run: RunEvidence) -> dict[int, list[float]]:
    """Return the times of each server's cold starts in order."""
    starts: dict[int, list[float]] = defaultdict(list)
    for event in run.ledger.server_events:
        if event.kind == "cold":
            starts[event.server].append(event.at)
    return {server: sorted(times) for server, times in starts.items()}


def _start_notifications(run: RunEvidence) -> dict[tuple[int, int], list[float]]:
    """Return for each router and server when the router was notified that the server has started."""
    notified: dict[tuple[int, int], list[float]] = defaultdict(list)
    for notification in run.ledger.notifications:
        if notification.status == IN_SERVICE and notification.started_at:
            notified[(notification.router, notification.server)].append(notification.at)
    return dict(notified)


def _last_start(starts: list[float], at: float) -> float:
    """Return the last of a server's starts up to a time, its first start if there is none, 0 if it never started."""
    return starts[max(0, bisect_right(starts, at) - 1)] if starts else 0.0


def _knew_of_start(
    run: RunEvidence,
    crash: ServerEvent,
    request_id: str,
    started_at: float,
    notified: dict[tuple[int, int], list[float]],
) -> bool:
    """Return whether the router that sent a request to a server which crashed knew of the server's start."""
    attempt = run.attempts.get(request_id)
    deliveries = run.deliveries.get(request_id)
    if attempt is None or not deliveries:
        return False
    sent_at = min((d.first_at for d in deliveries if d.server == crash.server), default=crash.at)
    notified_by = started_at + run.scenario.rules.notified_within_ms
    notified_at = min(
        (at for at in notified.get((attempt.router, crash.server), ()) if at >= started_at - NOTIFICATION_LEAD_MS),
        default=notified_by,
    )
    return sent_at >= min(notified_at, notified_by)
