"""Load oracle: shares the true load of all servers with a baseline router through a memory-mapped file.

It is used for comparisons only and is not part of the platform. The file holds one cell for each server.
"""

from __future__ import annotations

import mmap
import struct
from pathlib import Path

# Name of the environment variable that holds the path of the file.
ORACLE_FILE_VARIABLE = "STARLINGTHREAD_TRUTH"
# Format of one cell: the number of queued and running commands, relative to the slots and their speed.
LOAD_CELL = struct.Struct("=d")
WRITE_PERIOD_S = 0.005


def server_name(number: int) -> str:
    """Return the name of a server in the endpoint list."""
    return f"s-{number:04d}"


def create_oracle_file(path: Path, servers: int) -> None:
    """Create the oracle file with a load of zero for each server."""
    path.write_bytes(bytes(LOAD_CELL.size * servers))


class LoadOracleWriter:
    """Writer of the oracle file; each worker process writes the cells of its own servers."""

    def __init__(self, path: Path) -> None:
        with path.open("r+b") as file:
            self._cells = mmap.mmap(file.fileno(), 0)

    def write(self, server: int, load: float) -> None:
        """Write the load of one server."""
        LOAD_CELL.pack_into(self._cells, server * LOAD_CELL.size, load)
