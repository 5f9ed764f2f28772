"""The listener interface that client connections use, and the state that the parts of a connection share."""

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
from .draining import DrainLimits


class PausedConnection(Protocol):
    """A connection whose socket is not read at present, so that its disconnect has to be polled for."""

    def check_for_disconnect(self) -> bool:
        """Handle a disconnect if there is one; return whether to continue polling."""


class ListenerContext(Protocol):
    """The part of the listener that its connections use."""

    router: Router
    supervisor: TaskSupervisor
    clock: Clock
    counters: Counters
    deadlines: Deadlines
    budget: ByteBudget  # budget shared by all chunked values in both directions
    # All requests, responses and unprocessed input, in both directions; beyond the limit requests are rejected.
    buffers: ByteBudget
    read_ahead_bytes: int  # size of the input of connections that wait for a response slot
    classes: dict[str, RequestClass]  # request classes by name
    open_ids: set[bytes]  # ids of unanswered requests on all connections
    draining: bool  # whether each connection is closed after its response
    drain_limits: DrainLimits  # the time limits of a graceful shutdown
    reading_stopped: bool  # whether no further commands are read, as the process shuts down

    @property
    def at_capacity_until(self) -> float:
        """Clock time until which the listener counts as at capacity: clients may be unable to connect."""

    def is_ready(self) -> bool:
        """Return whether the router can serve requests."""

    def watch_for_disconnect(self, connection: PausedConnection) -> None:
        """Poll a paused connection for a disconnect of its client from now on."""


@dataclass(slots=True, eq=False)
class ConnectionState:
    """The state of one client connection that its reader, requests and writer share."""

    last_used_at: float  # clock time
    partial_since: float | None = None  # clock time at which a partial command began, or its value last progressed
    disconnected: bool = False  # the client has closed or reset the connection, or it has ended otherwise
    closing: bool = False  # we close once all responses are written; commands that arrive before that are served
    closing_if_idle: bool = False  # we close unless a command arrives before
    framing_lost: bool = False  # the start of the client's next command is unknown, or it sent too many malformed ones
    evicted: bool = False  # the descriptor is needed for another client, so we close without lingering
    lingering: bool = False  # our end of file is being sent; data that still arrives is discarded
    is_next_command_admitted: bool = False  # load shedding has already admitted the command that is read next
    commands: int = 0  # number of complete commands so far
    malformed: int = 0  # number of malformed commands so far

    @property
    def is_ending(self) -> bool:
        """Whether the connection is being closed for any reason, or the client has closed it."""
        return self.closing or self.closing_if_idle or self.framing_lost or self.disconnected
