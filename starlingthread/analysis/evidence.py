"""Indexes of the ledger of one run, for the rules of the judge."""

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
# Under these faults servers do not respond, and a request that is sent to one may have no delivery record.
UNRESPONSIVE_SERVER_FAULTS = {"pause", "pauses", "silent", "zone-dark", "half-answers", "crash", "replace"}
UNRESPONSIVE_MARGIN_BEFORE_MS = 200.0
UNRESPONSIVE_MARGIN_AFTER_MS = 500.0

IN_SERVICE = "in_service"

# After SIGTERM a router serves as before for this long; then it closes its idle connections.
ACCEPTED_AFTER_TERM_MS = 500.0
# A router exits slightly before the SIGKILL that follows SIGTERM: requests sent this shortly before need no answer.
UNANSWERED_BEFORE_KILL_MS = 200.0


class Period(NamedTuple):
    """A span of time, in ms of the monotonic clock."""

    began_at: float
    ended_at: float
    # Whether the period is an outage that SIGTERM preceded, so that earlier requests must be answered.
    was_after_sigterm: bool = False


class _StatusChange(NamedTuple):
    """A server goes out of service or returns to it; sorts by time."""

    at: float
    is_out_of_service: bool


class RunEvidence:
    """Records of a run by request, operation, router and server. It is not modified while rules are applied."""

    def __init__(self, scenario: Scenario, ledger: Ledger) -> None:
        self.scenario = scenario
        self.ledger = ledger
        # Records of the testbed itself may be late by this much.
        self.longest_stall_ms = max([0.0, *ledger.lags.values()])
        self.tolerance_ms = scenario.rules.socket_slack_ms + self.longest_stall_ms
        self.attempts = {attempt.request_id: attempt for attempt in ledger.attempts if attempt.request_id}
        self.deliveries = _deliveries_by_request(ledger)
        self.operations = _attempts_by_operation(ledger)
        self._outages = _outages(ledger)
        self._shutdowns = _shutdowns(ledger)
        self._out_of_service = _out_of_service_periods(scenario, ledger)

    def class_of(self, attempt: ClientAttempt) -> RequestClass:
        """Return the class of an attempt's request."""
        return self.scenario.traffic.classes[attempt.class_index]

    def is_of_greedy_client(self, request_id: str) -> bool:
        """Return whether a greedy client has sent a request, which is no operation."""
        prefix, _, number = request_id.rpartition("-")
        return number.isdigit() and int(number) <= self.ledger.greedy_request_counts.get(prefix, 0)

    def deliveries_of(self, attempt: ClientAttempt) -> list[Delivery]:
        """Return the deliveries of an attempt's request to servers, in the order of their arrival."""
        return self.deliveries.get(attempt.request_id, [])

    def seconds_since_start(self, at: float) -> float:
        """Convert a time of the monotonic clock to seconds since the run's start."""
        return round((at - self.ledger.started_at) / 1000.0, 3)

    def was_unavailable(self, router: int, began_at: float, ended_at: float) -> bool:
        """Return whether a router was down or stopped at any time of a period, within the tolerance."""
        return any(
            outage.began_at <= ended_at + self.tolerance_ms
            and began_at - self.tolerance_ms <= outage.ended_at
            and not (outage.was_after_sigterm and began_at < outage.began_at - UNANSWERED_BEFORE_KILL_MS)
            for outage in self._outages.get(router, ())
        )

    def was_shutting_down(self, attempt: ClientAttempt) -> bool:
        """Return whether a request was sent while its router closed its connections, so that it may not have been read.

        For some time after SIGTERM a router accepts connections and serves as before.
        """
        return any(
            period.began_at + ACCEPTED_AFTER_TERM_MS - self.tolerance_ms <= attempt.sent_at <= period.ended_at
            for period in self._shutdowns.get(attempt.router, ())
        )

    def were_servers_unresponsive(self, began_at: float, ended_at: float) -> bool:
        """Return whether a fault made servers unresponsive in a period, so that requests may lack a delivery record."""
        return any(
            fault.kind in UNRESPONSIVE_SERVER_FAULTS
            and fault.began_at - UNRESPONSIVE_MARGIN_BEFORE_MS <= ended_at
            and began_at <= fault.ended_at + UNRESPONSIVE_MARGIN_AFTER_MS
            for fault in self.ledger.faults
        )

    def was_never_delivered(self, attempt: ClientAttempt) -> bool:
        """Return whether a request reached no server while links of its router's group were cut.

        No connection can be established over a cut link, and data sent on an existing connection arrives when the cut
        ends. So an attempt may have been in flight all the time without a delivery record.
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

    def answer_arrived_at(self, delivery: Delivery, router: int) -> float:
        """Return when a server's answer reached a router; an answer sent over a cut link arrives when the cut ends."""
        group = router % link_groups(self.scenario)
        cut_ends = [fault.ended_at for fault in self.ledger.faults if _delays_answer(fault, delivery, group)]
        return max([delivery.ended_at, *cut_ends])

    def out_of_service_periods(self, router: int, server: int) -> list[Period]:
        """Return the periods in which a router knew, or should have known, that a server is draining or removed."""
        return self._out_of_service.get((router, server), [])


