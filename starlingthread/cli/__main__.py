"""``python -m starlingthread.cli``: the command line where the console script is not installed."""

from .main import main

main(prog_name="starlingthread")
