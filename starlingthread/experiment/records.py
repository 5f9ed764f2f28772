"""The records that the emulator and the load tool write during a run, for the judge and the results.

All times are milliseconds of the machine's monotonic clock, which is the same in every process of a run.
"""

from __future__ import annotations

import msgspec

# Dispositions: whether a server rejected a command as busy or executed it.
BUSY = "busy"
EXECUTED = "run"

# Outcomes of a delivery.
PENDING = "out"  # the server has not answered yet
ANSWERED = "answered"
FAILED = "failed"
REJECTED = "turned-away"
DISCONNECTED = "cut"  # the connection closed before the answer
NO_CONNECTION = "refused"  # outcome of a client's attempt that was not sent for lack of a connection

KILLED_AFTER_TERM = "killed-after-term"  # kind of a router event: SIGKILL some time after SIGTERM
# The kind of a server event is this prefix and a status if discovery changed the status that it lists.
LISTED_PREFIX = "listed "


class Delivery(msgspec.Struct, array_like=True):
    """One complete command that reached a server, and its outcome there."""

    request_id: str
    server: int
    first_at: float  # arrival of the first byte
    received_at: float  # arrival of the last byte
    disposition: str = BUSY
    outcome: str = PENDING
    ended_at: float = 0.0
    checksum: int = 0  # CRC-32 of the value or receipt that the server generated for this command


class GreedyRequest(msgspec.Struct, array_like=True):
    """A request of a greedy client, and the time of what the rules are about: its departure, or its last byte."""

    request_id: str
    router: int
    at: float


class StatusNotification(msgspec.Struct, array_like=True):
    """A notification from discovery to a router about a server's status."""

    router: int
    server: int
    status: str
    at: float
    started_at: float = 0.0  # start of the server


class ServerEvent(msgspec.Struct, array_like=True):
    """A change in a server's state.

    Kinds: ``cold`` (a cold start), ``fell`` (crashed by overload), ``draining``, ``gone``, ``up``, ``listed STATUS``.
    """

    server: int
    kind: str
    at: float
    overloading_requests: tuple[str, ...] = ()  # ids of the requests that overloaded the server


class ClientAttempt(msgspec.Struct, array_like=True):
    """One request that a client sent; a retry is a separate attempt of the same operation."""

    request_id: str
    operation: int
    class_index: int
    key: int
    router: int
    sent_at: float  # time at which the last byte was written to the connection
    budget_ms: float  # time until the deadline, sent as the request's field d
    retry_index: int = 0
    outcome: str = "none"  # value, receipt, busy, failed, other, eof, refused, none or left
    answered_at: float = 0.0
    checksum: int = 0
    protocol_error: str = ""  # description of an invalid answer
    retry_after_ms: float = 0.0  # Retry-After of a rejection


class Operation(msgspec.Struct, array_like=True):
    """One operation of a client, which consists of one or more attempts."""

    number: int
    class_index: int
    due_at: float  # scheduled send time, from which latency is measured
    send_delay_ms: float = 0.0  # delay of the send that the load tool itself caused
    result: str = "none"  # one of: served, failed, refused (rejected), left, none
    done_at: float = 0.0
    attempts: int = 0


class RouterSample(msgspec.Struct, array_like=True):
    """Resource usage of a router's process at one time."""

    router: int
    at: float
    cpu_s: float
    memory_mb: float
    descriptors: int


class RouterEvent(msgspec.Struct, array_like=True):
    """A change in the state of a router's process.

    Kinds: ``up``, ``killed``, ``stopped``, ``continued``, ``terminating``, ``exited``, ``crashed``, ``bad-exit``,
    ``killed-after-term``.
    """

    router: int
    kind: str
    at: float
    exit_code: int = 0


class ServerSample(msgspec.Struct, array_like=True):
    """Load of one server in one second: share of its slots in use, commands, open connections."""

    server: int
    at: float
    utilization: float
    commands: int
    connections: int


class FaultRecord(msgspec.Struct, array_like=True):
    """A fault as it was injected."""

    label: str
    kind: str
    began_at: float
    ended_at: float
    target: str
    affected: tuple[int, ...] = ()  # numbers of the servers or routers of the target
    groups: tuple[int, ...] = ()  # groups of routers whose links failed, for link faults
    direction: str = "both"  # blocked direction, for cut links


class Ledger(msgspec.Struct):
    """All records of one run."""

    started_at: float = 0.0
    ended_at: float = 0.0
    deliveries: list[Delivery] = msgspec.field(default_factory=list)
    notifications: list[StatusNotification] = msgspec.field(default_factory=list)
    server_events: list[ServerEvent] = msgspec.field(default_factory=list)
    attempts: list[ClientAttempt] = msgspec.field(default_factory=list)
    operations: list[Operation] = msgspec.field(default_factory=list)
    router_samples: list[RouterSample] = msgspec.field(default_factory=list)
    router_events: list[RouterEvent] = msgspec.field(default_factory=list)
    server_samples: list[ServerSample] = msgspec.field(default_factory=list)
    faults: list[FaultRecord] = msgspec.field(default_factory=list)
    lags: dict[str, float] = msgspec.field(default_factory=dict)  # longest stall of each process, ms
    # Number of connections of bad clients, by outcome.
    bad_client_outcomes: dict[str, int] = msgspec.field(default_factory=dict)

    greedy_request_counts: dict[str, int] = msgspec.field(default_factory=dict)  # by the first part of their ids
    departures: list[GreedyRequest] = msgspec.field(default_factory=list)  # requests whose clients have left
    repeated: list[GreedyRequest] = msgspec.field(default_factory=list)  # requests whose ids came again
    late_writes: list[GreedyRequest] = msgspec.field(default_factory=list)  # large writes without an answer in time

    def merge(self, part: Ledger) -> None:
        """Add the records of another process."""
        self.deliveries += part.deliveries
        self.notifications += part.notifications
        self.server_events += part.server_events
        self.attempts += part.attempts
        self.operations += part.operations
        self.router_samples += part.router_samples
        self.router_events += part.router_events
        self.server_samples += part.server_samples
        self.faults += part.faults
        self.greedy_request_counts.update(part.greedy_request_counts)
        self.departures += part.departures
        self.repeated += part.repeated
        self.late_writes += part.late_writes
        self.lags.update(part.lags)
        for name, count in part.bad_client_outcomes.items():
            self.bad_client_outcomes[name] = self.bad_client_outcomes.get(name, 0) + count
