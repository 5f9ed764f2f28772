"""The cache servers that operators have put in maintenance, by their names in discovery.

The names are stored in a small file, so that they survive an upgrade and apply to both processes during one. Without a
folder, or if the file cannot be accessed, the names are kept in the memory of the process only.
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
FORMAT_VERSION = 1
MAX_FILE_BYTES = 1 << 20  # A longer file is read up to here, and is then invalid.
# The lock is held for microseconds. A process that holds it longer hangs, and this one goes on without the lock.
LOCK_ATTEMPTS = 50


class MaintenanceFile(msgspec.Struct, forbid_unknown_fields=True):
    """The content of the maintenance file."""

    version: int
    excluded: list[str]


class FileFingerprint(NamedTuple):
    """Identifies one state of the file, to detect changes to it."""

    inode: int
    modified_ns: int
    size_bytes: int


class MaintenanceSet:
    """The names of the servers in maintenance.

    ``on_change`` is called for each change, with the server's name and whether it is in maintenance now.
    """

    def __init__(self, folder: Path | None, on_change: Callable[[str, bool], None]) -> None:
        self.names: set[str] = set()
        self._path = folder / FILE_NAME if folder is not None else None
        self._on_change = on_change
        # The state of the file when it was last read or written.
        self._loaded_fingerprint: FileFingerprint | None = None

    def reload_if_changed(self) -> None:
        """Apply changes that another process, or an earlier one, has written to the file."""
        if self._path is not None and self._fingerprint(self._path) != self._loaded_fingerprint:
            self._apply(self._read(self._path))

    def set_maintenance(self, name: str, in_maintenance: bool) -> None:
        """Start or end a server's maintenance; the change is in effect when this returns."""
        with self._locked():
            names = set(self.names)
            if self._path is not None and self._fingerprint(self._path) != self._loaded_fingerprint:
                names = self._read(self._path)
            if in_maintenance:
                names.add(name)
            else:
                names.discard(name)
            if self._path is not None:
                self._write(self._path, names)
        self._apply(names)

    def _apply(self, names: set[str]) -> None:
        """Replace the set of names; log each change and report it to ``on_change``."""
        added = sorted(names - self.names)
        removed = sorted(self.names - names)
        self.names = names
        for name in added:
            log.info("maintenance-started", server=name)
            self._on_change(name, True)
        for name in removed:
            log.info("maintenance-ended", server=name)
            self._on_change(name, False)

    # Access to the file.

    @staticmethod
    def _fingerprint(path: Path) -> FileFingerprint | None:
        """Return the fingerprint of the current file, or None if it does not exist."""
        try:
            stat = path.stat()
        except OSError:
            return None
        return FileFingerprint(stat.st_ino, stat.st_mtime_ns, stat.st_size)

    def _read(self, path: Path) -> set[str]:
        """Return the names in the file, or those in memory if the file is missing, incomplete or invalid."""
        self._loaded_fingerprint = self._fingerprint(path)
        if self._loaded_fingerprint is None:
            return set(self.names)
        try:
            with path.open("rb") as file:
                content = msgspec.json.decode(file.read(MAX_FILE_BYTES), type=MaintenanceFile)
            if content.version != FORMAT_VERSION:
                raise ValueError(f"unsupported file format version {content.version}")
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.error("maintenance-read-failed", file=str(path), reason=one_line(error))
            return set(self.names)
        return set(content.excluded)

    def _write(self, path: Path, names: set[str]) -> None:
        """Replace the file atomically, so that no process reads a partially written one."""
        temporary_path = path.with_name(f"{FILE_NAME}.{os.getpid()}")
        try:
            temporary_path.write_bytes(msgspec.json.encode(MaintenanceFile(FORMAT_VERSION, sorted(names))))
            os.replace(temporary_path, path)
        except OSError as error:
            log.error("maintenance-write-failed", file=str(path), reason=one_line(error))
        self._loaded_fingerprint = self._fingerprint(path)

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        """Hold the lock against lost updates: no other process writes the file between this one's read and write.

        Continue without the lock if it cannot be acquired.
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
