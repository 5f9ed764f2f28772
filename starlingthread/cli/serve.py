"""The command ``starlingthread serve``: runs one router in the foreground."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from .common import EXISTING_FILE


@click.command()
@click.option("--config", type=EXISTING_FILE, help="The platform's JSON file; default: the path in LB_CONFIG.")
@click.option("--options", "options_file", type=EXISTING_FILE, help="The operator's own TOML file.")
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
    from ..__main__ import main as run_router

    sys.exit(run_router())
