"""Shared parts of the commands: parameter types, errors and the reading of scenarios."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

if TYPE_CHECKING:
    from rich.console import Console

    from ..experiment.scenario import Scenario

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
OUTPUT_FILE = click.Path(dir_okay=False, path_type=Path)
OUTPUT_FOLDER = click.Path(file_okay=False, path_type=Path)
OUTPUT_WIDTH_COLUMNS = 110  # width where standard output is not a terminal

scenario_settings_option = click.option(
    "--set", "settings", multiple=True, metavar="KEY=VALUE", help="Change a key of the scenario."
)


def fail(message: str) -> NoReturn:
    """Print an error message as one line on standard error and exit with 1."""
    click.echo(f"starlingthread: {message}", err=True)
    sys.exit(1)


def require_lab() -> None:
    """Exit with 1 unless the packages of the extra 'lab' can be imported."""
    try:
        import aiohttp  # noqa: F401
        import hdrh  # noqa: F401
        import matplotlib  # noqa: F401
        import psutil  # noqa: F401
        import rich  # noqa: F401
        import uvloop  # noqa: F401
    except ImportError as error:
        fail(f"this command needs the extra 'lab' ({error.name} is missing): pip install 'starlingthread[lab]'")


def read_scenario(file: Path, settings: tuple[str, ...] = (), seed: int | None = None) -> Scenario:
    """Return a scenario with some settings ('KEY=VALUE') and the seed overridden; exit with 1 if it is invalid."""
    from ..experiment import scenario_file
    from ..experiment.validation import ScenarioError

    seed_setting = (f"seed={seed}",) if seed is not None else ()
    try:
        return scenario_file.read(file, (*settings, *seed_setting))
    except ScenarioError as error:
        fail(str(error))


def output_console() -> Console:
    """Return a console on standard output, with a fixed width if standard output is not a terminal."""
    from rich.console import Console

    return Console(width=None if sys.stdout.isatty() else OUTPUT_WIDTH_COLUMNS)
