"""The command ``starlingthread check-config``: validates a configuration, options or scenario file."""

from __future__ import annotations

import tomllib
from pathlib import Path

import click

from .common import EXISTING_FILE, fail, read_scenario, require_lab


@click.command("check-config")
@click.argument("file", type=EXISTING_FILE)
def check_config(file: Path) -> None:
    """Check whether a FILE is valid: a router's JSON, the operator's TOML or a scenario's TOML.

    \b
    Examples:
      starlingthread check-config deploy/starlingthread.toml
      starlingthread check-config scenarios/shrink.toml
    """
    if file.suffix == ".json":
        _check_router_config(file)
    elif file.suffix != ".toml":
        raise click.BadParameter(f"{file}: expected a .json or .toml file", param_hint="FILE")
    elif _is_scenario(file):
        _check_scenario(file)
    else:
        _check_options(file)


def _check_router_config(file: Path) -> None:
    from ..config import ConfigError, read_config

    try:
        config = read_config(str(file))
    except ConfigError as error:
        fail(str(error))
    click.echo(
        f"{file}: a router's configuration, {len(config.settings.classes)} classes, "
        f"{config.settings.router_count} routers: good"
    )


def _is_scenario(file: Path) -> bool:
    """Return whether a TOML file is a scenario, which unlike an options file has a ``name`` at the top level."""
    try:
        return "name" in tomllib.loads(file.read_text(encoding="utf-8", errors="replace"))
    except tomllib.TOMLDecodeError as error:
        fail(f"{file}: not valid TOML: {error}")


def _check_scenario(file: Path) -> None:
    require_lab()
    scenario = read_scenario(file)
    click.echo(
        f"{file}: scenario {scenario.name!r}, {scenario.fleet.servers} servers, {scenario.routers.count} "
        f"routers, {len(scenario.faults)} faults: good"
    )


def _check_options(file: Path) -> None:
    from .. import options

    try:
        options.read(file)
    except options.OptionsError as error:
        fail(str(error))
    click.echo(f"{file}: the operator's file: good")
