"""Faults of servers and of the links between servers and routers."""

from __future__ import annotations

import asyncio
import contextlib
from functools import partial

from ..experiment.scenario import Fault
from .fault_actions import FaultAction, InjectedFault
from .fault_targets import affected_link_groups

# Time that a draining server has to finish its commands in flight.
DRAIN_PERIOD_S = 3.0


# servers


class ServerAttribute(FaultAction):
    """Sets an attribute of the servers to the strength of the fault."""

    affects_servers = True

    def __init__(self, name: str, normal_value: float) -> None:
        self._name = name
        self._normal_value = normal_value

    async def begin(self, injected: InjectedFault) -> None:
        await self._set(injected, injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        await self._set(injected, self._normal_value)

    async def _set(self, injected: InjectedFault, value: float) -> None:
        for number in injected.affected:
            await injected.testbed.set_server_attribute(number, self._name, value)


class HeavyTail(FaultAction):
    """Multiplies the duration of a share of the commands."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        for number in injected.affected:
            await injected.testbed.set_server_attribute(number, "tail_share", injected.fault.command_share)
            await injected.testbed.set_server_attribute(number, "tail_factor", injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        for number in injected.affected:
            await injected.testbed.set_server_attribute(number, "tail_share", 0.0)


class Pause(FaultAction):
    """Freezes the servers until the fault ends."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        await injected.call_servers("freeze")

    async def end(self, injected: InjectedFault) -> None:
        await injected.call_servers("resume")


class RepeatedPauses(FaultAction):
    """Freezes each server repeatedly for a short time, at offsets between the servers."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        for position, number in enumerate(injected.affected):
            offset_s = injected.fault.pause_interval_s * position / len(injected.affected)
            injected.schedule(offset_s, partial(self._pause_repeatedly, injected, number))

    async def _pause_repeatedly(self, injected: InjectedFault, number: int) -> None:
        fault = injected.fault
        pause_s = fault.strength / 1000.0
        for _ in range(max(1, int(fault.length_s / fault.pause_interval_s))):
            await injected.call_each((number,), "freeze")
            await asyncio.sleep(pause_s)
            await injected.call_each((number,), "resume")
            await asyncio.sleep(max(0.0, fault.pause_interval_s - pause_s))


class Unreachable(FaultAction):
    """Disconnects the machines of the servers from the network."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        await injected.call_servers("become_unreachable")
        injected.publish_crash_later()

    async def end(self, injected: InjectedFault) -> None:
        await injected.call_servers("become_reachable")
        injected.publish_recovery_later(restarted=False)


class Crash(FaultAction):
    """Crashes the server processes, and restarts them when the fault ends."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        await injected.call_servers("crash")
        injected.publish_crash_later()

    async def end(self, injected: InjectedFault) -> None:
        await injected.call_servers("restart")
        injected.publish_recovery_later(restarted=True)


class Replacement(FaultAction):
    """Replaces the servers by new ones at the same addresses before discovery detects the crash."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        await injected.call_servers("crash")
        await asyncio.sleep(injected.fault.strength / 1000.0)
        await injected.call_servers("restart")
        injected.publish_recovery_later(restarted=True)


class ScaleDown(FaultAction):
    """Drains and terminates the servers; new ones start when the fault ends."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        notice_ms = injected.testbed.scenario.discovery.notice_ms
        await injected.call_servers("drain")
        injected.publish_later(notice_ms, "terminating")
        injected.schedule(DRAIN_PERIOD_S, partial(injected.call_servers, "crash"))
        injected.publish_later(DRAIN_PERIOD_S * 1000.0 + notice_ms, "terminated")

    async def end(self, injected: InjectedFault) -> None:
        await injected.call_servers("restart")
        injected.publish_recovery_later(restarted=True)


# links


class _LinkFault(FaultAction):
    """Base class of faults that change the conditions of the links between the servers and some routers."""

    affects_servers = True

    def conditions(self, fault: Fault, is_active: bool) -> dict[str, float]:
        """Return the link conditions that apply while the fault is active, or after it has ended."""
        raise NotImplementedError

    async def begin(self, injected: InjectedFault) -> None:
        await self._set(injected, is_active=True)

    async def end(self, injected: InjectedFault) -> None:
        await self._set(injected, is_active=False)

    async def _set(self, injected: InjectedFault, is_active: bool) -> None:
        groups = affected_link_groups(injected.fault, injected.testbed.scenario)
        conditions = self.conditions(injected.fault, is_active)
        for number in injected.affected:
            with contextlib.suppress(ConnectionError):
                await injected.testbed.set_link_conditions(number, groups, conditions)


class LinkCondition(_LinkFault):
    """Sets one link condition to the strength of the fault."""

    def __init__(self, name: str) -> None:
        self._name = name

    def conditions(self, fault: Fault, is_active: bool) -> dict[str, float]:
        return {self._name: fault.strength if is_active else 0.0}


class LinkCut(_LinkFault):
    """Blocks the links in one or both directions."""

    def conditions(self, fault: Fault, is_active: bool) -> dict[str, float]:
        return {
            "inbound_blocked": is_active and fault.direction != "from-server",
            "outbound_blocked": is_active and fault.direction != "to-server",
        }
