"""Emulated network links between a server and the routers, with a separate server address for each group of routers.

A link can therefore fail for some routers only: it can be blocked in one or both directions, slow, lossy, or closed in
the middle of answers. The group of a router is its number modulo ``routers.link_groups``.

Data sent into a blocked link arrives when the link is unblocked, as with retransmissions of TCP; no new connections
are established while it is blocked. Unlike in a real network, a server learns at once that a router has closed its end.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..experiment.randomness import UniformDraws
from .port_allocation import WHOLE_RANGE, PortStripe, free_port
from .schedule import Scheduler

# Minimum time after which TCP retransmits a lost segment on Linux.
RETRANSMIT_TIMEOUT_MS = 200.0
_MIN_TIMER_MS = 0.5
_BACKLOG = 512
# Number of connections that fill the accept queue of a listening socket with a backlog of 0.
_BLACKHOLE_FILLER_CONNECTIONS = 2


class ServerLink:
    """One address of a server, and the network conditions between the server and the routers that use it."""

    def __init__(
        self, group: int, draws: UniformDraws, base_delay_ms: float = 0.0, stripe: PortStripe = WHOLE_RANGE
    ) -> None:
        self.group = group
        self.draws = draws
        self.port = 0
        self.base_delay_ms = base_delay_ms  # one-way delay due to the distance
        self.delay_ms = base_delay_ms  # one-way delay including the delay that a fault adds
        self.loss_rate = 0.0  # share of chunks that are delivered only after a retransmission
        self.truncation_rate = 0.0  # share of answers that are cut in half by closing the connection
        self.inbound_blocked = False  # whether data from the routers to the server is blocked
        self.outbound_blocked = False
        self._stripe = stripe
        self._listener: asyncio.Server | None = None
        self._blackhole_sockets: list[socket.socket] = []

    @property
    def is_blocked(self) -> bool:
        """Whether a direction is blocked; no connection can then be established."""
        return self.inbound_blocked or self.outbound_blocked

    @property
    def is_transparent(self) -> bool:
        """Whether the link delivers all data unchanged and without delay."""
        return not (self.delay_ms or self.loss_rate or self.truncation_rate or self.is_blocked)

    def set_conditions(self, conditions: dict[str, float]) -> None:
        """Set conditions by attribute name; ``delay_ms`` is added to the base delay.

        Raise a ValueError for a name that is not a condition.
        """
        for name, value in conditions.items():
            if name == "delay_ms":
                self.delay_ms = self.base_delay_ms + value
            elif name == "loss_rate":
                self.loss_rate = value
            elif name == "truncation_rate":
                self.truncation_rate = value
            elif name == "inbound_blocked":
                self.inbound_blocked = bool(value)
            elif name == "outbound_blocked":
                self.outbound_blocked = bool(value)
            else:
                raise ValueError(f"unknown link condition {name!r}")

    async def open(self, connection: Callable[[], asyncio.Protocol]) -> None:
        """Listen for connections, or be unresponsive if blocked; a link that has listened before reuses its address."""
        self.port = self.port or free_port(socket.SOCK_STREAM, self._stripe)
        if self.is_blocked:
            self.blackhole()
            return
        self._clear_blackhole()
        listening = self._listening_socket(_BACKLOG)
        self._listener = await asyncio.get_running_loop().create_server(connection, sock=listening, backlog=_BACKLOG)

    def _listening_socket(self, backlog: int) -> socket.socket:
        """Return a socket that listens at the address of the link; raise an OSError if the address is in use."""
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listening.bind(("127.0.0.1", self.port))
            listening.listen(backlog)
        except OSError:
            listening.close()
            raise
        return listening

    def close(self) -> None:
        """Stop listening; the kernel then refuses new connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._clear_blackhole()

    def blackhole(self) -> None:
        """Make connection attempts time out.

        A listening socket whose accept queue is full does not answer a SYN, like an unreachable machine.
        """
        self.close()
        try:
            listening = self._listening_socket(backlog=0)
        except OSError:  # The address is still in use; new connections are refused instead of timing out.
            return
        self._blackhole_sockets.append(listening)
        for _ in range(_BLACKHOLE_FILLER_CONNECTIONS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._blackhole_sockets.append(filler)

    def _clear_blackhole(self) -> None:
        for sock in self._blackhole_sockets:
            with contextlib.suppress(OSError):
                sock.close()
        self._blackhole_sockets = []


class _Chunk(NamedTuple):
    due_at: float  # delivery time in ms, infinite while the link is blocked
    data: bytes


class LinkDirection:
    """One direction of a connection: delivers chunks of data in order, delayed by the conditions of the link."""

    __slots__ = ("_chunks", "_deliver", "_is_outbound", "_is_timer_set", "_link", "_scheduler")

    def __init__(
        self, link: ServerLink, is_outbound: bool, scheduler: Scheduler, deliver: Callable[[bytes], None]
    ) -> None:
        self._link = link
        self._is_outbound = is_outbound
        self._scheduler = scheduler
        self._deliver = deliver
        self._chunks: deque[_Chunk] = deque()
        self._is_timer_set = False

    def push(self, data: bytes) -> None:
        """Send a chunk of data."""
        if not self._chunks and self._link.is_transparent:
            self._deliver(data)
            return
        self._chunks.append(_Chunk(self._due_at(), data))
        self._deliver_due()

    def _due_at(self) -> float:
        link = self._link
        if link.outbound_blocked if self._is_outbound else link.inbound_blocked:
            return math.inf
        is_lost = link.loss_rate > 0 and link.draws.next() < link.loss_rate
        return self._scheduler.now() + link.delay_ms + (RETRANSMIT_TIMEOUT_MS if is_lost else 0.0)

    def resume(self) -> None:
        """Apply changed link conditions; chunks that were blocked are sent again."""
        self._chunks = deque(
            _Chunk(self._due_at(), chunk.data) if chunk.due_at == math.inf else chunk for chunk in self._chunks
        )
        self._deliver_due()

    def _deliver_due(self) -> None:
        while self._chunks and self._chunks[0].due_at <= self._scheduler.now():
            self._deliver(self._chunks.popleft().data)
        if self._chunks and self._chunks[0].due_at < math.inf and not self._is_timer_set:
            self._is_timer_set = True
            wait_ms = max(_MIN_TIMER_MS, self._chunks[0].due_at - self._scheduler.now())
            self._scheduler.after(wait_ms, self._on_timer)

    def _on_timer(self) -> None:
        self._is_timer_set = False
        self._deliver_due()
