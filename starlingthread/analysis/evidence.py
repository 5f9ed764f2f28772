"""The ledger of one run, indexed for the rules of the judge."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from ..experiment.records import (
    KILLED_AFTER_TERM,
    LISTED_PREFIX,
    ClientAttempt,
    Delivery,
    FaultRecord,
    Ledger,
    RouterEvent,
)
from ..experiment.scenario import RequestClass, Scenario, link_groups

FOREVER = float("inf")
# Faults under which servers answer nothing, so that a request sent to one shows up in no delivery record.
SILENCING_FAULTS = {"pause", "pauses", "silent", "zone-dark", "half-answers", "crash", "replace"}
SILENCE_MARGIN_BEFORE_MS = 200.0
SILENCE_MARGIN_AFTER_MS = 500.0

IN_SERVICE = "in_service"

ACCEPTED_AFTER_TERM_MS = 500.0  # for which a router goes on as before, until it closes what rests
# Before a SIGKILL that SIGTERM announced, in which a router need not answer any more: it ends a bit earlier by itself.
UNANSWERED_BEFORE_KILL_MS = 200.0


class Period(NamedTuple):
    """A span of time, in ms of the monotonic clock."""

    began_at: float
    ended_at: float
    was_announced: bool = False  # of an absence: by SIGTERM, so what was sent before it is owed an answer


class _StatusChange(NamedTuple):
    """A change of whether a server is out of service; sorts by time."""

    at: float
    is_out_of_service: bool


class RunEvidence:
    """What a run recorded, by request, operation, router and server. Nothing in it changes while rules are applied."""

    def __init__(self, scenario: Scenario, ledger: Ledger) -> None:
        self.scenario = scenario
        self.ledger = ledger
        self.longest_stall_ms = max([0.0, *ledger.lags.values()])  # by which our own records may be late
        self.tolerance_ms = scenario.rules.socket_slack_ms + self.longest_stall_ms
        self.attempts = {attempt.request_id: attempt for attempt in ledger.attempts if attempt.request_id}
        self.deliveries = _deliveries_by_request(ledger)
        self.operations = _attempts_by_operation(ledger)
        self._absences = _absences(ledger)
        self._shutdowns = _shutdowns(ledger)
        self._out_of_service = _out_of_service_periods(scenario, ledger)

    def class_of(self, attempt: ClientAttempt) -> RequestClass:
        """Return the class of an attempt's request."""
        return self.scenario.traffic.classes[attempt.class_index]

    def deliveries_of(self, attempt: ClientAttempt) -> list[Delivery]:
        """Return the deliveries to servers of an attempt's request, in the order in which they arrived."""
        return self.deliveries.get(attempt.request_id, [])

    def seconds_since_start(self, at: float) -> float:
        """Convert a time of the monotonic clock to seconds since the run's start."""
        return round((at - self.ledger.started_at) / 1000.0, 3)

    def was_absent(self, router: int, began_at: float, ended_at: float) -> bool:
        """Return whether a router was dead or stopped at some moment of a period, give or take the tolerance."""
        return any(
            absence.began_at <= ended_at + self.tolerance_ms
            and began_at - self.tolerance_ms <= absence.ended_at
            and not (absence.was_announced and began_at < absence.began_at - UNANSWERED_BEFORE_KILL_MS)
            for absence in self._absences.get(router, ())
        )

    def was_shutting_down(self, attempt: ClientAttempt) -> bool:
        """Return whether a request was sent while its router closed its connections: it may have crossed the close.

        For some time after SIGTERM a router accepts connections and serves as before.
        """
        return any(
            period.began_at + ACCEPTED_AFTER_TERM_MS - self.tolerance_ms <= attempt.sent_at <= period.ended_at
            for period in self._shutdowns.get(attempt.router, ())
        )

    def were_servers_silent(self, began_at: float, ended_at: float) -> bool:
        """Return whether a fault silenced servers in a period: what is sent to them then has no delivery record."""
        return any(
            fault.kind in SILENCING_FAULTS
            and fault.began_at - SILENCE_MARGIN_BEFORE_MS <= ended_at
            and began_at <= fault.ended_at + SILENCE_MARGIN_AFTER_MS
            for fault in self.ledger.faults
        )

    def was_never_delivered(self, attempt: ClientAttempt) -> bool:
        """Return whether a request reached no server, while links of its router's group were cut.

        Over a cut link no connection is established; what was sent into one that was established before arrives at the
        end. So an attempt may have been in flight for all the time without a record of it.
        """
        group = attempt.router % link_groups(self.scenario)
        return not self.deliveries_of(attempt) and any(
            fault.kind == "link-cut"
            and fault.direction != "from-server"
            and group in fault.groups
            and fault.began_at <= attempt.answered_at
            and attempt.sent_at <= fault.ended_at
            for fault in self.ledger.faults
        )

    def answer_arrival(self, delivery: Delivery, router: int) -> float:
        """Return when a server's answer reached a router: one sent into a cut link arrives when the cut ends."""
        group = router % link_groups(self.scenario)
        cuts = [fault.ended_at for fault in self.ledger.faults if _delays_answer(fault, delivery, group)]
        return max([delivery.ended_at, *cuts])

    def out_of_service_periods(self, router: int, server: int) -> list[Period]:
        """Return when a router knew, or should have known, that a server is draining or gone."""
        return self._out_of_service.get((router, server), [])


