"""The servers' true load, in a file shared with a router that is to see it: a baseline, no part of the platform."""

from __future__ import annotations

import mmap
import struct
from pathlib import Path

ORACLE_FILE_VARIABLE = "STARLINGTHREAD_TRUTH"  # the environment's name for the file
LOAD_CELL = struct.Struct("=d")  # for each server: commands that wait or run, over its slots and its speed
WRITE_PERIOD_S = 0.005  # s between two looks


def server_name(number: int) -> str:
    """Return the name under which a server is listed."""
    return f"s-{number:04d}"


def create_oracle_file(path: Path, servers: int) -> None:
    """Make the file."""
    path.write_bytes(bytes(LOAD_CELL.size * servers))


class LoadOracleWriter:
    """The writing end; each server has a cell, and each process of servers writes its own."""

    def __init__(self, path: Path) -> None:
        with path.open("r+b") as file:
            self._cells = mmap.mmap(file.fileno(), 0)

    def write(self, server: int, load: float) -> None:
        """Write down one server's load."""
        LOAD_CELL.pack_into(self._cells, server * LOAD_CELL.size, load)
