"""The command ``starlingthread bench``: runs a scenario against real routers, with one or several seeds."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from .common import EXISTING_FILE, OUTPUT_FILE, OUTPUT_FOLDER, read_scenario, require_lab, scenario_settings_option
from .results_output import print_results, print_spread
from .scenario_run import run_with_progress, write_files_and_exit_if_failed


@click.command()
@click.argument("scenario", type=EXISTING_FILE)
@click.option("--seed", type=click.IntRange(min=0), help="Use this seed instead of the scenario's.")
@click.option(
    "--seeds",
    type=click.IntRange(min=1, max=100),
    default=1,
    show_default=True,
    help="Run this number of seeds one after another and print the spread.",
)
@click.option("--json", "json_file", type=OUTPUT_FILE, help="Write the results to this JSON file.")
@click.option(
    "--report", "report_file", type=OUTPUT_FILE, help="Write an HTML report to this file, and the data next to it."
)
@scenario_settings_option
@click.option("--processes", type=click.IntRange(1, 64), help="Number of server processes, and of client processes.")
@click.option("--logs", "log_folder", type=OUTPUT_FOLDER, help="Write the routers' logs to this folder.")
def bench(
    scenario: Path,
    seed: int | None,
    seeds: int,
    json_file: Path | None,
    report_file: Path | None,
    settings: tuple[str, ...],
    processes: int | None,
    log_folder: Path | None,
) -> None:
    """Run a SCENARIO against real routers and check the outcome against the rules.

    Exits with 1 if a rule was broken or the run is void.

    \b
    Examples:
      starlingthread bench scenarios/slow.toml
      starlingthread bench scenarios/calm.toml --seed 7 --json a.json --report a.html
      starlingthread bench scenarios/calm.toml --set traffic.rate=900 --set routers.count=5
    """
    require_lab()
    if processes is not None:
        settings = (*settings, f"machine.server_processes={processes}", f"machine.load_processes={processes}")
    runs = []
    for offset in range(seeds):
        seeded_scenario = read_scenario(scenario, settings, seed)
        if offset:
            seeded_scenario = read_scenario(scenario, settings, seeded_scenario.seed + offset)
        runs.append(run_with_progress(seeded_scenario, log_folder))
        print_results(runs[-1])
    if seeds > 1:
        print_spread(runs)
    write_files_and_exit_if_failed(runs[-1], json_file, report_file)
    if not all(run.passed for run in runs):
        sys.exit(1)
