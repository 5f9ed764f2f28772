"""The command ``starlingthread demo``: runs a small emulated fleet for a short time and writes a report."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .common import OUTPUT_FILE, require_lab
from .results_output import print_results
from .scenario_run import run_with_progress, write_files_and_exit_if_failed

if TYPE_CHECKING:
    from ..experiment.scenario import Scenario

DEMO_SCENARIO = """
name = "demo"
about = "Half a minute over nine servers and three routers; two servers turn six times slower for ten seconds."
length_s = 30.0
[traffic]
rate = 500.0
[[faults]]
kind = "slow"
name = "two slow servers"
start_s = 10.0
length_s = 10.0
strength = 6.0
part = 0.2
"""


@click.command()
@click.option("--report", "report_file", type=OUTPUT_FILE, default=Path("demo.html"), show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(min=4.0, max=600.0), help="Length of the run; the fault scales with it."
)
def demo(report_file: Path, seconds: float | None) -> None:
    """Run a small emulated fleet with three routers, half a minute of traffic and one fault."""
    require_lab()
    results = run_with_progress(_demo_scenario(seconds), None)
    print_results(results)
    write_files_and_exit_if_failed(results, None, report_file)


def _demo_scenario(seconds: float | None) -> Scenario:
    """Return the demo's scenario; if a length is given, the fault takes up the middle third of the run."""
    import msgspec

    from ..experiment.scenario import Scenario
    from ..experiment.validation import validate

    raw: dict[str, Any] = tomllib.loads(DEMO_SCENARIO)
    if seconds is not None:
        raw["length_s"] = seconds
        fault = raw["faults"][0]
        fault["start_s"] = seconds / 3
        fault["length_s"] = seconds / 3
    return validate(msgspec.convert(raw, Scenario), "demo")
