"""One connection to a cache server, and what is asked on it."""

from __future__ import annotations

import asyncio
from typing import TypeAlias

from ...core.deadlines import Deadline
from ...core.messages import Attempt
from ...core.pipe import Pipe
from .. import meta

DOUBT = 50.0  # ms after an answer in which a 'busy' may be a stray line behind it


class Probing:
    """A probe that is out; it stands where an attempt would."""

    __slots__ = ("fields", "limit", "sent_at")

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.limit: Deadline | None = None
        self.fields: dict[str, float] = {}


Job: TypeAlias = Attempt | Probing


class Connection:
    """One connection to a cache server; its actor's pool owns it."""

    __slots__ = (
        "address",
        "answered_at",
        "body",
        "busy",
        "closed",
        "idle_since",
        "owed",
        "parser",
        "pipe",
        "reader",
        "spoilt",
        "stall",
        "written_at",
        "writer",
    )

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, address: tuple[str, int]) -> None:
        self.reader, self.writer, self.address = reader, writer, address
        self.parser = meta.AnswerParser()
        self.busy: Job | None = None
        self.owed = False  # something was written that is not answered yet
        self.spoilt = False  # more has come than was owed: nobody knows what comes next
        self.idle_since = self.written_at = 0.0
        self.answered_at = -DOUBT
        self.stall: Deadline | None = None  # when the rest of a part of an answer must be here
        self.closed = False
        self.body: Pipe | None = None  # the value that is going out on it in pieces, and is not out whole
        self.pipe: Pipe | None = None  # the value that is coming in on it in pieces, and is not in whole

    @property
    def idle_before(self) -> float | None:
        """For how long it was idle before what was written last; None if that was the first."""
        return self.written_at - self.answered_at if self.answered_at > 0 else None

    def is_fresh(self, address: tuple[str, int]) -> bool:
        """Whether it can still carry a request: not spoilt, not ended, and to the server's address of now."""
        return not (
            self.spoilt
            or self.closed
            or self.reader.at_eof()
            or self.writer.transport.is_closing()
            or self.address != address
        )
