"""``starlingthread bench``: a scenario against real routers, with one or several seeds."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from .common import EXISTING_FILE, OUTPUT_FILE, OUTPUT_FOLDER, read_scenario, require_lab, scenario_settings_option
from .playing import finish, play
from .results_output import print_results, print_spread


@click.command()
@click.argument("scenario", type=EXISTING_FILE)
@click.option("--seed", type=click.IntRange(min=0), help="Another seed than the scenario's own.")
@click.option(
    "--seeds",
    type=click.IntRange(min=1, max=100),
    default=1,
    show_default=True,
    help="Play so many seeds one after another and print the spread.",
)
@click.option("--json", "json_file", type=OUTPUT_FILE, help="Keep the results here.")
@click.option("--report", "report_file", type=OUTPUT_FILE, help="Write an HTML report here, with the data beside it.")
@scenario_settings_option
@click.option("--processes", type=click.IntRange(1, 64), help="Processes for servers, and as many for clients.")
@click.option("--logs", "log_folder", type=OUTPUT_FOLDER, help="Keep the routers' logs here.")
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
    """Play a SCENARIO against real routers and judge what happened.

    Ends with 1 if a rule was broken or the run is void.

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
        played = read_scenario(scenario, settings, seed)
        if offset:
            played = read_scenario(scenario, settings, played.seed + offset)
        runs.append(play(played, log_folder))
        print_results(runs[-1])
    if seeds > 1:
        print_spread(runs)
    finish(runs[-1], json_file, report_file)
    if not all(run.passed for run in runs):
        sys.exit(1)
