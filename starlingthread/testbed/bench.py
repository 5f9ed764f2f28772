"""A complete run from scenario to results: executes it, checks it against the rules and reduces its records."""

from __future__ import annotations

from pathlib import Path

from ..analysis.judge import judge
from ..analysis.reduction import reduce
from ..analysis.results import Results
from ..experiment.scenario import Scenario
from .run import Progress, run_scenario


def bench(scenario: Scenario, progress: Progress | None = None, folder: Path | None = None) -> Results:
    """Run a scenario and return its results. Raise a RunError if it cannot be run."""
    outcome = run_scenario(scenario, progress, folder)
    return reduce(scenario, outcome.ledger, outcome.facts, judge(scenario, outcome.ledger))
