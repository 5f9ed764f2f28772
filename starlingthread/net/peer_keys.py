"""The keys that authenticate datagrams between routers, read from the files that the operator configures."""

from __future__ import annotations

from pathlib import Path

from ..options import MembershipOptions

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64  # the longest key that BLAKE2b accepts


class PeerKeyError(Exception):
    """A key file is unreadable or contains no valid key; the text names the file and the reason."""


def read_peer_keys(options: MembershipOptions) -> tuple[bytes, ...]:
    """Return the keys, the one for sending first; one empty key if no file is configured. Raises PeerKeyError."""
    file_names = [name for name in (options.key_file, options.old_key_file) if name]
    return tuple(_read_key(name) for name in file_names) or (b"",)


def _read_key(file_name: str) -> bytes:
    try:
        key = Path(file_name).read_bytes().strip()
    except OSError as error:
        raise PeerKeyError(f"cannot read key file {file_name}: {error.strerror}") from None
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise PeerKeyError(
            f"invalid key in {file_name}: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, found {len(key)}"
        )
    return key
