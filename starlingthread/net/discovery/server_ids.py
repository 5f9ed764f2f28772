"""Numeric server ids, derived from the names of the servers."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable

ID_BYTES = 4


class ServerIds:
    """Assigns each server an id that depends only on names, so it is the same at every router and after a restart."""

    def __init__(self) -> None:
        self._by_name: dict[str, int] = {}
        self._assigned: set[int] = set()

    def retain(self, server_ids: Collection[int]) -> None:
        """Remove all names except those of these ids. Bounds the memory use while servers are added and removed."""
        self._by_name = {name: server_id for name, server_id in self._by_name.items() if server_id in server_ids}
        self._assigned = set(self._by_name.values())

    def items(self) -> Iterable[tuple[str, int]]:
        """Return the names and their ids."""
        return self._by_name.items()

    def lookup(self, name: str) -> int | None:
        """Return the id of a name, or None if it was not assigned or not retained."""
        return self._by_name.get(name)

    def assign(self, name: str) -> int:
        """Return the id of a name. On a hash collision the name assigned later is hashed again with another salt."""
        known_id = self._by_name.get(name)
        if known_id is not None:
            return known_id
        salt = 0
        server_id = _hash(name, salt)
        while server_id in self._assigned:
            salt += 1
            server_id = _hash(name, salt)
        self._by_name[name] = server_id
        self._assigned.add(server_id)
        return server_id


def _hash(name: str, salt: int) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=ID_BYTES, salt=b"%d" % salt).digest()
    return int.from_bytes(digest, "big")
