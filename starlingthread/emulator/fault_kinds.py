"""Registry of the fault actions by the names of the fault kinds in scenarios."""

from __future__ import annotations

from .fault_actions import FaultAction
from .platform_faults import (
    BadClients,
    DatagramLoss,
    DisconnectingClients,
    DiscoveryOutage,
    DiscoveryPartition,
    IdleClients,
    KilledRouters,
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

# Actions by fault kind. The kind "surge" has no action: the load tool adds a surge to the arrivals.
FAULT_ACTIONS: dict[str, FaultAction] = {
    "slow": ServerAttribute("slowdown", normal_value=1.0),
    "heavy-tail": HeavyTail(),
    "late-reports": ServerAttribute("extra_report_delay_ms", normal_value=0.0),
    "reset": ServerAttribute("reset_rate", normal_value=0.0),
    "spoilt": ServerAttribute("corruption_rate", normal_value=0.0),
    "half-answers": ServerAttribute("truncation_rate", normal_value=0.0),
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
    "garbage-clients": BadClients(is_partial=False),
    "half-commands": BadClients(is_partial=True),
    "leaving-clients": DisconnectingClients(),
    "kill-router": KilledRouters(),
    "stop-router": StoppedRouters(),
    "restart-router": RestartedRouters(),
    "signals-router": SignalledRouters(),
    "silent-watches": SilentWatches(),
    "discovery-slow": SlowDiscovery(),
    "idle-clients": IdleClients(),
}
