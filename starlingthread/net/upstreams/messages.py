"""What the actor of a cache server is told."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from ...core.pipe import Pipe
from .. import meta
from .connection import Connection, Job


class Start(NamedTuple):
    """Message: make an attempt, or a probe."""

    job: Job


class Abandon(NamedTuple):
    """Message: stop waiting for an attempt that has its outcome, or a probe."""

    job: Job


class ConnectLate(NamedTuple):
    """Message: a connection has not come up in time."""

    job: Job
    due: float


class Opened(NamedTuple):
    """Message: what became of a connection that was opened for a job."""

    job: Job
    connection: Connection | None


class Answered(NamedTuple):
    """Message: a whole answer, or part of one to 'stats load', has come."""

    connection: Connection
    answer: meta.ServerAnswer
    pipe: Pipe | None = None


class Delivered(NamedTuple):
    """Message: a value that came in pieces is here whole."""

    connection: Connection


class Broken(NamedTuple):
    """Message: a connection has ended, or what comes on it belongs to nothing."""

    connection: Connection


class Stalled(NamedTuple):
    """Message: a part of an answer has come and then nothing; sure when it is looked at again."""

    connection: Connection
    sure: bool
    due: float


class Retire(NamedTuple):
    """Message: close what has been idle for so many ms."""

    idle: float


Message: TypeAlias = Start | Abandon | ConnectLate | Opened | Answered | Delivered | Broken | Stalled | Retire
