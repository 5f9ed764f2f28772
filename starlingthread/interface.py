"""The types that the decision module takes and gives: settings, events and actions.

All times are milliseconds; events and actions are plain named tuples, so two equal runs compare equal.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple, TypeAlias


class Effect(IntEnum):
    """Whether a request may run again."""

    REPEATABLE = 0
    KEYED = 1
    UNSAFE = 2


class ServerState(IntEnum):
    """What the list says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a list event holds."""

    CACHED = 1
    FAILED = 2
    FULL = 3
    DELTA = 4


class Result(IntEnum):
    """How an attempt ended. FULL, CONNECT_FAILED, MOOT and MISS prove that it never ran."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8
    MISS = 9


NEVER_RAN = frozenset((Result.FULL, Result.CONNECT_FAILED, Result.MOOT, Result.MISS))


class Note(IntEnum):
    """What a server told about the key in its answer."""

    NONE = 0
    HIT = 1
    MISS = 2
    FETCH_OUT = 3


class RequestClass(NamedTuple):
    """One kind of request, as the operator defines it."""

    name: str
    effect: Effect
    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    group: str = "all"  # keyed: who drops repeats: "all", "zone" or "cell"
    memory_span: float = 0.0
    streamed: bool = False
    aim_stretch: float = 0.0


class Tenant(NamedTuple):
    """A customer and its share of the service."""

    name: str
    quota_per_s: float = 0.0
    share: float = 1.0


class Settings(NamedTuple):
    """What a balancer is told at its start."""

    classes: tuple[RequestClass, ...]
    me: int = 0
    balancers: int = 1
    zone: int = 0
    must_ask: bool = False  # the list has to be asked for
    ask_within: float = 10000.0
    mode: str = "through"  # "aside": misses come back to us
    origin_kind: int = -1
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    report_fields: tuple[str, ...] = ()
    report_how: str = "silent"
    can_cancel: bool = False
    can_probe: bool = False
    can_tell_peers: bool = False
    second_copies: bool = False
    max_attempts: int = 3
    max_open: int = 1000000
    max_retry_after: float = 0.0
    connect_timeout: float = 250.0
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    cold_from: float = 1.0
    cold_time: float = 0.0
    overload_factor: float = 3.0
    tip_after: float = 2000.0
    price_cross_zone: float = 0.0
    price_origin: float = 0.0
    price_handshake: float = 0.0
    price_late_fail: float = 0.0
    price_waste: float = 0.0
    worth_by_work: bool = False
    hot_keys: bool = False  # they get more owners; the operator's file turns it on

    def validated(self) -> Settings:
        """Return self, or raise a ValueError that names the setting that makes no sense."""
        if not self.classes:
            raise ValueError("classes: at least one request class is needed")
        if len({cls.name for cls in self.classes}) < len(self.classes):
            raise ValueError("classes: two have the same name")
        for cls in self.classes:
            if not (0 < cls.deadline < math.inf and 0 < cls.aim < math.inf):
                raise ValueError(f"classes.{cls.name}: aim and deadline must be above 0")
            if cls.group not in ("all", "zone", "cell"):
                raise ValueError(f"classes.{cls.name}.group: {cls.group!r} is not all, zone or cell")
        if self.mode not in ("aside", "through"):
            raise ValueError(f"mode: {self.mode!r} is neither 'aside' nor 'through'")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be 1 or more")
        if self.balancers < 1:
            raise ValueError("balancers: must be 1 or more")
        if not 0 < self.cold_from <= 1:
            raise ValueError("cold_from: must be above 0 and at most 1")
        return self


class Member(NamedTuple):
    """A line of the server list."""

    server: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started: float = 0.0  # clock time; 0: long ago


class MemberList(NamedTuple):
    """Event: the server list, or changes to it."""

    kind: ListKind
    version: int
    members: tuple[Member, ...] = ()


class Request(NamedTuple):
    """Event: a client's request has come in; it is owed one final answer."""

    id: int
    cls: int
    budget: float
    key: int = 0
    tenant: int = 0
    cost: float = 0.0  # a guess at the work, in a unit that is not told; 0: no hint
    size: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    single: bool = False  # its value is not held whole, so it can be sent once only
    waited: float = 0.0  # ms that it lay here, on a core that is full, before the module saw it


class Outcome(NamedTuple):
    """Event: how an attempt ended."""

    id: int
    attempt: int
    server: int
    result: Result
    elapsed: float
    ended: bool
    note: Note = Note.NONE
    report: tuple[float, ...] = ()


class FirstByte(NamedTuple):
    """Event: a streamed answer has begun; its attempt belongs to the client now."""

    id: int
    attempt: int
    server: int
    elapsed: float


class Withdrawn(NamedTuple):
    """Event: the client has left; nothing is owed any more."""

    id: int


class Timer(NamedTuple):
    """Event: a timer is due."""

    label: int


class ProbeResult(NamedTuple):
    """Event: what a probe found."""

    server: int
    result: Result
    elapsed: float
    report: tuple[float, ...] = ()


class Maintenance(NamedTuple):
    """Event: an operator leaves a server out, whatever lists say of it, or lets it serve again."""

    server: int
    out: bool


class Retuned(NamedTuple):
    """Event: new settings hold from now on; requests that are under way keep their class."""

    settings: Settings


class PeerMessage(NamedTuple):
    """Event: a message from another balancer."""

    sender: int
    payload: bytes


class Send(NamedTuple):
    """Action: start an attempt."""

    id: int
    server: int
    timeout: float = 0.0  # 0: until the client gives up
    before: float = math.inf  # clock time from which on it must not be written any more, as a repeat would run again


class Refuse(NamedTuple):
    """Action: final answer, turned away; the client may safely try again."""

    id: int
    retry_after: float = 0.0


class Fail(NamedTuple):
    """Action: final answer, failed; nothing is promised."""

    id: int


class Cancel(NamedTuple):
    """Action: stop waiting for an attempt."""

    id: int
    attempt: int


class SetTimer(NamedTuple):
    """Action: ask for a Timer event at a clock time."""

    at: float
    label: int


class Probe(NamedTuple):
    """Action: look at a server."""

    server: int


class CloseConnections(NamedTuple):
    """Action: close idle connections to a server."""

    server: int


class Tell(NamedTuple):
    """Action: a message to one balancer, or to all (peer None)."""

    peer: int | None
    payload: bytes


class Log(NamedTuple):
    """Action: a line for the operators."""

    text: str


class Watch(NamedTuple):
    """Action: subscribe to list changes, or stop."""

    active: bool


class FetchList(NamedTuple):
    """Action: ask for the whole list once."""


Event: TypeAlias = (
    MemberList | Request | Outcome | FirstByte | Withdrawn | Timer | ProbeResult | PeerMessage | Maintenance | Retuned
)
Action: TypeAlias = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseConnections | Tell | Log | Watch | FetchList
