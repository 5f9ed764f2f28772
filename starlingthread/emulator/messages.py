"""Messages between the coordinator of a run and its worker processes.

Each is encoded as a MessagePack array that begins with the tag of its kind.
"""

from __future__ import annotations

from typing import Any

import msgspec


class Hello(msgspec.Struct, array_like=True, frozen=True, tag="hello"):
    """A worker introduces itself; its first message."""

    role: str  # servers or clients
    number: int


class Call(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """Call a method of the other end."""

    number: int
    method: str
    arguments: list[Any]


class Reply(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """The result of a call, or the text of its error."""

    number: int
    is_ok: bool
    result: Any


class OriginFetch(msgspec.Struct, array_like=True, frozen=True, tag="f"):
    """A server reads a key from the origin."""

    number: int
    key: str


class OriginWrite(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """A server writes a key at the origin."""

    number: int
    key: str
    idempotency_key: str


class OriginAnswer(msgspec.Struct, array_like=True, frozen=True, tag="o"):
    """The origin's answer to a fetch or write: the version, None if it failed."""

    number: int
    version: int | None


class KeyWritten(msgspec.Struct, array_like=True, frozen=True, tag="i"):
    """A key was written at the origin, so that cached values of it are stale."""

    key: str


class OverloadCrash(msgspec.Struct, array_like=True, frozen=True, tag="fell"):
    """A server has crashed by overload."""

    server: int


CoordinatorMessage = Call | OriginAnswer | KeyWritten  # what a worker receives, besides replies
WorkerMessage = Hello | OriginFetch | OriginWrite | OverloadCrash  # what the coordinator receives, besides replies
