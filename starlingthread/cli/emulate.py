"""The command ``starlingthread emulate``: runs the emulated platform without clients."""

from __future__ import annotations

from pathlib import Path

import click

from .common import EXISTING_FILE, OUTPUT_FOLDER, fail, read_scenario, require_lab, scenario_settings_option


@click.command()
@click.argument("scenario", type=EXISTING_FILE)
@scenario_settings_option
@click.option(
    "--folder",
    type=OUTPUT_FOLDER,
    default=Path("emulated"),
    show_default=True,
    help="Write the routers' configurations to this folder.",
)
@click.option("--routers/--no-routers", default=False, show_default=True, help="Also start the routers.")
@click.option(
    "--for", "seconds", type=click.FloatRange(min=0.1), help="Stop after this number of seconds; otherwise on Ctrl-C."
)
def emulate(scenario: Path, settings: tuple[str, ...], folder: Path, routers: bool, seconds: float | None) -> None:
    """Start the platform of a SCENARIO on loopback, without clients, and inject its faults.

    Prints the addresses of all parts, and writes a configuration for each router, to be started manually.

    \b
    Example:
      starlingthread emulate scenarios/calm.toml --folder emulated
      LB_CONFIG=emulated/r0.json python -m starlingthread
    """
    require_lab()
    from ..testbed.errors import RunError
    from ..testbed.run import emulate as emulate_platform

    try:
        emulate_platform(read_scenario(scenario, settings), folder, routers, seconds, click.echo)
    except RunError as error:
        fail(str(error))
    except KeyboardInterrupt:
        click.echo("ended")
