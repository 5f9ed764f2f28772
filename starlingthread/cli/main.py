"""``starlingthread``: serve, check, emulate, bench, compare, demo.

Exit codes: 0 all is well; 1 the result fails (a broken rule, a void run, a bad file); 2 misuse. What needs the extra
``lab`` imports it inside its command, so that ``serve`` stays as light as ``python -m starlingthread``.
"""

from __future__ import annotations

import os
import sys
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

from .. import __version__

if TYPE_CHECKING:
    from ..analysis.results import Results
    from ..experiment.scenario import Scenario

EXISTING = click.Path(exists=True, dir_okay=False, path_type=Path)
FILE = click.Path(dir_okay=False, path_type=Path)
MANY_ROUTERS = 10  # more are not told one by one


def fail(text: str) -> NoReturn:
    """End with 1 and one plain line."""
    click.echo(f"starlingthread: {text}", err=True)
    sys.exit(1)


def _need_lab() -> None:
    try:
        import aiohttp  # noqa: F401
        import hdrh  # noqa: F401
        import matplotlib  # noqa: F401
        import psutil  # noqa: F401
        import rich  # noqa: F401
        import uvloop  # noqa: F401
    except ImportError as error:
        fail(f"this command needs the extra 'lab' ({error.name} is missing): pip install 'starlingthread[lab]'")


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(__version__, prog_name="starlingthread")
def main() -> None:
    """A router for fleets of cache servers, and the tools to try it.

    \b
    Examples:
      starlingthread demo
      starlingthread bench scenarios/calm.toml --seed 7 --report out/calm.html
      starlingthread serve --config config.json
    """


@main.command()
@click.option("--config", type=EXISTING, help="The platform's JSON file; LB_CONFIG names it otherwise.")
@click.option("--options", "options_file", type=EXISTING, help="The operator's own TOML file.")
def serve(config: Path | None, options_file: Path | None) -> None:
    """Run one router in the foreground.

    \b
    Example:
      starlingthread serve --config config.json --options deploy/starlingthread.toml
    """
    if config is not None:
        os.environ["LB_CONFIG"] = str(config)
    if options_file is not None:
        os.environ["STARLINGTHREAD_OPTIONS"] = str(options_file)
    if not os.environ.get("LB_CONFIG"):
        raise click.UsageError("no configuration: give --config FILE or set LB_CONFIG")
    from ..__main__ import main as run

    sys.exit(run())


@main.command("check-config")
@click.argument("file", type=EXISTING)
def check_config(file: Path) -> None:
    """Tell whether a FILE is good: a router's JSON, the operator's TOML or a scenario's TOML.

    \b
    Examples:
      starlingthread check-config deploy/starlingthread.toml
      starlingthread check-config scenarios/shrink.toml
    """
    from .. import options
    from ..config import ConfigError, read_config

    if file.suffix == ".json":
        try:
            config = read_config(str(file))
        except ConfigError as error:
            fail(str(error))
        click.echo(
            f"{file}: a router's configuration, {len(config.settings.classes)} classes, "
            f"{config.settings.router_count} routers: good"
        )
        return
    if file.suffix != ".toml":
        raise click.BadParameter(f"{file}: expected a .json or .toml file", param_hint="FILE")
    try:
        is_scenario = "name" in tomllib.loads(file.read_text(encoding="utf-8", errors="replace"))
    except tomllib.TOMLDecodeError as error:
        fail(f"{file}: not valid TOML: {error}")
    if is_scenario:
        _need_lab()
        scenario = _scenario(file, (), None)
        click.echo(
            f"{file}: scenario {scenario.name!r}, {scenario.fleet.servers} servers, {scenario.routers.count} "
            f"routers, {len(scenario.faults)} faults: good"
        )
        return
    try:
        options.read(file)
    except options.OptionsError as error:
        fail(str(error))
    click.echo(f"{file}: the operator's file: good")


def _scenario(file: Path, settings: tuple[str, ...], seed: int | None) -> Scenario:
    from ..experiment import scenario

    try:
        return scenario.read(file, (*settings, *([f"seed={seed}"] if seed is not None else [])))
    except scenario.ScenarioError as error:
        fail(str(error))


def _bench(scenario: Scenario, folder: Path | None) -> Results:
    """Play a scenario with a progress bar, none when standard error is no terminal."""
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

    from ..testbed.bench import bench as play
    from ..testbed.run import RunError

    console = Console(stderr=True)
    with Progress(
        TextColumn("{task.fields[run]}"),
        BarColumn(),
        TimeRemainingColumn(),
        TextColumn("{task.description}"),
        console=console,
        disable=not console.is_terminal,
        transient=True,
    ) as bar:
        task = bar.add_task("starting", total=scenario.length_s, run=f"{scenario.name}, seed {scenario.seed}")

        def progress(done: float, whole: float, what: str) -> None:
            bar.update(task, completed=done, description=what)

        try:
            return play(scenario, progress, folder)
        except RunError as error:
            fail(str(error))


