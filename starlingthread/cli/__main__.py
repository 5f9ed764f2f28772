"""Runs the command line as ``python -m starlingthread.cli``, for use where the console script is not installed."""

from .main import main

main(prog_name="starlingthread")
