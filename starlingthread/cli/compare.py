"""The command ``starlingthread compare``: prints the results of two runs side by side."""

from __future__ import annotations

from pathlib import Path

import click

from .common import EXISTING_FILE, fail, output_console, require_lab


@click.command()
@click.argument("before", type=EXISTING_FILE)
@click.argument("after", type=EXISTING_FILE)
def compare(before: Path, after: Path) -> None:
    """Print the results of two runs side by side.

    One run each cannot tell a difference from noise: run several seeds before drawing a conclusion.

    \b
    Example:
      starlingthread compare before.json after.json
    """
    require_lab()
    from rich.table import Table

    from ..analysis import results
    from ..analysis.comparison import compare as compare_results

    try:
        first = results.read(before)
        second = results.read(after)
    except results.ResultError as error:
        fail(str(error))
    if first.scenario != second.scenario:
        click.echo("note: the two runs are of different scenarios, seeds or settings", err=True)
    table = Table()
    for name in ("figure", str(before), str(after), "ratio"):
        table.add_column(name, justify="left" if name == "figure" else "right")
    for change in compare_results(first, second):
        ratio = "-" if change.ratio is None else f"{change.ratio:.3f}"
        table.add_row(change.name, f"{change.before:.4g}", f"{change.after:.4g}", ratio)
    output_console().print(table)
