"""What the actors of all cache servers share: clock, counters, timers, limits, and the way to the router."""

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

# Fraction of a server's own idle limit after which we close: a write that crosses the server's close would be a reset.
IDLE_CLOSE_FRACTION = 0.65


class UpstreamSettings(NamedTuple):
    """The settings that connections to cache servers depend on. Times are in milliseconds."""

    drain_grace: float
    connect_timeout: float
    max_idle: float
    load_report_fields: tuple[str, ...]

    @classmethod
    def create(cls, settings: Settings, idle_timeout: float) -> UpstreamSettings:
        """Derive them from the router's settings and the servers' idle limit in milliseconds."""
        return cls(
            drain_grace=settings.drain_grace,
            connect_timeout=settings.connect_timeout,
            max_idle=idle_timeout * IDLE_CLOSE_FRACTION,
            load_report_fields=settings.load_report_fields,
        )


@dataclass(slots=True, eq=False)
class UpstreamContext:
    """Shared dependencies of pools, openers, readers, writers and actors; the fleet owns it."""

    router: Router
    supervisor: TaskSupervisor
    clock: Clock
    counters: Counters
    deadlines: Deadlines
    settings: UpstreamSettings
    may_open_connection: Callable[[], bool]  # whether the fleet's connection limit has room, made if need be
    value_budget: ByteBudget = field(default_factory=lambda: ByteBudget(0))  # for streamed values
    idle_failure_rates: IdleFailureRates = field(default_factory=IdleFailureRates)
    in_maintenance: set[int] = field(default_factory=set)  # servers that operators have taken out
