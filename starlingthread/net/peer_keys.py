"""The keys that authenticate the datagrams between routers, read from the files that the operator names."""

from __future__ import annotations

from pathlib import Path

from ..options import MembershipOptions

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64  # what BLAKE2b takes


class PeerKeyError(Exception):
    """A key file is unreadable or holds no valid key; the text says which and why."""


def read_peer_keys(options: MembershipOptions) -> tuple[bytes, ...]:
    """Return the keys, the one that seals first; one empty key if no file is named. Raise a PeerKeyError."""
    file_names = [name for name in (options.key_file, options.old_key_file) if name]
    return tuple(_read_key(name) for name in file_names) or (b"",)


def _read_key(file_name: str) -> bytes:
    try:
        key = Path(file_name).read_bytes().strip()
    except OSError as error:
        raise PeerKeyError(f"{file_name}: {error.strerror}") from None
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise PeerKeyError(f"{file_name}: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, found {len(key)}")
    return key
