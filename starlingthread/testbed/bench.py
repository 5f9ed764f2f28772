"""A run from scenario to results: played, judged, reduced."""

from __future__ import annotations

from pathlib import Path

from ..analysis.judge import judge
from ..analysis.reduction import reduce
from ..analysis.results import Results
from ..experiment.scenario import Scenario
from .run import Progress, run_scenario


def bench(scenario: Scenario, progress: Progress | None = None, folder: Path | None = None) -> Results:
    """Play a scenario and return its results. Raise a RunError if it can't be played."""
    outcome = run_scenario(scenario, progress, folder)
    return reduce(scenario, outcome.ledger, outcome.facts, judge(scenario, outcome.ledger))
