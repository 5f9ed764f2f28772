"""The judge compares the records of servers, clients and discovery, and reports which rules a run violated.

A server records each command that it received and whether it executed it, so that "executed once, and the client got no
answer" differs from "executed twice". The checks of the rules are in ``rules``; each violation names the rule, the
request, the router and the time. docs/emulator.md describes the rules.
"""

from __future__ import annotations

from collections import Counter

from ..experiment.records import DISCONNECTED, Ledger
from ..experiment.scenario import Scenario
from .evidence import RunEvidence
from .rules import CHECKS, Note
from .verdict import Verdict, Violation

MAX_LISTED_PER_RULE = 200  # the verdict counts all violations of a rule, and lists this many


def judge(scenario: Scenario, ledger: Ledger) -> Verdict:
    """Apply all rules to a run."""
    _end_disconnected_deliveries(ledger)
    run = RunEvidence(scenario, ledger)
    counts: Counter[str] = Counter()
    notes: Counter[str] = Counter()
    listed: list[Violation] = []
    for check in CHECKS:
        for finding in check(run):
            if isinstance(finding, Note):
                notes[finding.text] += 1
                continue
            counts[finding.rule] += 1
            if counts[finding.rule] <= MAX_LISTED_PER_RULE:
                listed.append(finding)
    listed.sort(key=lambda violation: violation.at_s)
    return Verdict(_void_reasons(run), dict(counts), listed, dict(notes))


def _end_disconnected_deliveries(ledger: Ledger) -> None:
    """Set the end of disconnected deliveries that have no end time to the end of the run."""
    for delivery in ledger.deliveries:
        if delivery.outcome == DISCONNECTED and not delivery.ended_at:
            delivery.ended_at = ledger.ended_at


def _void_reasons(run: RunEvidence) -> list[str]:
    """Return the reasons why the run is inconclusive: the test tools themselves were too slow."""
    rules = run.scenario.rules
    ledger = run.ledger
    reasons = []
    late = sum(operation.send_delay_ms > rules.late_send_ms for operation in ledger.operations)
    if ledger.operations and late > rules.max_late_send_share * len(ledger.operations):
        reasons.append(
            f"the load tool fell behind: {late} of {len(ledger.operations)} requests were sent more than "
            f"{rules.late_send_ms:g} ms late; raise machine.load_processes or lower traffic.rate"
        )
    if run.longest_stall_ms > rules.max_stall_ms:
        process = max(ledger.lags, key=lambda name: ledger.lags[name])
        reasons.append(
            f"process {process} stalled for {run.longest_stall_ms:.0f} ms; raise machine.{process.split('-')[0]}"
            f" processes, or run nothing else on these cores"
        )
    if exhausted := ledger.bad_client_outcomes.get("out-of-connections"):
        reasons.append(f"the load tool ran out of connections {exhausted} times; raise machine.load_processes")
    return reasons
