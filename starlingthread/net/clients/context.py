"""What a client connection needs of its listener, and the state that its parts share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ...core.clock import Clock
from ...core.counters import Counters
from ...core.deadlines import Deadlines
from ...core.pipe import ByteBudget
from ...core.router import Router
from ...core.task_supervisor import TaskSupervisor
from ...settings import RequestClass


class PausedConnection(Protocol):
    """A connection whose socket may not be read at present, so that its end has to be polled for."""

    def check_for_disconnect(self) -> bool:
        """Handle a disconnect if there is one; return whether to go on polling."""


class ListenerContext(Protocol):
    """The listener, as its connections see it."""

    router: Router
    supervisor: TaskSupervisor
    clock: Clock
    counters: Counters
    deadlines: Deadlines
    budget: ByteBudget  # shared by all chunked values, in either direction
    buffered_bytes: int  # bytes of values that all response slots hold
    max_buffered_bytes: int
    classes: dict[str, RequestClass]  # by name
    open_ids: set[bytes]  # ids of the requests that await their answer, on all connections
    draining: bool  # connections are closed behind their responses
    answer_by: float  # clock time by which requests that arrive from now on are answered

    @property
    def crowded_until(self) -> float:
        """Clock time until which clients that want to connect count as having found no place lately."""

    def is_ready(self) -> bool:
        """Return whether the router can serve requests."""

    def watch_for_disconnect(self, connection: PausedConnection) -> None:
        """Poll from now on whether a paused connection's client has disconnected."""


@dataclass(slots=True, eq=False)
class ConnectionState:
    """The state of one client connection that its reader, requests and writer share."""

    last_used_at: float  # clock time
    partial_since: float | None = None  # clock time at which the command that is incomplete began, or its value stalled
    disconnected: bool = False  # the client has closed, or the connection is over
    closing: bool = False  # we close once nothing is owed; commands that still arrive until then are served
    closing_if_idle: bool = False  # we close unless a command arrives first
    framing_lost: bool = False  # where the client's next command begins is unknown
    evicted: bool = False  # the descriptor is wanted: close without lingering
    lingering: bool = False  # our end of file is sent; what still arrives is discarded
    has_queue_place: bool = False  # the command that is read next may be queued for the router's core
    commands: int = 0  # complete commands so far
    malformed: int = 0  # malformed commands so far

    @property
    def is_ending(self) -> bool:
        """Whether we are about to close, for whatever reason, or the client has closed."""
        return self.closing or self.closing_if_idle or self.framing_lost or self.disconnected