def _show(results: Results) -> None:
    """Print the table of a run: classes, routers, rules."""
    from rich.console import Console
    from rich.table import Table

    console = Console(width=None if sys.stdout.isatty() else 110)
    table = Table(
        title=f"{results.scenario.name}, seed {results.scenario.seed}: "
        f"{100 * results.worth_share:.1f}% of the worth served"
    )
    for name in ("class", "requests", "in time", "late", "refused", "failed", "worth", "p50 ms", "p99", "p99.9"):
        table.add_column(name, justify="left" if name == "class" else "right")
    for cls in results.classes:
        figures = [f"{cls.percentiles[p]:.1f}" if p in cls.percentiles else "-" for p in ("50", "99", "99.9")]
        table.add_row(
            cls.name,
            *map(str, (cls.offered, cls.in_time, cls.late, cls.refused, cls.failed)),
            f"{cls.worth_share:.3f}",
            *figures,
        )
    console.print(table)
    if (even := results.evenness) is not None:
        console.print(
            f"servers: busiest {even.busiest_1s:.2f} of its part in 1 s, {even.busiest_10s:.2f} in 10 s, "
            f"least {even.least:.2f}, {even.idle_servers} idle at times, herd index "
            f"{even.herd_index:.2f}, period {even.period_s:g} s, owners differ {even.owners_differ:.3f}, "
            f"{even.connections:.0f} connections",
            highlight=False,
        )
    busiest = sorted(results.routers, key=lambda r: -r.requests)[:MANY_ROUTERS]
    if len(busiest) < len(results.routers):
        console.print(f"the {len(busiest)} busiest of {len(results.routers)} routers:", highlight=False)
    for router in busiest:
        console.print(
            f"{router.name}: {router.requests} requests, {router.cpu_us_per_request:.0f} µs of CPU each, "
            f"{router.memory_mb_most:.1f} MB, {router.descriptors_most} descriptors",
            highlight=False,
        )
    for fault in results.faults:
        console.print(
            f"fault {fault.label}: {fault.began_at:.1f} to {fault.ended_at:.1f} s {fault.target}", highlight=False
        )
    for why in results.verdict.void:
        console.print(f"VOID: {why}", style="bold red", highlight=False)
    for violation in results.verdict.violations[:20]:
        console.print(
            f"BROKEN {violation.rule} at {violation.at_s} s, router {violation.router}, request "
            f"{violation.request or '-'}: {violation.text}",
            style="red",
            highlight=False,
        )
    if results.verdict.counts:
        counts = ", ".join(f"{name} {count}" for name, count in results.verdict.counts.items())
        console.print(f"rules broken: {counts}", style="bold red", highlight=False)
    elif not results.verdict.void:
        console.print("no rule broken", style="green")


def _finish(results: Results, json_file: Path | None, report_file: Path | None) -> None:
    from ..analysis import report
    from ..analysis import results as kept

    if json_file is not None:
        kept.write(results, json_file)
    if report_file is not None:
        report.write(results, report_file)
        click.echo(f"report: {report_file}")
    if not results.passed:
        sys.exit(1)


def _runs(many: list[Results]) -> None:
    """Print the spread over several seeds."""
    import numpy as np

    shares = [r.worth_share for r in many]
    broken, void = sum(sum(r.verdict.counts.values()) for r in many), sum(bool(r.verdict.void) for r in many)
    click.echo(
        f"{many[0].scenario.name}: worth {np.mean(shares):.4f}, from {min(shares):.4f} to {max(shares):.4f} "
        f"over {len(many)} seeds; rules broken {broken}, void {void}"
    )


