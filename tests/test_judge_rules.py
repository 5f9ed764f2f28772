"""Tests of the judge's rules on hand-written ledgers."""

from __future__ import annotations

from typing import Any

import pytest

from starlingthread.analysis.judge import judge
from starlingthread.experiment.records import (
    ANSWERED,
    DISCONNECTED,
    EXECUTED,
    PENDING,
    ClientAttempt,
    Delivery,
    FaultRecord,
    GreedyRequest,
    Ledger,
    Operation,
    RouterEvent,
)
from starlingthread.experiment.scenario import Scenario
from starlingthread.experiment.scenario_file import parse


def _scenario_and_ledger(effect: str = "once") -> tuple[Scenario, Ledger]:
    scenario = parse(
        f'name = "x"\n[[traffic.classes]]\nname = "w"\nshare = 1.0\neffect = "{effect}"\nwrite = true\n', "x"
    )
    return scenario, Ledger(ended_at=10000.0, operations=[Operation(0, 0, 100.0)])


def test_an_answer_lost_with_its_router_is_not_counted_as_a_second_execution() -> None:
    scenario, ledger = _scenario_and_ledger()
    ledger.attempts = [ClientAttempt("a", 0, 0, 1, 0, 100.0, 300.0, outcome="eof")]
    ledger.router_events = [RouterEvent(0, "killed", 150.0)]
    ledger.deliveries = [Delivery("a", 3, 110.0, 110.0, EXECUTED, DISCONNECTED, 150.0)]
    verdict = judge(scenario, ledger)
    assert not verdict.counts
    assert verdict.notes == {"unanswered by a dead or stopped router": 1, "once: ran, client never heard": 1}
    ledger.deliveries.append(Delivery("a", 4, 120.0, 120.0, EXECUTED, ANSWERED, 160.0))
    assert set(judge(scenario, ledger).counts) == {"once-ran-twice", "once-resent"}


def test_a_running_router_is_not_excused_by_the_fault_of_another() -> None:
    scenario, ledger = _scenario_and_ledger()
    ledger.attempts = [ClientAttempt("a", 0, 0, 1, 0, 100.0, 300.0, outcome="eof")]
    ledger.router_events = [RouterEvent(1, "killed", 150.0), RouterEvent(0, "killed", 2000.0)]
    assert set(judge(scenario, ledger).counts) == {"lost"}


def test_an_idempotent_write_is_not_resent_after_its_idempotency_window() -> None:
    scenario, ledger = _scenario_and_ledger("by_key")
    ledger.attempts = [ClientAttempt("a", 0, 0, 1, 0, 100.0, 9000.0, outcome="failed", answered_at=5000.0)]
    ledger.deliveries = [
        Delivery("a", 3, 110.0, 110.0, EXECUTED, PENDING),
        Delivery("a", 4, 3900.0, 3900.0, EXECUTED, DISCONNECTED, 4990.0),
    ]
    assert not judge(scenario, ledger).counts
    ledger.deliveries[1].first_at = 4300.0
    assert set(judge(scenario, ledger).counts) == {"keyed-late"}


def test_a_slow_load_tool_or_a_stall_voids_the_run() -> None:
    scenario, ledger = _scenario_and_ledger()
    ledger.operations = [
        Operation(number, 0, 100.0, 30.0 if number < 2 else 0.0, "served", 120.0) for number in range(100)
    ]
    assert "fell behind" in judge(scenario, ledger).void[0]
    ledger.operations[0].send_delay_ms = 0.0
    assert not judge(scenario, ledger).void
    ledger.lags = {"servers-0": 500.0}
    assert "servers-0 stalled for 500 ms" in judge(scenario, ledger).void[0]


def _broken_rules(
    router: int = 1, server: int = 0, ended_at: float = 5017.0, direction: str = "from-server"
) -> set[str]:
    """Judge a rejection 3.2 s after the request, while a link to group 1 is cut from 5 s to 9 s."""
    scenario, ledger = _scenario_and_ledger("repeatable")
    ledger.operations = [Operation(0, 0, 4990.0)]
    ledger.attempts = [ClientAttempt("a", 0, 0, 1, router, 4990.0, 3200.0, outcome="busy", answered_at=8187.0)]
    ledger.deliveries = [Delivery("a", server, 4991.0, 4991.0, EXECUTED, ANSWERED, ended_at)]
    ledger.faults = [FaultRecord("cut", "link-cut", 5000.0, 9000.0, "servers 0", (0,), (1,), direction)]
    return set(judge(scenario, ledger).counts)


def test_an_answer_on_a_cut_link_is_in_flight_until_the_cut_ends() -> None:
    assert not _broken_rules()
    assert not _broken_rules(router=4)  # router 4 is in the same group, as there are three zones


