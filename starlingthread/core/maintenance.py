"""The cache servers that operators have put in maintenance, by their names in discovery.

What holds is in one small file, so that it outlives an upgrade and binds both processes during one. Without a folder,
or where it fails, the process's own memory holds it.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from ..logs import log

FILE_NAME = "starlingthread.excluded"
VERSION = 1
MAX_SIZE = 1 << 20  # bytes of a file that we read
TRIES = 50  # for the lock, which is held for microseconds; who holds it longer stands still and is not waited for


class Held(msgspec.Struct, forbid_unknown_fields=True):
    """The file."""

    version: int
    excluded: list[str]


class MaintenanceSet:
    """The names, and whoever wants to hear when one comes or goes."""

    def __init__(self, folder: Path | None, on_change: Callable[[str, bool], None]) -> None:
        self.names: set[str] = set()
        self._path = folder / FILE_NAME if folder is not None else None
        self._on_change = on_change
        self._seen: tuple[int, int, int] | None = None  # what the file looked like when it was read last

    def reload_if_changed(self) -> None:
        """Take in what another process has written, or one before us."""
        if self._path is not None and self._looks() != self._seen:
            self._take(self._read())

    def set_maintenance(self, name: str, out: bool) -> None:
        """Leave a server out, or let it serve again. It holds when this returns."""
        with self._locked():
            names = self._read() if self._path is not None and self._looks() != self._seen else set(self.names)
            names = names | {name} if out else names - {name}
            if self._path is not None:
                self._write(names)
        self._take(names)

    def _take(self, names: set[str]) -> None:
        gone, come = self.names - names, names - self.names
        self.names = names
        for changed, out in [(n, True) for n in sorted(come)] + [(n, False) for n in sorted(gone)]:
            log.info("maintenance-began" if out else "maintenance-ended", server=changed)
            self._on_change(changed, out)

    # the file

    def _looks(self) -> tuple[int, int, int] | None:
        assert self._path is not None
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def _read(self) -> set[str]:
        """Return the names in the file; what we have if it is gone, torn or not ours."""
        assert self._path is not None
        self._seen = self._looks()
        if self._seen is None:
            return set(self.names)
        try:
            with self._path.open("rb") as file:
                held = msgspec.json.decode(file.read(MAX_SIZE), type=Held)
            if held.version != VERSION:
                raise ValueError(f"version {held.version}")
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.error("maintenance-unreadable", file=str(self._path), why=" ".join(str(error).split()))
            return set(self.names)
        return set(held.excluded)

    def _write(self, names: set[str]) -> None:
        """Write the file whole and rename it, so that nobody ever reads a part of it."""
        assert self._path is not None
        other = self._path.with_name(f"{FILE_NAME}.{os.getpid()}")
        try:
            other.write_bytes(msgspec.json.encode(Held(VERSION, sorted(names))))
            os.replace(other, self._path)
        except OSError as error:
            log.error("maintenance-unwritten", file=str(self._path), why=" ".join(str(error).split()))
        self._seen = self._looks()

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        """Keep the other process of an upgrade from writing between our reading and our writing."""
        handle = -1
        if self._path is not None:
            with contextlib.suppress(OSError):
                handle = os.open(
                    self._path.with_name(f"{FILE_NAME}.lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
                )
        try:
            for _ in range(TRIES if handle >= 0 else 0):
                try:
                    fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except OSError:
                    os.sched_yield()
            yield
        finally:
            if handle >= 0:
                os.close(handle)