@main.command()
@click.argument("scenario", type=EXISTING)
@click.option("--seed", type=click.IntRange(min=0), help="Another seed than the scenario's own.")
@click.option(
    "--seeds",
    type=click.IntRange(min=1, max=100),
    default=1,
    show_default=True,
    help="Play so many seeds one after another and print the spread.",
)
@click.option("--json", "json_file", type=FILE, help="Keep the results here.")
@click.option("--report", "report_file", type=FILE, help="Write an HTML report here, with the data beside it.")
@click.option("--set", "settings", multiple=True, metavar="KEY=VALUE", help="Change a key of the scenario.")
@click.option("--processes", type=click.IntRange(1, 64), help="Processes for servers, and as many for clients.")
@click.option("--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep the routers' logs here.")
def bench(
    scenario: Path,
    seed: int | None,
    seeds: int,
    json_file: Path | None,
    report_file: Path | None,
    settings: tuple[str, ...],
    processes: int | None,
    logs: Path | None,
) -> None:
    """Play a SCENARIO against real routers and judge what happened.

    Ends with 1 if a rule was broken or the run is void.

    \b
    Examples:
      starlingthread bench scenarios/slow.toml
      starlingthread bench scenarios/calm.toml --seed 7 --json a.json --report a.html
      starlingthread bench scenarios/calm.toml --set traffic.rate=900 --set routers.count=5
    """
    _need_lab()
    if processes is not None:
        settings = (*settings, f"machine.server_processes={processes}", f"machine.load_processes={processes}")
    many = []
    for turn in range(seeds):
        first = _scenario(scenario, settings, seed)
        played = _scenario(scenario, settings, first.seed + turn) if turn else first
        many.append(_bench(played, logs))
        _show(many[-1])
    if seeds > 1:
        _runs(many)
        if any(not r.passed for r in many[:-1]):
            _finish(many[-1], json_file, report_file)
            sys.exit(1)
    _finish(many[-1], json_file, report_file)


@main.command()
@click.argument("before", type=EXISTING)
@click.argument("after", type=EXISTING)
def compare(before: Path, after: Path) -> None:
    """Put the results of two runs beside each other.

    One run each tells no difference from noise: play several seeds before believing one.

    \b
    Example:
      starlingthread compare before.json after.json
    """
    _need_lab()
    from rich.console import Console
    from rich.table import Table

    from ..analysis import results

    try:
        first, second = results.read(before), results.read(after)
    except results.ResultError as error:
        fail(str(error))
    if first.scenario != second.scenario:
        click.echo("note: the two runs are of different scenarios, seeds or settings", err=True)
    table = Table()
    for name in ("figure", str(before), str(after), "ratio"):
        table.add_column(name, justify="left" if name == "figure" else "right")
    for change in results.compare(first, second):
        ratio = "-" if change.ratio is None else f"{change.ratio:.3f}"
        table.add_row(change.name, f"{change.before:.4g}", f"{change.after:.4g}", ratio)
    Console(width=None if sys.stdout.isatty() else 110).print(table)


@main.command()
@click.argument("scenario", type=EXISTING)
@click.option("--set", "settings", multiple=True, metavar="KEY=VALUE", help="Change a key of the scenario.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("emulated"),
    show_default=True,
    help="Where the routers' configurations go.",
)
@click.option("--routers/--no-routers", default=False, show_default=True, help="Start the routers as well.")
@click.option("--for", "seconds", type=click.FloatRange(min=0.1), help="End after so many seconds; else on Ctrl-C.")
def emulate(scenario: Path, settings: tuple[str, ...], folder: Path, routers: bool, seconds: float | None) -> None:
    """Bring up the platform of a SCENARIO on loopback, without clients, and play its faults.

    Prints where everything listens, and writes a configuration for each router, to be started by hand.

    \b
    Example:
      starlingthread emulate scenarios/calm.toml --folder emulated
      LB_CONFIG=emulated/r0.json python -m starlingthread
    """
    _need_lab()
    from ..testbed.run import RunError, emulate

    try:
        emulate(_scenario(scenario, settings, None), folder, routers, seconds, click.echo)
    except RunError as error:
        fail(str(error))
    except KeyboardInterrupt:
        click.echo("ended")


DEMO = """
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


@main.command()
@click.option("--report", "report_file", type=FILE, default=Path("demo.html"), show_default=True)
@click.option("--seconds", type=click.FloatRange(min=4.0, max=600.0), help="Another length; the fault moves with it.")
def demo(report_file: Path, seconds: float | None) -> None:
    """Start a small emulated fleet, three routers and half a minute of traffic with one fault in it."""
    _need_lab()
    from ..experiment import scenario

    raw: dict[str, Any] = tomllib.loads(DEMO)
    if seconds is not None:
        fault = raw["faults"][0]
        fault["start_s"], fault["length_s"] = seconds / 3, seconds / 3
        raw["length_s"] = seconds
    import msgspec

    results = _bench(scenario.check(msgspec.convert(raw, scenario.Scenario), "demo"), None)
    _show(results)
    _finish(results, None, report_file)


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script of a SHELL.

    \b
    Example:
      starlingthread completion bash >> ~/.bashrc
    """
    from click.shell_completion import get_completion_class

    kind = get_completion_class(shell)
    assert kind is not None
    click.echo(kind(main, {}, "starlingthread", "_STARLINGTHREAD_COMPLETE").source())
