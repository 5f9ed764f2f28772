"""What the emulator and the load tool write down while a run goes on; the judge reads it afterwards.

All times are milliseconds of the machine's monotonic clock, which every process of a run reads alike.
"""

from __future__ import annotations

import msgspec

BUSY, RUN = "busy", "run"  # what a server did with a command
OUT, ANSWERED, FAILED, TURNED_AWAY, CUT = "out", "answered", "failed", "turned-away", "cut"


class Delivery(msgspec.Struct, array_like=True):
    """One command that reached a server whole, and what became of it there."""

    rid: str
    server: int
    first_at: float  # its first byte arrived
    whole_at: float
    verdict: str = BUSY
    end: str = OUT
    ended_at: float = 0.0
    digest: int = 0  # CRC-32 of the value or receipt that was made for it


class Notified(msgspec.Struct, array_like=True):
    """Discovery has told a router of a server's state."""

    router: int
    server: int
    state: str
    at: float
    since: float = 0.0  # when the server started


class ServerEvent(msgspec.Struct, array_like=True):
    """Something happened to a server: ``cold`` (a cold start), ``fell``, ``draining``, ``gone``, ``up``."""

    server: int
    what: str
    at: float
    pushed_by: tuple[str, ...] = ()  # requests whose work made it fall


class Try(msgspec.Struct, array_like=True):
    """One request as a client sent it; a retry is a Try of its own with the same operation."""

    rid: str
    operation: int
    cls: int
    key: int
    router: int
    sent_at: float  # its last byte was written to the connection
    wait: float  # its d
    number: int = 0
    kind: str = "none"  # value, receipt, busy, failed, other, eof, refused, none or left
    answered_at: float = 0.0
    digest: int = 0
    fault: str = ""  # what was wrong with the stream, in words
    pause: float = 0.0  # ms that a refusal asked for


class Operation(msgspec.Struct, array_like=True):
    """What a client wants, over all its tries."""

    number: int
    cls: int
    due_at: float  # when it should have been sent; latency counts from here
    late: float = 0.0  # ms by which the load tool itself was late
    result: str = "none"  # served, failed, refused, left, none
    done_at: float = 0.0
    tries: int = 0


class RouterSample(msgspec.Struct, array_like=True):
    """One look at a router's process."""

    router: int
    at: float
    cpu_s: float
    memory_mb: float
    descriptors: int


class RouterEvent(msgspec.Struct, array_like=True):
    """``up``, ``killed``, ``stopped``, ``continued``, ``terminating``, ``exited`` (with its code)."""

    router: int
    what: str
    at: float
    code: int = 0


class ServerSample(msgspec.Struct, array_like=True):
    """Load of one server in one second: share of its slots in use, commands, connections."""

    server: int
    at: float
    busy: float
    commands: int
    connections: int


class Marked(msgspec.Struct, array_like=True):
    """A fault as it was carried out."""

    label: str
    kind: str
    began_at: float
    ended_at: float
    target: str
    struck: tuple[int, ...] = ()  # the servers or routers of the target
    groups: tuple[int, ...] = ()  # of a link: the groups of routers for whom it failed
    way: str = "both"  # of a link that was cut: the direction that let nothing through


class Ledger(msgspec.Struct):
    """All that was written down in one run."""

    started_at: float = 0.0
    ended_at: float = 0.0
    deliveries: list[Delivery] = msgspec.field(default_factory=list)
    notified: list[Notified] = msgspec.field(default_factory=list)
    servers: list[ServerEvent] = msgspec.field(default_factory=list)
    tries: list[Try] = msgspec.field(default_factory=list)
    operations: list[Operation] = msgspec.field(default_factory=list)
    samples: list[RouterSample] = msgspec.field(default_factory=list)
    routers: list[RouterEvent] = msgspec.field(default_factory=list)
    loads: list[ServerSample] = msgspec.field(default_factory=list)
    faults: list[Marked] = msgspec.field(default_factory=list)
    lags: dict[str, float] = msgspec.field(default_factory=dict)  # longest stall of each process, ms
    garbage: dict[str, int] = msgspec.field(default_factory=dict)  # what bad clients met, by outcome

    def add(self, part: Ledger) -> None:
        """Take in what another process wrote down."""
        for name in (
            "deliveries",
            "notified",
            "servers",
            "tries",
            "operations",
            "samples",
            "routers",
            "loads",
            "faults",
        ):
            getattr(self, name).extend(getattr(part, name))
        self.lags.update(part.lags)
        for name, count in part.garbage.items():
            self.garbage[name] = self.garbage.get(name, 0) + count
