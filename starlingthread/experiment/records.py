"""The records that the emulator and the load tool write during a run, for the judge and the results.

All times are milliseconds of the machine's monotonic clock, which every process of a run reads alike.
"""

from __future__ import annotations

import msgspec

# What a server did with a command.
BUSY = "busy"
EXECUTED = "run"

# How a delivery ended.
PENDING = "out"  # not ended
ANSWERED = "answered"
FAILED = "failed"
REJECTED = "turned-away"
DISCONNECTED = "cut"  # its connection ended first
NO_CONNECTION = "refused"  # outcome of a client's attempt that was never sent

KILLED_AFTER_TERM = "killed-after-term"  # the kind of router event of a SIGKILL some time after SIGTERM
LISTED_PREFIX = "listed "  # of the kind of server events that change a status at discovery


class Delivery(msgspec.Struct, array_like=True):
    """One complete command that reached a server, and its outcome there."""

    request_id: str
    server: int
    first_at: float  # when its first byte arrived
    received_at: float  # when its last byte arrived
    disposition: str = BUSY
    outcome: str = PENDING
    ended_at: float = 0.0
    checksum: int = 0  # CRC-32 of the value or receipt that was made for it


class StatusNotification(msgspec.Struct, array_like=True):
    """Discovery has notified a router of a server's status."""

    router: int
    server: int
    status: str
    at: float
    started_at: float = 0.0  # when the server started


class ServerEvent(msgspec.Struct, array_like=True):
    """A change of a server.

    Kinds: ``cold`` (a cold start), ``fell`` (by overload), ``draining``, ``gone``, ``up``, and ``listed STATUS``.
    """

    server: int
    kind: str
    at: float
    overloading_requests: tuple[str, ...] = ()  # ids of the requests whose work overloaded it


class ClientAttempt(msgspec.Struct, array_like=True):
    """One request as a client sent it; a retry is an attempt of its own with the same operation."""

    request_id: str
    operation: int
    class_index: int
    key: int
    router: int
    sent_at: float  # its last byte was written to the connection
    budget_ms: float  # time until its deadline, the request's field d
    retry_index: int = 0
    outcome: str = "none"  # value, receipt, busy, failed, other, eof, refused, none or left
    answered_at: float = 0.0
    checksum: int = 0
    protocol_error: str = ""  # what was wrong with the answer
    retry_after_ms: float = 0.0  # of a rejection


class Operation(msgspec.Struct, array_like=True):
    """One operation of a client, over all its attempts."""

    number: int
    class_index: int
    due_at: float  # when it was to be sent; latency counts from here
    send_delay_ms: float = 0.0  # by which the load tool itself was late
    result: str = "none"  # served, failed, refused (rejected), left, none
    done_at: float = 0.0
    attempts: int = 0


class RouterSample(msgspec.Struct, array_like=True):
    """Resources that a router's process used at a moment."""

    router: int
    at: float
    cpu_s: float
    memory_mb: float
    descriptors: int


class RouterEvent(msgspec.Struct, array_like=True):
    """A change of a router's process.

    Kinds: ``up``, ``killed``, ``stopped``, ``continued``, ``terminating``, ``exited``, ``crashed``, ``bad-exit``,
    ``killed-after-term``.
    """

    router: int
    kind: str
    at: float
    exit_code: int = 0


class ServerSample(msgspec.Struct, array_like=True):
    """Load of one server in one second: share of its slots in use, commands, connections."""

    server: int
    at: float
    utilization: float
    commands: int
    connections: int


class FaultRecord(msgspec.Struct, array_like=True):
    """A fault as it was carried out."""

    label: str
    kind: str
    began_at: float
    ended_at: float
    target: str
    affected: tuple[int, ...] = ()  # the servers or routers of the target
    groups: tuple[int, ...] = ()  # of a link: the groups of routers for whom it failed
    direction: str = "both"  # of a link that was cut: the direction that let nothing through


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
    bad_client_outcomes: dict[str, int] = msgspec.field(default_factory=dict)  # what bad clients met, by outcome

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
        self.lags.update(part.lags)
        for name, count in part.bad_client_outcomes.items():
            self.bad_client_outcomes[name] = self.bad_client_outcomes.get(name, 0) + count
