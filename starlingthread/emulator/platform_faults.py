"""Faults of discovery, the origin, datagrams, clients and routers."""

from __future__ import annotations

import asyncio
import signal

from .fault_actions import FaultAction, InjectedFault


class DiscoveryPartition(FaultAction):
    """Routers are partitioned from discovery."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.partition_discovery(set(injected.affected), True)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.partition_discovery(set(injected.affected), False)


class PeerPartition(FaultAction):
    """Routers are partitioned from their peers."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.partition_peers(set(injected.affected), True)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.partition_peers(set(injected.affected), False)


class DatagramLoss(FaultAction):
    """A share of the datagrams between routers is lost."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.set_datagram_loss(injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.set_datagram_loss(0.0)


# discovery, origin, clients


class DiscoveryOutage(FaultAction):
    """Discovery is down."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.set_discovery_down(True)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.set_discovery_down(False)


class SlowDiscovery(FaultAction):
    """Each call to discovery takes longer."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.delay_discovery(injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.delay_discovery(0.0)


class SilentWatches(FaultAction):
    """The watches that are open at this moment fall silent for good; new ones work."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.silence_watches()


class SlowOrigin(FaultAction):
    """The origin is slower by a factor."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.slow_origin(injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.slow_origin(1.0)


class BadClients(FaultAction):
    """Clients send garbage, or half commands."""

    def __init__(self, half_commands: bool) -> None:
        self._half_commands = half_commands

    async def begin(self, injected: InjectedFault) -> None:
        fault = injected.fault
        await injected.testbed.bad_clients(fault.strength, fault.length_s, self._half_commands)


class IdleClients(FaultAction):
    """A crowd of clients connects, says little or nothing and comes back when it is disconnected."""

    async def begin(self, injected: InjectedFault) -> None:
        fault = injected.fault
        await injected.testbed.call_clients("idle_clients", int(fault.strength), fault.length_s)


class LeavingClients(FaultAction):
    """A share of the clients closes its connection before the answer."""

    async def begin(self, injected: InjectedFault) -> None:
        await injected.testbed.call_clients("leave", injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        await injected.testbed.call_clients("leave", injected.testbed.scenario.traffic.abandon_share)


# routers


class KilledRouters(FaultAction):
    """Routers are killed, and started again at the end."""

    async def begin(self, injected: InjectedFault) -> None:
        for number in injected.affected:
            await injected.testbed.kill_router(number)

    async def end(self, injected: InjectedFault) -> None:
        await asyncio.gather(*(injected.testbed.start_router(number) for number in injected.affected))


class StoppedRouters(FaultAction):
    """Routers are stopped by SIGSTOP."""

    async def begin(self, injected: InjectedFault) -> None:
        for number in injected.affected:
            injected.testbed.signal_router(number, signal.SIGSTOP)

    async def end(self, injected: InjectedFault) -> None:
        for number in injected.affected:
            injected.testbed.signal_router(number, signal.SIGCONT)


class RestartedRouters(FaultAction):
    """Routers are restarted gracefully."""

    async def begin(self, injected: InjectedFault) -> None:
        await asyncio.gather(*(injected.testbed.restart_router(number) for number in injected.affected))


class SignalledRouters(FaultAction):
    """Routers get signals in series, are killed as early as allowed after SIGTERM, and get signals as they start."""

    async def begin(self, injected: InjectedFault) -> None:
        await asyncio.gather(*(injected.testbed.signal_and_restart_router(n) for n in injected.affected))
