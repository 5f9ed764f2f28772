"""Runs a scenario with a progress bar, and ends a command with the output files and the exit code of a run."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .common import fail

if TYPE_CHECKING:
    from ..analysis.results import Results
    from ..experiment.scenario import Scenario


def run_with_progress(scenario: Scenario, log_folder: Path | None) -> Results:
    """Run a scenario and return its results; exit with 1 if it cannot be run.

    A progress bar is shown if standard error is a terminal.
    """
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

    from ..testbed.bench import bench
    from ..testbed.errors import RunError

    console = Console(stderr=True)
    with Progress(
        TextColumn("{task.fields[run]}"),
        BarColumn(),
        TimeRemainingColumn(),
        TextColumn("{task.description}"),
        console=console,
        disable=not console.is_terminal,
        transient=True,
    ) as progress_bar:
        run_name = f"{scenario.name}, seed {scenario.seed}"
        task = progress_bar.add_task("starting", total=scenario.length_s, run=run_name)

        def show_progress(done_s: float, length_s: float, phase: str) -> None:
            progress_bar.update(task, completed=done_s, description=phase)

        try:
            return bench(scenario, show_progress, log_folder)
        except RunError as error:
            fail(str(error))


def write_files_and_exit_if_failed(results: Results, json_file: Path | None, report_file: Path | None) -> None:
    """Write the requested output files, and exit with 1 unless the run passed."""
    from ..analysis import report
    from ..analysis import results as results_file

    if json_file is not None:
        results_file.write(results, json_file)
    if report_file is not None:
        report.write(results, report_file)
        click.echo(f"report: {report_file}")
    if not results.passed:
        sys.exit(1)
