"""Types of a scenario: fleet, traffic, faults and limits. ``scenario_file`` reads them from TOML.

Times are in milliseconds where a name ends in ``_ms``, in seconds where it ends in ``_s``.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
NotNegative = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,40}$")]
Effect = Literal["repeatable", "by_key", "once"]
FaultKind = Literal[
    "slow",
    "pause",
    "pauses",
    "heavy-tail",
    "silent",
    "crash",
    "replace",
    "reset",
    "late-reports",
    "spoilt",
    "half-answers",
    "garbage-clients",
    "half-commands",
    "leaving-clients",
    "lost-datagrams",
    "discovery-down",
    "kill-router",
    "stop-router",
    "restart-router",
    "shrink",
    "zone-dark",
    "origin-jam",
    "surge",
    "link-cut",
    "link-slow",
    "link-lossy",
    "link-broken",
    "discovery-cut",
    "peers-cut",
]

Policy = Literal[
    "", "random", "round-robin", "hash", "bounded-hash", "two-choices", "two-reported", "least-reported", "truth"
]  # as baselines/policies.py has them

MAX_LENGTH_S = 24 * 3600.0


class RequestClass(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One class of requests. Worth is points for each request answered within its aim."""

    name: Annotated[str, Meta(pattern="^[A-Za-z0-9_-]{1,32}$")]
    share: NotNegative
    effect: Effect = "repeatable"
    latency_objective_ms: Positive = msgspec.field(default=1200.0, name="aim_ms")
    deadline_ms: Positive = 4000.0
    priority_weight: NotNegative = msgspec.field(default=5.0, name="worth")
    late_weight_share: Share = msgspec.field(default=0.0, name="late_worth")
    memory_span_ms: NotNegative = 4000.0
    write: bool = False


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The cache servers. ``work`` figures are times on a server of speed 1 with nothing else to do."""

    servers: Annotated[int, Meta(ge=1, le=10000)] = 9
    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("bloco-a", "bloco-b", "bloco-c")
    regions: tuple[str, ...] = ()  # the region of each zone; none: all in one
    zone_ms: NotNegative = 0.0  # one way, between two zones of a region
    region_ms: NotNegative = 0.0  # one way, between two regions
    slots: Count = 8
    waiting: Annotated[int, Meta(ge=0)] = 16
    speed: Positive = 1.0
    speed_spread: Share = 0.2
    hit_ms: Positive = 4.0
    miss_ms: NotNegative = 4.0
    write_ms: Positive = 4.0
    work_cv: NotNegative = 0.8
    memory_keys: Count = 2000
    cold_servers: Annotated[int, Meta(ge=0)] = 0
    warm_keys: bool = True
    cold_from: Share = 0.2
    cold_ms: Positive = 10000.0
    overload_factor: Positive = 4.0
    tip_after_ms: Positive = 2000.0
    connections: Count = 900
    handshake_ms: NotNegative = 1.0
    streams: Count = 32
    idle_close_ms: Positive = 15000.0
    error_rate: Share = 0.0
    report_period_ms: Positive = 500.0
    report_delay_ms: NotNegative = 100.0
    report_noise: NotNegative = 0.02
    probes: bool = True


class Origin(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The one slow origin behind all servers."""

    slots: Count = 40
    fetch_ms: Positive = 60.0
    cv: NotNegative = 0.5
    queue: Annotated[int, Meta(ge=0)] = 400


