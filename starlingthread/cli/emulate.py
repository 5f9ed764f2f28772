"""``starlingthread emulate``: the emulated platform without clients."""

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
    require_lab()
    from ..testbed.errors import RunError
    from ..testbed.run import emulate as hold_platform

    try:
        hold_platform(read_scenario(scenario, settings), folder, routers, seconds, click.echo)
    except RunError as error:
        fail(str(error))
    except KeyboardInterrupt:
        click.echo("ended")
