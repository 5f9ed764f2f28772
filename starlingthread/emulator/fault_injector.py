"""Fault injector: begins and ends the faults of a scenario on the testbed at their scheduled times."""

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

# Time after SIGTERM during which the load balancer in front of the routers still sends new connections to a router.
DEREGISTRATION_DELAY_S = 0.3


class FaultInjector:
    """Injects the faults of the testbed's scenario."""

    def __init__(self, testbed: Testbed, rng: np.random.Generator) -> None:
        self.testbed = testbed
        self.scenario = testbed.scenario
        # All targets are drawn in advance and in order, so that they do not depend on the timing of the run.
        self.plan = [(fault, targets(fault, self.scenario, rng)) for fault in self.scenario.faults]
        self._scheduled: set[asyncio.Task[None]] = set()

    async def run(self, started_at: float) -> None:
        """Inject all faults; return when they and their scheduled actions have ended.

        ``started_at`` is the start of the run in milliseconds.
        """
        await asyncio.gather(*(self._inject(fault, affected, started_at) for fault, affected in self.plan))
        await asyncio.gather(*self._scheduled)

    def schedule(self, delay_s: float, work: Callable[[], Awaitable[None]]) -> None:
        """Run an action after a delay; ``run`` waits for it to end."""

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
    """Return the target as shown in reports; empty for a fault that affects neither servers nor routers."""
    numbers = ",".join(map(str, affected))
    if affects_routers(fault):
        return f"routers {numbers}"
    action = FAULT_ACTIONS.get(fault.kind)
    return f"servers {numbers}" if action is not None and action.affects_servers else ""


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at / 1000.0 - time.monotonic()))