def _delays_answer(fault: FaultRecord, delivery: Delivery, group: int) -> bool:
    """Return whether a fault is a cut link that delayed a delivery's answer to a group of routers."""
    return (
        fault.kind == "link-cut"
        and fault.direction != "to-server"
        and delivery.server in fault.affected
        and group in fault.groups
        and fault.began_at <= delivery.ended_at <= fault.ended_at
    )


def _deliveries_by_request(ledger: Ledger) -> dict[str, list[Delivery]]:
    deliveries: dict[str, list[Delivery]] = defaultdict(list)
    for delivery in sorted(ledger.deliveries, key=lambda d: d.first_at):
        deliveries[delivery.request_id].append(delivery)
    return dict(deliveries)


def _attempts_by_operation(ledger: Ledger) -> dict[int, list[ClientAttempt]]:
    operations: dict[int, list[ClientAttempt]] = defaultdict(list)
    for attempt in ledger.attempts:
        if attempt.request_id:
            operations[attempt.operation].append(attempt)
    return dict(operations)


def _absences(ledger: Ledger) -> dict[int, list[Period]]:
    """Return when each router was dead or stopped by a fault (or had crashed, which breaks a rule of its own)."""
    periods: dict[int, list[Period]] = defaultdict(list)
    began: dict[int, RouterEvent] = {}
    for event in sorted(ledger.router_events, key=lambda e: e.at):
        if event.kind in ("killed", "stopped", "crashed", KILLED_AFTER_TERM):
            began.setdefault(event.router, event)
        elif event.kind in ("up", "continued") and event.router in began:
            periods[event.router].append(_absence(began.pop(event.router), event.at))
    for router, first in began.items():
        periods[router].append(_absence(first, FOREVER))
    return dict(periods)


def _absence(first: RouterEvent, ended_at: float) -> Period:
    return Period(first.at, ended_at, was_announced=first.kind == KILLED_AFTER_TERM)


def _shutdowns(ledger: Ledger) -> dict[int, list[Period]]:
    """Return when each router was shutting down, from SIGTERM to its end."""
    periods: dict[int, list[Period]] = defaultdict(list)
    began: dict[int, float] = {}
    for event in sorted(ledger.router_events, key=lambda e: e.at):
        if event.kind == "terminating":
            began[event.router] = event.at
        elif event.kind in ("exited", KILLED_AFTER_TERM) and event.router in began:
            periods[event.router].append(Period(began.pop(event.router), event.at))
    return dict(periods)


def _out_of_service_periods(scenario: Scenario, ledger: Ledger) -> dict[tuple[int, int], list[Period]]:
    """Return for each router and server when the router knew, or at the latest should have known, it is out."""
    changes: dict[tuple[int, int], list[_StatusChange]] = defaultdict(list)
    for notification in ledger.notifications:
        change = _StatusChange(notification.at, notification.status != IN_SERVICE)
        changes[(notification.router, notification.server)].append(change)
    for server, at in _overdue_notifications(scenario, ledger):
        for router in range(scenario.routers.count):
            changes[(router, server)].append(_StatusChange(at, True))
    return {key: _periods_out_of_service(sorted(known)) for key, known in changes.items()}


def _overdue_notifications(scenario: Scenario, ledger: Ledger) -> list[tuple[int, float]]:
    """Return each server that left service with the time by which every router counts as notified."""
    within = scenario.rules.notified_within_ms
    listed: dict[int, list[_StatusChange]] = defaultdict(list)
    for event in sorted(ledger.server_events, key=lambda e: e.at):
        if event.kind.startswith(LISTED_PREFIX):
            listed[event.server].append(_StatusChange(event.at, event.kind != LISTED_PREFIX + IN_SERVICE))
    overdue = []
    for server, changes in listed.items():
        for change, following in zip(changes, [*changes[1:], None], strict=True):
            # A change that another follows within that time never had to reach a router.
            if change.is_out_of_service and (following is None or following.at > change.at + within):
                overdue.append((server, change.at + within))
    return overdue


def _periods_out_of_service(changes: list[_StatusChange]) -> list[Period]:
    periods = []
    began: float | None = None
    for change in changes:
        if change.is_out_of_service and began is None:
            began = change.at
        elif not change.is_out_of_service and began is not None:
            periods.append(Period(began, change.at))
            began = None
    if began is not None:
        periods.append(Period(began, FOREVER))
    return periods
