"""Faults of discovery, the origin, datagrams, clients and routers."""

from __future__ import annotations

import asyncio
import signal

from .fault_actions import FaultAction, InjectedFault


class DiscoveryPartition(FaultAction):
    """Partition between routers and discovery."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.partition_discovery(set(injected.affected), True)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.partition_discovery(set(injected.affected), False)


class PeerPartition(FaultAction):
    """Partition between routers and their peers."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.partition_peers(set(injected.affected), True)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.partition_peers(set(injected.affected), False)


class DatagramLoss(FaultAction):
    """Loss of a share of the datagrams between routers."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.set_datagram_loss(injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.set_datagram_loss(0.0)


# discovery, origin, clients


class DiscoveryOutage(FaultAction):
    """Outage of discovery."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.set_discovery_down(True)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.set_discovery_down(False)


class SlowDiscovery(FaultAction):
    """Additional delay of each call to discovery."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.delay_discovery(injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.delay_discovery(0.0)


class SilentWatches(FaultAction):
    """Discovery sends nothing more on the watches that are open when the fault begins; watches opened later work."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.silence_watches()


class SlowOrigin(FaultAction):
    """Slowdown of the origin by a factor."""

    async def begin(self, injected: InjectedFault) -> None:
        injected.testbed.slow_origin(injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        injected.testbed.slow_origin(1.0)


class BadClients(FaultAction):
    """Clients that send invalid input, or incomplete commands if ``is_partial`` is true."""

    def __init__(self, is_partial: bool) -> None:
        self._is_partial = is_partial

    async def begin(self, injected: InjectedFault) -> None:
        fault = injected.fault
        await injected.testbed.bad_clients(fault.strength, fault.length_s, self._is_partial)


class IdleClients(FaultAction):
    """Many clients that connect, send little or nothing, and reconnect when they are disconnected."""

    async def begin(self, injected: InjectedFault) -> None:
        fault = injected.fault
        await injected.testbed.call_clients("idle_clients", int(fault.strength), fault.length_s)


class GreedyClients(FaultAction):
    """Clients that make routers hold or start as much as they can, and leave or wait."""

    async def begin(self, injected: InjectedFault) -> None:
        fault = injected.fault
        await injected.testbed.call_clients("greedy_clients", fault.strength, fault.length_s)


class DisconnectingClients(FaultAction):
    """Clients that close the connection before the answer, for a share of the requests."""

    async def begin(self, injected: InjectedFault) -> None:
        await injected.testbed.call_clients("leave", injected.fault.strength)

    async def end(self, injected: InjectedFault) -> None:
        await injected.testbed.call_clients("leave", injected.testbed.scenario.traffic.abandon_share)


# routers


class KilledRouters(FaultAction):
    """Routers that are killed by SIGKILL and started again when the fault ends."""

    async def begin(self, injected: InjectedFault) -> None:
        for number in injected.affected:
            await injected.testbed.kill_router(number)

    async def end(self, injected: InjectedFault) -> None:
        await asyncio.gather(*(injected.testbed.start_router(number) for number in injected.affected))


class StoppedRouters(FaultAction):
    """Routers that are stopped by SIGSTOP and continued by SIGCONT when the fault ends."""

    async def begin(self, injected: InjectedFault) -> None:
        for number in injected.affected:
            injected.testbed.signal_router(number, signal.SIGSTOP)

    async def end(self, injected: InjectedFault) -> None:
        for number in injected.affected:
            injected.testbed.signal_router(number, signal.SIGCONT)


class RestartedRouters(FaultAction):
    """Graceful restart of routers."""

    async def begin(self, injected: InjectedFault) -> None:
        await asyncio.gather(*(injected.testbed.restart_router(number) for number in injected.affected))


class SignalledRouters(FaultAction):
    """Restart of routers that receive signals before and during their shutdown and as their successors start.

    They are killed as soon after SIGTERM as the shutdown rules allow.
    """

    async def begin(self, injected: InjectedFault) -> None:
        await asyncio.gather(*(injected.testbed.signal_and_restart_router(n) for n in injected.affected))
