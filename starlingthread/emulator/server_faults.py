"""Faults of servers and of the links between servers and routers."""

from __future__ import annotations

import asyncio
import contextlib
from functools import partial

from ..experiment.scenario import Fault
from .fault_actions import FaultAction, InjectedFault
from .fault_targets import affected_link_groups

DRAIN_PERIOD_S = 3.0  # that a draining server has for its commands in flight


# servers


class ServerAttribute(FaultAction):
    """An attribute of the servers is set to the strength of the fault."""

    affects_servers = True

    def __init__(self, name: str, normal: float) -> None:
        self._name = name
        self._normal = normal

    async def begin(self, injected: InjectedFault) -> None:
        await self._set(injected, injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        await self._set(injected, self._normal)

    async def _set(self, injected: InjectedFault, value: float) -> None:
        for number in injected.affected:
            await injected.testbed.set_server_attribute(number, self._name, value)


class HeavyTail(FaultAction):
    """A share of the commands takes many times longer."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        for number in injected.affected:
            await injected.testbed.set_server_attribute(number, "tail_share", injected.fault.command_share)
            await injected.testbed.set_server_attribute(number, "tail_factor", injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        for number in injected.affected:
            await injected.testbed.set_server_attribute(number, "tail_share", 0.0)


class Pause(FaultAction):
    """The servers freeze."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        await injected.call_servers("freeze")

    async def end(self, injected: InjectedFault) -> None:
        await injected.call_servers("resume")


class RepeatedPauses(FaultAction):
    """The servers freeze for a moment again and again, one after another."""

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
    """The servers' machines are cut off from the network."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        await injected.call_servers("become_unreachable")
        injected.publish_crash_later()

    async def end(self, injected: InjectedFault) -> None:
        await injected.call_servers("become_reachable")
        injected.publish_return_later(restarted=False)


class Crash(FaultAction):
    """The servers' processes die, and start again at the end."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        await injected.call_servers("crash")
        injected.publish_crash_later()

    async def end(self, injected: InjectedFault) -> None:
        await injected.call_servers("restart")
        injected.publish_return_later(restarted=True)


class Replacement(FaultAction):
    """The servers are replaced by new ones at the same addresses before discovery notices."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        await injected.call_servers("crash")
        await asyncio.sleep(injected.fault.strength / 1000.0)
        await injected.call_servers("restart")
        injected.publish_return_later(restarted=True)


class ScaleDown(FaultAction):
    """The servers drain and terminate; new ones start at the end."""

    affects_servers = True

    async def begin(self, injected: InjectedFault) -> None:
        notice_ms = injected.testbed.scenario.discovery.notice_ms
        await injected.call_servers("drain")
        injected.publish_later(notice_ms, "terminating")
        injected.schedule(DRAIN_PERIOD_S, partial(injected.call_servers, "crash"))
        injected.publish_later(DRAIN_PERIOD_S * 1000.0 + notice_ms, "terminated")

    async def end(self, injected: InjectedFault) -> None:
        await injected.call_servers("restart")
        injected.publish_return_later(restarted=True)


# links


class _LinkFault(FaultAction):
    """The links between the servers and some routers get other conditions."""

    affects_servers = True

    def conditions(self, fault: Fault, is_active: bool) -> dict[str, float]:
        """Return the conditions of the links while the fault is active, or after it."""
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
    """A condition of the links is set to the strength of the fault."""

    def __init__(self, name: str) -> None:
        self._name = name

    def conditions(self, fault: Fault, is_active: bool) -> dict[str, float]:
        return {self._name: fault.strength if is_active else 0.0}


class LinkCut(_LinkFault):
    """The links are blocked, both ways or one way."""

    def conditions(self, fault: Fault, is_active: bool) -> dict[str, float]:
        return {
            "inbound_blocked": is_active and fault.direction != "from-server",
            "outbound_blocked": is_active and fault.direction != "to-server",
        }
