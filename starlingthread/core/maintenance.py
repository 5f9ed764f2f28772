"""The cache servers that operators have put in maintenance, by their names in discovery.

They are stored in one small file, so that the set survives an upgrade and binds both processes during one. Without a
folder, or where it fails, the set is kept in the process's memory only.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from ..logs import log, one_line

FILE_NAME = "starlingthread.excluded"
VERSION = 1
MAX_SIZE = 1 << 20  # bytes of a file that we read
LOCK_ATTEMPTS = 50  # it is held for microseconds; a process that holds it longer hangs and is not waited for


class MaintenanceFile(msgspec.Struct, forbid_unknown_fields=True):
    """Content of the file."""

    version: int
    excluded: list[str]


class FileStamp(NamedTuple):
    """What identifies a version of the file."""

    inode: int
    modified: int  # ns
    size: int  # bytes


class MaintenanceSet:
    """The names of the servers in maintenance; on_change is called with a name and whether it is in maintenance now."""

    def __init__(self, folder: Path | None, on_change: Callable[[str, bool], None]) -> None:
        self.names: set[str] = set()
        self._path = folder / FILE_NAME if folder is not None else None
        self._on_change = on_change
        self._loaded: FileStamp | None = None  # the version of the file that was read or written last

    def reload_if_changed(self) -> None:
        """Apply what another process has written to the file, or one before us."""
        if self._path is not None and self._stamp(self._path) != self._loaded:
            self._apply(self._read(self._path))

    def set_maintenance(self, name: str, in_maintenance: bool) -> None:
        """Put a server in maintenance or take it out. It is in force when this returns."""
        with self._locked():
            names = set(self.names)
            if self._path is not None and self._stamp(self._path) != self._loaded:
                names = self._read(self._path)
            if in_maintenance:
                names.add(name)
            else:
                names.discard(name)
            if self._path is not None:
                self._write(self._path, names)
        self._apply(names)

    def _apply(self, names: set[str]) -> None:
        """Replace the set, and log and report each change."""
        added = sorted(names - self.names)
        removed = sorted(self.names - names)
        self.names = names
        for name in added:
            log.info("maintenance-started", server=name)
            self._on_change(name, True)
        for name in removed:
            log.info("maintenance-ended", server=name)
            self._on_change(name, False)

    # the file

    @staticmethod
    def _stamp(path: Path) -> FileStamp | None:
        """Return the current version of the file, None if there is none."""
        try:
            stat = path.stat()
        except OSError:
            return None
        return FileStamp(stat.st_ino, stat.st_mtime_ns, stat.st_size)

    def _read(self, path: Path) -> set[str]:
        """Return the names in the file; those in memory if it is missing, incomplete or invalid."""
        self._loaded = self._stamp(path)
        if self._loaded is None:
            return set(self.names)
        try:
            with path.open("rb") as file:
                content = msgspec.json.decode(file.read(MAX_SIZE), type=MaintenanceFile)
            if content.version != VERSION:
                raise ValueError(f"version {content.version}")
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.error("maintenance-read-failed", file=str(path), reason=one_line(error))
            return set(self.names)
        return set(content.excluded)

    def _write(self, path: Path, names: set[str]) -> None:
        """Replace the file atomically, so that nobody ever reads a part of it."""
        temporary = path.with_name(f"{FILE_NAME}.{os.getpid()}")
        try:
            temporary.write_bytes(msgspec.json.encode(MaintenanceFile(VERSION, sorted(names))))
            os.replace(temporary, path)
        except OSError as error:
            log.error("maintenance-write-failed", file=str(path), reason=one_line(error))
        self._loaded = self._stamp(path)

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        """Keep the other process of an upgrade from writing between our reading and our writing.

        Goes on without the lock if that can't be had.
        """
        descriptor = self._open_lock()
        if descriptor is None:
            yield
            return
        try:
            self._lock(descriptor)
            yield
        finally:
            os.close(descriptor)

    def _open_lock(self) -> int | None:
        if self._path is None:
            return None
        lock_path = self._path.with_name(f"{FILE_NAME}.lock")
        try:
            return os.open(lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError:
            return None

    @staticmethod
    def _lock(descriptor: int) -> None:
        for _ in range(LOCK_ATTEMPTS):
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return
            except OSError:
                os.sched_yield()
