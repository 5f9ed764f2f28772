"""Types of a scenario: fleet, traffic, faults and limits. ``scenario_file`` reads them from TOML.

Attributes are named like their keys in the file, except where a field's ``name`` gives the key. Times are in
milliseconds where a name ends in ``_ms``, in seconds where it ends in ``_s``.
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
    "signals-router",
    "silent-watches",
    "discovery-slow",
    "idle-clients",
    "greedy-clients",
    "slow-reads",
]

# How a router chooses servers: by a baseline policy of baselines/policies.py, or in its own way if empty.
Policy = Literal[
    "", "random", "round-robin", "hash", "bounded-hash", "two-choices", "two-reported", "least-reported", "truth"
]

MAX_LENGTH_S = 24 * 3600.0


class RequestClass(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One class of requests."""

    name: Annotated[str, Meta(pattern="^[A-Za-z0-9_-]{1,32}$")]
    share: NotNegative  # weight of this class among all requests
    # Whether a request is repeatable, is idempotent by its idempotency key, or must be executed at most once.
    effect: Effect = "repeatable"
    latency_objective_ms: Positive = msgspec.field(default=1200.0, name="aim_ms")
    deadline_ms: Positive = 4000.0
    # Goodput earned by an answer within the latency objective.
    priority_weight: NotNegative = msgspec.field(default=5.0, name="worth")
    # Share of the priority weight that is earned by an answer after the objective and before the deadline.
    late_weight_share: Share = msgspec.field(default=0.0, name="late_worth")
    # Servers deduplicate requests by their idempotency key for this long.
    idempotency_window_ms: NotNegative = msgspec.field(default=4000.0, name="memory_span_ms")
    write: bool = False


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The cache servers. Processing times are those of an idle server of speed 1."""

    servers: Annotated[int, Meta(ge=1, le=10000)] = 9
    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("bloco-a", "bloco-b", "bloco-c")
    regions: tuple[str, ...] = ()  # the region of each zone; if empty, all zones are in one region
    # One-way delay between two zones of a region.
    inter_zone_delay_ms: NotNegative = msgspec.field(default=0.0, name="zone_ms")
    # One-way delay between two regions.
    inter_region_delay_ms: NotNegative = msgspec.field(default=0.0, name="region_ms")
    slots: Count = 8  # commands that a server processes concurrently
    # Commands that can wait for a slot.
    queue_length: Annotated[int, Meta(ge=0)] = msgspec.field(default=16, name="waiting")
    speed: Positive = 1.0
    speed_spread: Share = 0.2
    hit_ms: Positive = 4.0
    miss_ms: NotNegative = 4.0
    write_ms: Positive = 4.0
    work_cv: NotNegative = 0.8  # coefficient of variation of the processing time
    # Keys that the cache of a server can hold.
    cache_capacity_keys: Count = msgspec.field(default=2000, name="memory_keys")
    cold_servers: Annotated[int, Meta(ge=0)] = 0  # servers that are warming up at the run's start
    warm_keys: bool = True  # whether the other servers have keys cached at the run's start
    # Capacity right after a cold start, as a share of the full capacity.
    initial_capacity_share: Share = msgspec.field(default=0.2, name="cold_from")
    # Time from a cold start until the server has its full capacity.
    warm_up_ms: Positive = msgspec.field(default=10000.0, name="cold_ms")
    # A warming server crashes when it is offered more work than this multiple of its capacity.
    overload_factor: Positive = 4.0
    # Sliding window over which the work offered to a warming server is summed.
    overload_window_ms: Positive = msgspec.field(default=2000.0, name="tip_after_ms")
    connections: Count = 900
    handshake_ms: NotNegative = 1.0
    streams: Count = 32
    idle_close_ms: Positive = 15000.0
    error_rate: Share = 0.0
    report_period_ms: Positive = 500.0
    report_delay_ms: NotNegative = 100.0
    report_noise: NotNegative = 0.02
    probes: bool = True  # whether servers answer ``stats load``


class Origin(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The one slow origin behind all servers."""

    slots: Count = 40
    fetch_ms: Positive = 60.0
    cv: NotNegative = 0.5  # coefficient of variation of the fetch time
    queue: Annotated[int, Meta(ge=0)] = 400


