"""Dependencies that the actors of all cache servers share: router, clock, counters, timers, settings and limits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from ...core.clock import Clock
from ...core.counters import Counters
from ...core.deadlines import Deadlines
from ...core.pipe import ByteBudget
from ...core.router import Router
from ...core.task_supervisor import TaskSupervisor
from ...settings import Settings
from .idle_failures import IdleFailureRates

# The router closes idle connections after this share of the server's idle limit: a write that crosses the server's
# close would end in a reset.
IDLE_CLOSE_SHARE = 0.65


class UpstreamSettings(NamedTuple):
    """The settings that connections to cache servers depend on. Times are in milliseconds."""

    drain_grace: float
    connect_timeout: float
    max_idle: float
    load_report_fields: tuple[str, ...]

    @classmethod
    def create(cls, settings: Settings, idle_timeout: float) -> UpstreamSettings:
        """Derive the settings from those of the router and from the servers' idle limit in milliseconds."""
        return cls(
            drain_grace=settings.drain_grace,
            connect_timeout=settings.connect_timeout,
            max_idle=idle_timeout * IDLE_CLOSE_SHARE,
            load_report_fields=settings.load_report_fields,
        )


@dataclass(slots=True, eq=False)
class UpstreamContext:
    """Shared dependencies of pools, openers, readers, writers and actors; owned by the fleet."""

    router: Router
    supervisor: TaskSupervisor
    clock: Clock
    counters: Counters
    deadlines: Deadlines
    settings: UpstreamSettings
    # Returns whether one more connection may be opened; at the fleet's limit it closes the longest idle one first.
    may_open_connection: Callable[[], bool]
    # The byte budget is shared by all streamed values.
    value_budget: ByteBudget = field(default_factory=lambda: ByteBudget(0))
    # What is buffered completely, shared with the client connections.
    buffers: ByteBudget = field(default_factory=lambda: ByteBudget(0))
    idle_failure_rates: IdleFailureRates = field(default_factory=IdleFailureRates)
    in_maintenance: set[int] = field(default_factory=set)  # numbers of the servers in maintenance