def _delays_answer(fault: FaultRecord, delivery: Delivery, group: int) -> bool:
    """Return whether a fault cut a link and so delayed a delivery's answer to a group of routers."""
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


def _outages(ledger: Ledger) -> dict[int, list[Period]]:
    """Return when each router was down or stopped by a fault, or had crashed, which violates another rule."""
    periods: dict[int, list[Period]] = defaultdict(list)
    first_events: dict[int, RouterEvent] = {}
    for event in sorted(ledger.router_events, key=lambda e: e.at):
        if event.kind in ("killed", "stopped", "crashed", KILLED_AFTER_TERM):
            first_events.setdefault(event.router, event)
        elif event.kind in ("up", "continued") and event.router in first_events:
            periods[event.router].append(_outage(first_events.pop(event.router), event.at))
    for router, first in first_events.items():
        periods[router].append(_outage(first, FOREVER))
    return dict(periods)


def _outage(first: RouterEvent, ended_at: float) -> Period:
    return Period(first.at, ended_at, was_after_sigterm=first.kind == KILLED_AFTER_TERM)


def _shutdowns(ledger: Ledger) -> dict[int, list[Period]]:
    """Return when each router was shutting down, from SIGTERM to its exit."""
    periods: dict[int, list[Period]] = defaultdict(list)
    started_at: dict[int, float] = {}
    for event in sorted(ledger.router_events, key=lambda e: e.at):
        if event.kind == "terminating":
            started_at[event.router] = event.at
        elif event.kind in ("exited", KILLED_AFTER_TERM) and event.router in started_at:
            periods[event.router].append(Period(started_at.pop(event.router), event.at))
    return dict(periods)


def _out_of_service_periods(scenario: Scenario, ledger: Ledger) -> dict[tuple[int, int], list[Period]]:
    """Return for each (router, server) when the router knew, or should have known, that it is out of service."""
    changes: dict[tuple[int, int], list[_StatusChange]] = defaultdict(list)
    for notification in ledger.notifications:
        change = _StatusChange(notification.at, notification.status != IN_SERVICE)
        changes[(notification.router, notification.server)].append(change)
    for server, at in _overdue_notifications(scenario, ledger):
        for router in range(scenario.routers.count):
            changes[(router, server)].append(_StatusChange(at, True))
    return {key: _periods_out_of_service(sorted(key_changes)) for key, key_changes in changes.items()}


def _overdue_notifications(scenario: Scenario, ledger: Ledger) -> list[tuple[int, float]]:
    """Return each server that went out of service, with the time from which on every router counts as notified."""
    notification_delay_ms = scenario.rules.notified_within_ms
    listed: dict[int, list[_StatusChange]] = defaultdict(list)
    for event in sorted(ledger.server_events, key=lambda e: e.at):
        if event.kind.startswith(LISTED_PREFIX):
            listed[event.server].append(_StatusChange(event.at, event.kind != LISTED_PREFIX + IN_SERVICE))
    overdue = []
    for server, changes in listed.items():
        for change, following in zip(changes, [*changes[1:], None], strict=True):
            # A change that is followed by another one within this delay need not have reached the routers.
            if change.is_out_of_service and (following is None or following.at > change.at + notification_delay_ms):
                overdue.append((server, change.at + notification_delay_ms))
    return overdue


def _periods_out_of_service(changes: list[_StatusChange]) -> list[Period]:
    periods = []
    began_at: float | None = None
    for change in changes:
        if change.is_out_of_service and began_at is None:
            began_at = change.at
        elif not change.is_out_of_service and began_at is not None:
            periods.append(Period(began_at, change.at))
            began_at = None
    if began_at is not None:
        periods.append(Period(began_at, FOREVER))
    return periods
