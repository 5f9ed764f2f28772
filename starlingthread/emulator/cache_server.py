"""An emulated cache server on sockets: its life cycle, its connections and the faults injected into it."""

from __future__ import annotations

import contextlib
from typing import NamedTuple

import numpy as np

from ..experiment.randomness import UniformDraws
from ..experiment.records import Ledger, ServerEvent
from .schedule import Scheduler
from .server_answers import AnswerFaults
from .server_connection import ServerConnection
from .server_links import ServerLink
from .server_model import ServerModel


class _DeferredInput(NamedTuple):
    connection: ServerConnection
    data: bytes
    arrived_at: float


class _DeferredOutput(NamedTuple):
    connection: ServerConnection
    data: bytes


class CacheServer:
    """A cache server: a behavior model behind one listening socket for each group of routers."""

    def __init__(
        self,
        model: ServerModel,
        value_bytes: int,
        scheduler: Scheduler,
        ledger: Ledger,
        rng: np.random.Generator,
        links: list[ServerLink] | None = None,
    ) -> None:
        draws = UniformDraws(rng)
        self.model = model
        self.scheduler = scheduler
        self.ledger = ledger
        self.number = model.number
        self.padding = b"x" * value_bytes
        self.links = links or [ServerLink(0, draws)]
        self.connections: set[ServerConnection] = set()
        self.answer_faults = AnswerFaults(draws)
        self.malformed_commands = 0
        self.is_listening = False
        self.is_unreachable = False
        self.is_frozen = False
        self.read_bytes_per_s = 0.0  # limit on what is read of each connection; 0: none
        self._deferred_input: list[_DeferredInput] = []
        self._deferred_output: list[_DeferredOutput] = []
        model.on_overload_crash = self.crash_by_overload

    def record_event(self, kind: str, overloading_requests: tuple[str, ...] = ()) -> None:
        """Append an event of this server to the ledger."""
        self.ledger.server_events.append(ServerEvent(self.number, kind, self.scheduler.now(), overloading_requests))

    # life cycle

    @property
    def port(self) -> int:
        """The port at which the first group of routers reaches the server."""
        return self.links[0].port

    async def start(self) -> None:
        """Listen for connections; a server that has listened before reuses its addresses."""
        self.is_listening = True
        for link in self.links:
            await self._open(link)

    async def _open(self, link: ServerLink) -> None:
        await link.open(lambda: ServerConnection(self, link))

    def crash(self) -> None:
        """Emulate the end of the server process: reset open connections and refuse new ones."""
        self.record_event("gone")
        self._stop_listening()
        self.resume(discard=True)
        self._reset_connections()
        self.model.boot(is_warm=False)

    def crash_by_overload(self, request_ids: tuple[str, ...]) -> None:
        """Crash because the work of the given requests exceeded the capacity."""
        self.record_event("fell", request_ids)
        self.crash()

    async def restart(self) -> None:
        """Start a new server process at the same addresses, with an empty cache."""
        self.model.boot(is_warm=False)
        self.record_event("cold")
        await self.start()

    def drain(self) -> None:
        """Finish the commands in flight and reject new ones."""
        self.model.draining = True
        self.record_event("draining")

    def _stop_listening(self) -> None:
        self.is_listening = False
        for link in self.links:
            link.close()

    def _reset_connections(self) -> None:
        for connection in list(self.connections):
            connection.reset()

    # faults

    def become_unreachable(self) -> None:
        """Disconnect the machine from the network: open connections stall, and new ones are never established."""
        self.is_unreachable = True
        self.record_event("gone")
        for connection in self.connections:
            connection.is_dead = True
            with contextlib.suppress(RuntimeError):
                connection.transport.pause_reading()
        self._stop_listening()
        for link in self.links:
            link.blackhole()

    async def become_reachable(self) -> None:
        """Reconnect the machine to the network: reset the old connections and listen again."""
        self._reset_connections()
        self.is_unreachable = False
        self.record_event("up")
        await self.start()

    async def set_link_conditions(self, groups: list[int], conditions: dict[str, float]) -> None:
        """Set conditions, named like the attributes of ServerLink, on the links of the given groups of routers.

        An empty list of groups selects all links.
        """
        for link in self.links:
            if groups and link.group not in groups:
                continue
            was_blocked = link.is_blocked
            link.set_conditions(conditions)
            if self.is_listening and link.is_blocked and not was_blocked:
                link.blackhole()
            elif self.is_listening and was_blocked and not link.is_blocked:
                await self._open(link)
            for connection in list(self.connections):
                if connection.link is link:
                    connection.inbound.resume()
                    connection.outbound.resume()

    def freeze(self) -> None:
        """Suspend the server process; the kernel still accepts connections and buffers received bytes."""
        self.is_frozen = True

    def resume(self, discard: bool = False) -> None:
        """Resume a frozen server process.

        Send the output and handle the input that were deferred while it was frozen, or drop both if ``discard``.
        """
        self.is_frozen = False
        deferred_output, self._deferred_output = self._deferred_output, []
        deferred_input, self._deferred_input = self._deferred_input, []
        if discard:
            return
        for deferred in deferred_output:
            deferred.connection.write(deferred.data)
        for arrival in deferred_input:
            arrival.connection.receive(arrival.data, arrival.arrived_at)

    def defer_input(self, connection: ServerConnection, data: bytes) -> None:
        """Hold bytes that arrive while the server is frozen until it resumes."""
        self._deferred_input.append(_DeferredInput(connection, data, self.scheduler.now()))

    def defer_output(self, connection: ServerConnection, data: bytes) -> None:
        """Hold bytes to be sent while the server is frozen until it resumes."""
        self._deferred_output.append(_DeferredOutput(connection, data))
