"""The kinds of faults, by their names in scenarios."""

from __future__ import annotations

from .fault_actions import FaultAction
from .platform_faults import (
    BadClients,
    DatagramLoss,
    DiscoveryOutage,
    DiscoveryPartition,
    IdleClients,
    KilledRouters,
    LeavingClients,
    PeerPartition,
    RestartedRouters,
    SignalledRouters,
    SilentWatches,
    SlowDiscovery,
    SlowOrigin,
    StoppedRouters,
)
from .server_faults import (
    Crash,
    HeavyTail,
    LinkCondition,
    LinkCut,
    Pause,
    RepeatedPauses,
    Replacement,
    ScaleDown,
    ServerAttribute,
    Unreachable,
)

# By kind. A surge is none of them: the arrivals of the load tool contain it.
FAULT_ACTIONS: dict[str, FaultAction] = {
    "slow": ServerAttribute("slowdown", normal=1.0),
    "heavy-tail": HeavyTail(),
    "late-reports": ServerAttribute("extra_report_delay_ms", normal=0.0),
    "reset": ServerAttribute("reset_rate", normal=0.0),
    "spoilt": ServerAttribute("corruption_rate", normal=0.0),
    "half-answers": ServerAttribute("truncation_rate", normal=0.0),
    "pause": Pause(),
    "pauses": RepeatedPauses(),
    "silent": Unreachable(),
    "zone-dark": Unreachable(),
    "crash": Crash(),
    "replace": Replacement(),
    "shrink": ScaleDown(),
    "link-cut": LinkCut(),
    "link-slow": LinkCondition("delay_ms"),
    "link-lossy": LinkCondition("loss_rate"),
    "link-broken": LinkCondition("truncation_rate"),
    "discovery-cut": DiscoveryPartition(),
    "peers-cut": PeerPartition(),
    "lost-datagrams": DatagramLoss(),
    "discovery-down": DiscoveryOutage(),
    "origin-jam": SlowOrigin(),
    "garbage-clients": BadClients(half_commands=False),
    "half-commands": BadClients(half_commands=True),
    "leaving-clients": LeavingClients(),
    "kill-router": KilledRouters(),
    "stop-router": StoppedRouters(),
    "restart-router": RestartedRouters(),
    "signals-router": SignalledRouters(),
    "silent-watches": SilentWatches(),
    "discovery-slow": SlowDiscovery(),
    "idle-clients": IdleClients(),
}
