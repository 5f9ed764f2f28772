"""Messages between the coordinator of a run and its worker processes.

Each message is encoded as a MessagePack array whose first element is the tag of its type.
"""

from __future__ import annotations

from typing import Any

import msgspec


class Hello(msgspec.Struct, array_like=True, frozen=True, tag="hello"):
    """First message of a worker, which identifies it."""

    role: str  # "servers" or "clients"
    number: int


class Call(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """Call of a method of the peer process."""

    number: int
    method: str
    arguments: list[Any]


class Reply(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """Result of a call, or the text of its error."""

    number: int
    is_ok: bool
    result: Any


class OriginFetch(msgspec.Struct, array_like=True, frozen=True, tag="f"):
    """Request of a server to read a key from the origin."""

    number: int
    key: str


class OriginWrite(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """Request of a server to write a key at the origin."""

    number: int
    key: str
    idempotency_key: str


class OriginAnswer(msgspec.Struct, array_like=True, frozen=True, tag="o"):
    """Answer of the origin to a fetch or write: the version of the value, or None if the request failed."""

    number: int
    version: int | None


class KeyWritten(msgspec.Struct, array_like=True, frozen=True, tag="i"):
    """Invalidation of a key that was written at the origin, so that cached values are stale."""

    key: str


class OverloadCrash(msgspec.Struct, array_like=True, frozen=True, tag="fell"):
    """Notification that a server has crashed because of overload."""

    server: int


# Messages that the coordinator sends to a worker, besides replies.
CoordinatorMessage = Call | OriginAnswer | KeyWritten
# Messages that a worker sends to the coordinator, besides replies.
WorkerMessage = Hello | OriginFetch | OriginWrite | OverloadCrash
