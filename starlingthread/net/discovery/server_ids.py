"""Numeric server ids, derived from the servers' names."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

ID_BYTES = 4


class ServerIds:
    """Derives ids from names alone, so that they are the same at every router and after every restart."""

    def __init__(self) -> None:
        self._by_name: dict[str, int] = {}
        self._assigned: set[int] = set()

    def retain(self, numbers: Collection[int]) -> None:
        """Forget all names but those of these ids. Bounds the memory where servers come and go all day."""
        self._by_name = {name: number for name, number in self._by_name.items() if number in numbers}
        self._assigned = set(self._by_name.values())

    def lookup(self, name: str) -> int | None:
        """Return the id of a name that was assigned and retained, or None."""
        return self._by_name.get(name)

    def assign(self, name: str) -> int:
        """Return the id of a name. On a hash collision the later name is hashed again with another salt."""
        known = self._by_name.get(name)
        if known is not None:
            return known
        salt = 0
        number = _hash(name, salt)
        while number in self._assigned:
            salt += 1
            number = _hash(name, salt)
        self._by_name[name] = number
        self._assigned.add(number)
        return number


def _hash(name: str, salt: int) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=ID_BYTES, salt=b"%d" % salt).digest()
    return int.from_bytes(digest, "big")
