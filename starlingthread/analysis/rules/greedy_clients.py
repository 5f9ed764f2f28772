"""Rules on the requests of greedy clients, which are no operations of the load tool."""

from __future__ import annotations

from collections.abc import Iterator

from ...experiment.records import REJECTED, Delivery
from ..evidence import RunEvidence
from ..verdict import Rule
from .base import Finding, Note, violation

# Time after a client's close in which an attempt may still begin, in ms.
DEPARTURE_GRACE_MS = 100.0
# Time from the last byte of a large write until it counts as unanswered.
WRITE_PERIOD_MS = 1700.0


def check_departures(run: RunEvidence) -> Iterator[Finding]:
    """No attempt begins for a client that has left."""
    for departure in run.ledger.departures:
        latest = departure.at + DEPARTURE_GRACE_MS + run.tolerance_ms
        for delivery in run.deliveries.get(departure.request_id, []):
            if delivery.first_at <= latest:
                continue
            if _was_delayed(run, delivery):
                yield Note("sent to a server whose link or process was held up, after the client had left")
            else:
                text = f"reached server {delivery.server} {delivery.first_at - departure.at:.0f} ms after the close"
                yield violation(run, Rule.LOST, departure.request_id, departure.router, delivery.first_at, text)


def check_repeated_ids(run: RunEvidence) -> Iterator[Finding]:
    """A request that must not run twice does not when its id comes again; a server that rejected it has not run it."""
    for request in run.ledger.repeated:
        accepted = [d for d in run.deliveries.get(request.request_id, []) if d.outcome != REJECTED]
        if len(accepted) < 2:
            continue
        if run.was_unavailable(request.router, accepted[0].first_at, request.at):
            yield Note("an id came again after its router was ended, which knew of it")
        else:
            text = f"an id that came again ran at servers {', '.join(str(d.server) for d in accepted)}"
            yield violation(run, Rule.ONCE_RAN_TWICE, request.request_id, request.router, accepted[1].first_at, text)


def check_late_writes(run: RunEvidence) -> Iterator[Finding]:
    """A large write is answered in time, however slowly its server reads."""
    for write in run.ledger.late_writes:
        if run.was_unavailable(write.router, write.at, write.at + WRITE_PERIOD_MS):
            yield Note("large write at a router that was ended")
        else:
            text = "no answer to a large write in its time and half a second"
            yield violation(run, Rule.LOST, write.request_id, write.router, write.at, text)


def _was_delayed(run: RunEvidence, delivery: Delivery) -> bool:
    """Return whether a fault at the server may have delayed what was sent to it earlier."""
    return any(delivery.server in fault.affected and fault.began_at <= delivery.first_at for fault in run.ledger.faults)
