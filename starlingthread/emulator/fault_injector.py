"""Injects the faults of a scenario into the testbed, each at its time, and ends them at theirs."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import numpy as np

from ..experiment.records import FaultRecord
from ..experiment.scenario import Fault
from .fault_actions import InjectedFault
from .fault_kinds import FAULT_ACTIONS
from .fault_targets import affected_link_groups, affects_routers, targets
from .testbed_interface import Testbed

FRONT_GRACE_S = 0.3  # for which new connections still go to a router after SIGTERM


class FaultInjector:
    """Injects a scenario's faults."""

    def __init__(self, testbed: Testbed, rng: np.random.Generator) -> None:
        self.testbed = testbed
        self.scenario = testbed.scenario
        # Drawn in advance and in order, so that the targets do not depend on the timing of the run.
        self.plan = [(fault, targets(fault, self.scenario, rng)) for fault in self.scenario.faults]
        self._scheduled: set[asyncio.Task[None]] = set()

    async def run(self, started_at: float) -> None:
        """Inject all faults; ``started_at`` is the run's start in milliseconds."""
        await asyncio.gather(*(self._inject(fault, affected, started_at) for fault, affected in self.plan))
        await asyncio.gather(*self._scheduled)

    def schedule(self, delay_s: float, work: Callable[[], Awaitable[None]]) -> None:
        """Do something after a delay; the run of faults does not end before."""

        async def wait() -> None:
            await asyncio.sleep(delay_s)
            await work()

        self._scheduled.add(asyncio.create_task(wait()))

    async def _inject(self, fault: Fault, affected: tuple[int, ...], started_at: float) -> None:
        injected = InjectedFault(fault, affected, self.testbed, self.schedule)
        action = FAULT_ACTIONS.get(fault.kind)
        await _sleep_until(started_at + fault.start_s * 1000.0)
        began_at = time.monotonic() * 1000.0
        if action is not None:
            await action.begin(injected)
        await _sleep_until(started_at + (fault.start_s + fault.length_s) * 1000.0)
        if action is not None and fault.length_s:
            await action.end(injected)
        self._record(fault, affected, began_at)

    def _record(self, fault: Fault, affected: tuple[int, ...], began_at: float) -> None:
        self.testbed.record_fault(
            FaultRecord(
                label=fault.label(),
                kind=fault.kind,
                began_at=began_at,
                ended_at=time.monotonic() * 1000.0,
                target=_describe_target(fault, affected),
                affected=affected,
                groups=tuple(affected_link_groups(fault, self.scenario)),
                direction=fault.direction,
            )
        )


def _describe_target(fault: Fault, affected: tuple[int, ...]) -> str:
    """Return the target as reports show it; empty for a fault that affects neither servers nor routers."""
    numbers = ",".join(map(str, affected))
    if affects_routers(fault):
        return f"routers {numbers}"
    action = FAULT_ACTIONS.get(fault.kind)
    return f"servers {numbers}" if action is not None and action.affects_servers else ""


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at / 1000.0 - time.monotonic()))