@pytest.mark.parametrize("changed", [{"router": 0}, {"server": 1}, {"direction": "to-server"}, {"ended_at": 4999.0}])
def test_a_late_rejection_breaks_a_rule_if_the_cut_link_did_not_delay_the_answer(changed: dict[str, Any]) -> None:
    assert _broken_rules(**changed) == {"held-back"}


@pytest.mark.parametrize(
    ("direction", "router", "began_at", "excused"),
    [
        ("both", 1, 5000.0, True),
        ("to-server", 4, 5000.0, True),
        ("from-server", 1, 5000.0, False),  # a request would have arrived
        ("both", 0, 5000.0, False),  # router 0 is in another group, whose links are not cut
        ("both", 1, 8500.0, False),  # the cut began after the failure
    ],
)
def test_a_request_that_reached_no_server_may_have_waited_for_a_connection_over_a_cut_link(
    direction: str, router: int, began_at: float, excused: bool
) -> None:
    """Guards against a false violation when a connection attempt over a cut link leaves no delivery record.

    In soak seed 1, a ``hold-item`` request failed after 396 ms of 400; by the counters, an attempt was in flight for
    each open request.
    """
    scenario, ledger = _scenario_and_ledger("repeatable")
    ledger.operations = [Operation(0, 0, 4990.0)]
    ledger.attempts = [ClientAttempt("a", 0, 0, 1, router, 4990.0, 3200.0, outcome="failed", answered_at=8187.0)]
    ledger.faults = [FaultRecord("cut", "link-cut", began_at, 9000.0, "servers 0", (0,), (1,), direction)]
    assert (not judge(scenario, ledger).counts) == excused


@pytest.mark.parametrize(
    ("sent_after_term", "delivered", "outcome", "excused"),
    [
        (600.0, False, "eof", True),
        (600.0, True, "eof", False),  # the request was read and forwarded
        (600.0, False, "none", False),  # the connection stayed open without an answer
        (200.0, False, "eof", False),  # connections are not closed this early
        (1200.0, False, "eof", False),  # the router had exited
    ],
)
def test_a_request_may_be_lost_when_shutdown_closes_its_idle_connection(
    sent_after_term: float, delivered: bool, outcome: str, excused: bool
) -> None:
    """Guards against a false violation when a client sends on an idle connection that the router is closing.

    In soak seed 1 this happened to two requests after SIGTERM; by its counters, the router had answered all requests
    that it had read.
    """
    scenario, ledger = _scenario_and_ledger("repeatable")
    sent_at = 5000.0 + sent_after_term
    ledger.attempts = [ClientAttempt("a", 0, 0, 1, 0, sent_at, 3000.0, outcome=outcome)]
    ledger.router_events = [RouterEvent(0, "terminating", 5000.0), RouterEvent(0, "exited", 6000.0)]
    if delivered:
        ledger.deliveries = [Delivery("a", 3, sent_at, sent_at, EXECUTED, DISCONNECTED, 6000.0)]
    assert ("lost" not in judge(scenario, ledger).counts) == excused


GREEDY_ID = "greedy-0-1"


@pytest.mark.parametrize(("delivered_ms", "is_broken"), [(150.0, False), (900.0, True)])
def test_nothing_is_sent_for_a_greedy_client_that_has_left(delivered_ms: float, is_broken: bool) -> None:
    scenario, ledger = _scenario_and_ledger()
    ledger.greedy_request_counts = {"greedy-0": 1}
    ledger.departures = [GreedyRequest(GREEDY_ID, 0, 200.0)]
    ledger.deliveries = [Delivery(GREEDY_ID, 3, delivered_ms, delivered_ms)]
    assert ("lost" in judge(scenario, ledger).counts) == is_broken
    assert "unknown-request" not in judge(scenario, ledger).counts


def test_an_id_that_comes_again_runs_once_unless_its_router_ended() -> None:
    scenario, ledger = _scenario_and_ledger()
    ledger.greedy_request_counts = {"greedy-0": 1}
    ledger.repeated = [GreedyRequest(GREEDY_ID, 0, 300.0)]
    ledger.deliveries = [Delivery(GREEDY_ID, server, at, at, EXECUTED) for server, at in ((3, 110.0), (4, 200.0))]
    assert "once-ran-twice" in judge(scenario, ledger).counts
    ledger.router_events = [RouterEvent(0, "killed", 150.0), RouterEvent(0, "up", 160.0)]
    assert "once-ran-twice" not in judge(scenario, ledger).counts


def test_a_large_write_without_an_answer_in_time_is_lost() -> None:
    scenario, ledger = _scenario_and_ledger()
    ledger.late_writes = [GreedyRequest(GREEDY_ID, 0, 300.0)]
    assert "lost" in judge(scenario, ledger).counts
    ledger.router_events = [RouterEvent(0, "killed", 350.0)]
    assert "lost" not in judge(scenario, ledger).counts