class Routers(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The routers under test and their limits."""

    count: Annotated[int, Meta(ge=1, le=300)] = 3
    cores: Positive = 1.0
    memory_mb: Positive = 128.0
    sockets: Annotated[int, Meta(ge=64)] = 1024
    peer_messages: bool = True
    pin: bool = False
    link_groups: Annotated[int, Meta(ge=0, le=30)] = 0  # routers whose links fail together: by number; 0: by zone
    policy: Policy = ""  # another choice of servers than the module's, to compare it with
    options: dict[str, Any] = msgspec.field(default_factory=dict)  # the operator's file, as tables
    command: tuple[str, ...] = ()  # empty: the router of this project


class Discovery(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The list service. A change is seen after ``notice_ms``; each call takes ``call_ms``, one after another."""

    notice_ms: NotNegative = 300.0
    crash_notice_ms: NotNegative = 2000.0
    call_ms: NotNegative = 5.0
    ask_within_ms: Positive = 10000.0


class Datagrams(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The relay between routers."""

    delay_ms: NotNegative = 2.0
    drop: Share = 0.0
    repeat: Share = 0.0
    reorder: Share = 0.0


class Traffic(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What clients ask for. Arrivals are drawn ahead and wait for no answer."""

    rate: Positive = 600.0
    in_flight: Annotated[int, Meta(ge=0, le=4096)] = 0  # above 0: a closed loop that keeps so many out; no rate then
    direct: bool = False  # clients ask the servers themselves, to measure the emulator without a router
    warmup_s: NotNegative = 2.0
    keys: Count = 5000
    zipf: NotNegative = 1.0
    drift_per_s: NotNegative = 0.0
    value_bytes: Annotated[int, Meta(ge=1, le=1_000_000)] = 400
    write_bytes: Annotated[int, Meta(ge=0, le=65000)] = 40
    connections: Annotated[int, Meta(ge=1, le=20000)] = 60
    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff_ms: Positive = 20.0
    honour: Share = 0.9
    try_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.8
    leave: Share = 0.0
    front_notices_ms: NotNegative = 2000.0
    classes: tuple[RequestClass, ...] = (
        RequestClass("item-lookup", 0.94),
        RequestClass("hold-item", 0.04, "once", 150.0, 400.0, 5.0, write=True),
        RequestClass("record-sale", 0.02, "by_key", 1200.0, 4000.0, 10.0, write=True),
    )

    def max_deadline_ms(self) -> float:
        """Return the longest deadline of all classes."""
        return max(spec.deadline_ms for spec in self.classes)


class Rules(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Figures that the judge goes by."""

    answer_slack_ms: NotNegative = 8.0
    drain_grace_ms: NotNegative = 400.0
    socket_slack_ms: NotNegative = 50.0
    notified_within_ms: NotNegative = 6000.0
    idle_rejection_ms: Positive = msgspec.field(default=300.0, name="held_back_ms")
    late_sends_share: Share = 0.01
    late_send_ms: Positive = 25.0
    most_lag_ms: Positive = 400.0


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One fault: what, from when, for how long, how strong, and to whom (empty: drawn by the seed).

    The meaning of ``strength`` is in docs/emulator.md, with a row for each kind.
    """

    kind: FaultKind
    start_s: NotNegative
    length_s: NotNegative = 0.0
    strength: NotNegative = 0.0
    name: str = ""
    servers: tuple[int, ...] = ()
    part: Share = 0.0
    share: Share = 0.02  # of the commands, for heavy-tail
    every_s: Positive = 1.0  # between the beginnings of pauses
    routers: tuple[int, ...] = ()
    zone: str = ""  # strikes its servers
    groups: tuple[int, ...] = ()  # of routers, whose links are struck; none: all
    from_zone: str = ""  # those of this zone alone
    way: Literal["both", "to-server", "from-server"] = "both"  # what a link-cut stops

    def label(self) -> str:
        """Return the name that reports show."""
        return self.name or self.kind


class Machine(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How many processes play the servers and the clients."""

    server_processes: Annotated[int, Meta(ge=1, le=64)] = 1
    load_processes: Annotated[int, Meta(ge=1, le=64)] = 1


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One whole run."""

    name: Name
    length_s: Annotated[float, Meta(gt=0.0, le=MAX_LENGTH_S)] = 20.0
    about: str = ""
    seed: Annotated[int, Meta(ge=0)] = 1
    fleet: Fleet = Fleet()
    origin: Origin = Origin()
    routers: Routers = Routers()
    discovery: Discovery = Discovery()
    datagrams: Datagrams = Datagrams()
    traffic: Traffic = Traffic()
    rules: Rules = Rules()
    machine: Machine = Machine()
    faults: tuple[Fault, ...] = ()


def link_groups(scenario: Scenario) -> int:
    """Return how many groups of routers have links of their own to the servers."""
    return scenario.routers.link_groups or len(scenario.fleet.zones)


def distance_ms(scenario: Scenario, server: int, group: int) -> float:
    """Return the time one way between a server and the routers of a group."""
    fleet = scenario.fleet
    zones = server % len(fleet.zones), group % len(fleet.zones)
    if zones[0] == zones[1]:
        return 0.0
    if fleet.regions and fleet.regions[zones[0]] != fleet.regions[zones[1]]:
        return fleet.region_ms
    return fleet.zone_ms
