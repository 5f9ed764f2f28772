"""The servers' true load, shared through a file with a baseline router that is to know it.

It serves comparisons only and is no part of the platform. The file has one cell for each server.
"""

from __future__ import annotations

import mmap
import struct
from pathlib import Path

ORACLE_FILE_VARIABLE = "STARLINGTHREAD_TRUTH"  # the environment variable with the path of the file
LOAD_CELL = struct.Struct("=d")  # queued and running commands, relative to the slots and their speed
WRITE_PERIOD_S = 0.005


def server_name(number: int) -> str:
    """Return the name under which discovery lists a server."""
    return f"s-{number:04d}"


def create_oracle_file(path: Path, servers: int) -> None:
    """Create the file with a load of zero for each server."""
    path.write_bytes(bytes(LOAD_CELL.size * servers))


class LoadOracleWriter:
    """The writing end of the file; each process of servers writes the cells of its own ones."""

    def __init__(self, path: Path) -> None:
        with path.open("r+b") as file:
            self._cells = mmap.mmap(file.fileno(), 0)

    def write(self, server: int, load: float) -> None:
        """Write the load of one server."""
        LOAD_CELL.pack_into(self._cells, server * LOAD_CELL.size, load)
