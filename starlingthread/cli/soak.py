"""The command ``starlingthread soak``: runs scenarios drawn from many seeds against real routers."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .common import OUTPUT_FILE, OUTPUT_FOLDER, output_console, require_lab

if TYPE_CHECKING:
    from ..analysis.soak_result import SoakResult

DEFAULT_LENGTH_S = 14.0


@click.command()
@click.option("--first-seed", type=click.IntRange(min=0), default=1, show_default=True)
@click.option("--seeds", type=click.IntRange(1, 10000), default=50, show_default=True, help="Run this number of seeds.")
@click.option(
    "--length",
    "length_s",
    type=click.FloatRange(12.0, 600.0),
    default=DEFAULT_LENGTH_S,
    show_default=True,
    help="Length of each run in seconds.",
)
@click.option("--json", "json_file", type=OUTPUT_FILE, help="Write the summary to this JSON file.")
@click.option(
    "--logs", "log_folder", type=OUTPUT_FOLDER, help="Write the routers' logs of failed seeds to this folder."
)
def soak(first_seed: int, seeds: int, length_s: float, json_file: Path | None, log_folder: Path | None) -> None:
    """Run scenarios drawn from seeds, which combine restarts, signals, drains, faults and bad clients.

    Exits with 1 if a rule was broken, a router's use of resources grew, or a run is void.

    \b
    Examples:
      starlingthread soak --seeds 50 --json soak.json --logs soak-logs
      starlingthread soak --first-seed 17 --seeds 1
    """
    require_lab()
    from ..analysis import soak_result

    outcomes = []
    for seed in range(first_seed, first_seed + seeds):
        outcome = _run_seed(seed, length_s, log_folder)
        outcomes.append(outcome)
        click.echo(f"{len(outcomes)} of {seeds}: {outcome.summary()}")
        if not outcome.passed:
            _print_findings(outcome)
    _print_table(outcomes)
    if json_file is not None:
        soak_result.write(outcomes, json_file)
    if not all(outcome.passed for outcome in outcomes):
        sys.exit(1)


def _run_seed(seed: int, length_s: float, log_folder: Path | None) -> SoakResult:
    import shutil
    import tempfile

    from ..analysis.soak_result import SoakResult, summarize
    from ..experiment.soak import generate_scenario
    from ..testbed.bench import bench
    from ..testbed.errors import RunError

    scenario = generate_scenario(seed, length_s)
    with tempfile.TemporaryDirectory(prefix="starlingthread-soak-") as temporary:
        logs = Path(temporary) / f"seed-{seed}"
        try:
            outcome = summarize(bench(scenario, folder=logs), length_s)
        except RunError as error:
            outcome = SoakResult.from_testbed_error(scenario, length_s, str(error))
        if log_folder is not None and not outcome.passed:
            shutil.copytree(logs, log_folder / logs.name, dirs_exist_ok=True)
    return outcome


def _print_findings(outcome: SoakResult) -> None:
    for text in outcome.findings:
        click.echo(f"  {text}")
    click.echo(f"  again: {outcome.replay_command}")


def _print_table(outcomes: list[SoakResult]) -> None:
    from rich.table import Table

    passed = sum(outcome.passed for outcome in outcomes)
    void = sum(outcome.is_void for outcome in outcomes)
    table = Table(title=f"{len(outcomes)} seeds: {passed} passed, {len(outcomes) - passed - void} failed, {void} void")
    for name in ("seed", "verdict", "goodput", "requests", "faults", "most memory MB", "most descriptors"):
        table.add_column(name, justify="left" if name in ("verdict", "faults") else "right")
    for outcome in outcomes:
        table.add_row(
            str(outcome.seed),
            outcome.verdict,
            f"{outcome.goodput_share:.3f}",
            str(outcome.requests),
            ", ".join(outcome.faults),
            f"{outcome.peak_memory_mb:.0f}",
            str(outcome.peak_descriptors),
        )
    output_console().print(table)