class Routers(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The routers under test and their limits."""

    count: Annotated[int, Meta(ge=1, le=300)] = 3
    cores: Positive = 1.0
    memory_mb: Positive = 128.0
    sockets: Annotated[int, Meta(ge=64)] = 1024
    peer_messages: bool = True
    pin: bool = False  # whether each router is pinned to a core
    # Number of groups of routers whose links fail together: a router's number modulo this is its group. 0: by zone.
    link_groups: Annotated[int, Meta(ge=0, le=30)] = 0
    policy: Policy = ""  # a baseline to compare the router with
    options: dict[str, Any] = msgspec.field(default_factory=dict)  # the operators' options file, as tables
    command: tuple[str, ...] = ()  # command line that starts a router; if empty, the router of this project


class Discovery(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The discovery service. It learns of a change after ``notice_ms``; requests take ``call_ms`` each, in sequence."""

    notice_ms: NotNegative = 300.0
    crash_notice_ms: NotNegative = 2000.0
    call_ms: NotNegative = 5.0
    max_poll_interval_ms: Positive = msgspec.field(default=10000.0, name="ask_within_ms")


class Datagrams(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The relay of datagrams between routers, with the shares of them that it drops, duplicates and reorders."""

    delay_ms: NotNegative = 2.0
    drop: Share = 0.0
    duplicate: Share = msgspec.field(default=0.0, name="repeat")
    reorder: Share = 0.0


class Traffic(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The operations of clients. Arrivals are generated in advance and do not depend on answers."""

    rate: Positive = 600.0
    in_flight: Annotated[int, Meta(ge=0, le=4096)] = 0  # above 0: a closed loop of this concurrency, without a rate
    direct: bool = False  # clients use the servers without a router, to measure the emulator
    warmup_s: NotNegative = 2.0  # initial part of the run, excluded from the results
    keys: Count = 5000
    zipf: NotNegative = 1.0  # exponent of the keys' popularity
    drift_per_s: NotNegative = 0.0  # share of all ranks by which popularity moves in a second
    value_bytes: Annotated[int, Meta(ge=1, le=1_000_000)] = 400
    write_bytes: Annotated[int, Meta(ge=0, le=65000)] = 40
    connections: Annotated[int, Meta(ge=1, le=20000)] = 60
    # Limit on the connections from all clients to one router; 0: a third of the router's descriptors.
    max_connections: Annotated[int, Meta(ge=0)] = 0
    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff_ms: Positive = 20.0
    # Share of clients that honour Retry-After.
    retry_after_share: Share = msgspec.field(default=0.9, name="honour")
    # Share of the remaining time that an attempt gets while further retries are possible.
    attempt_time_share: Annotated[float, Meta(gt=0.0, le=1.0)] = msgspec.field(default=0.8, name="try_share")
    # Share of requests whose client disconnects before the answer.
    abandon_share: Share = msgspec.field(default=0.0, name="leave")
    # Time until clients stop connecting to a router that does not respond.
    router_removal_delay_ms: NotNegative = msgspec.field(default=2000.0, name="front_notices_ms")
    classes: tuple[RequestClass, ...] = (
        RequestClass("item-lookup", 0.94),
        RequestClass("hold-item", 0.04, "once", 150.0, 400.0, 5.0, write=True),
        RequestClass("record-sale", 0.02, "by_key", 1200.0, 4000.0, 10.0, write=True),
    )

    def max_deadline_ms(self) -> float:
        """Return the longest deadline of all classes."""
        return max(spec.deadline_ms for spec in self.classes)


CLIENT_DESCRIPTOR_SHARE = 1 / 3  # share of a router's descriptors that clients use at most for requests


class Rules(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Tolerances of the judge."""

    answer_slack_ms: NotNegative = 8.0
    # The grace period starts when the router learns that a server is draining.
    drain_grace_ms: NotNegative = 400.0
    # The slack for sockets is added to all times, for delays between sockets and processes.
    socket_slack_ms: NotNegative = 50.0
    notified_within_ms: NotNegative = 6000.0  # time after a change from which every router counts as notified
    # Longest wait for a rejection or failure while no attempt is in flight.
    idle_rejection_ms: Positive = msgspec.field(default=300.0, name="held_back_ms")
    # Share of requests sent late above which the run is void.
    max_late_send_share: Share = msgspec.field(default=0.01, name="late_sends_share")
    late_send_ms: Positive = 25.0  # delay from which on a request counts as sent late
    # Stall of a testbed process above which the run is void.
    max_stall_ms: Positive = msgspec.field(default=400.0, name="most_lag_ms")


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One fault: kind, time, strength and target. If no target is named, the seed selects it.

    The meaning of ``strength`` is in docs/emulator.md, with a row for each kind.
    """

    kind: FaultKind
    start_s: NotNegative
    length_s: NotNegative = 0.0
    strength: NotNegative = 0.0
    name: str = ""
    servers: tuple[int, ...] = ()
    # Share of all servers that are affected if none is named.
    server_share: Share = msgspec.field(default=0.0, name="part")
    # Share of the commands that a heavy-tail fault slows down.
    command_share: Share = msgspec.field(default=0.02, name="share")
    # Time from the start of one pause to the start of the next.
    pause_interval_s: Positive = msgspec.field(default=1.0, name="every_s")
    routers: tuple[int, ...] = ()
    zone: str = ""  # zone whose servers are affected
    groups: tuple[int, ...] = ()  # groups of routers whose links are affected; if empty, all groups
    from_zone: str = ""  # if set, only links of routers in this zone are affected
    # Direction that a link-cut blocks.
    direction: Literal["both", "to-server", "from-server"] = msgspec.field(default="both", name="way")

    def label(self) -> str:
        """Return the name that reports show."""
        return self.name or self.kind


class Machine(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The number of worker processes that run the servers, and the number of those that run the clients."""

    server_processes: Annotated[int, Meta(ge=1, le=64)] = 1
    load_processes: Annotated[int, Meta(ge=1, le=64)] = 1


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The description of one run."""

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
    """Return the number of groups of routers; each group has separate links to the servers."""
    return scenario.routers.link_groups or len(scenario.fleet.zones)


def distance_ms(scenario: Scenario, server: int, group: int) -> float:
    """Return the one-way delay between a server and the routers of a group."""
    fleet = scenario.fleet
    server_zone = server % len(fleet.zones)
    router_zone = group % len(fleet.zones)
    if server_zone == router_zone:
        return 0.0
    if fleet.regions and fleet.regions[server_zone] != fleet.regions[router_zone]:
        return fleet.inter_region_delay_ms
    return fleet.inter_zone_delay_ms
