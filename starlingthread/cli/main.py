"""The command group ``starlingthread``."""

from __future__ import annotations

import click

from .. import __version__
from .bench import bench
from .check_config import check_config
from .compare import compare
from .demo import demo
from .emulate import emulate
from .serve import serve
from .soak import soak


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(__version__, prog_name="starlingthread")
def main() -> None:
    """A router for fleets of cache servers, and tools to test it.

    \b
    Examples:
      starlingthread demo
      starlingthread bench scenarios/calm.toml --seed 7 --report out/calm.html
      starlingthread serve --config config.json
    """


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script of a SHELL.

    \b
    Example:
      starlingthread completion bash >> ~/.bashrc
    """
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(main, {}, "starlingthread", "_STARLINGTHREAD_COMPLETE").source())


for command in (serve, check_config, bench, soak, compare, emulate, demo):
    main.add_command(command)
