"""The boxes' true load, in a file shared with a router that is to see it: a yardstick, no part of the platform."""

from __future__ import annotations

import mmap
import struct
from pathlib import Path

VARIABLE = "STARLINGTHREAD_TRUTH"  # the environment's name for the file
CELL = struct.Struct("=d")  # for each box: commands that wait or run, over its slots and its speed
EVERY = 0.005  # s between two looks


def box_name(number: int) -> str:
    """Return the name under which a box is listed."""
    return f"s-{number:04d}"


def lay_out(path: Path, boxes: int) -> None:
    """Make the file."""
    path.write_bytes(bytes(CELL.size * boxes))


class Truth:
    """The writing end; each box has a cell, and each process of boxes writes its own."""

    def __init__(self, path: Path) -> None:
        with path.open("r+b") as file:
            self._cells = mmap.mmap(file.fileno(), 0)

    def write(self, box: int, load: float) -> None:
        """Write down one box's load."""
        CELL.pack_into(self._cells, box * CELL.size, load)
