"""Network links between a server and the routers: each group of routers knows the server by an address of its own.

So a link can fail for some routers and not for others, as networks do: blocked both ways or one way, slow, lossy, or
closed in the middle of answers. Routers belong to the group of their number modulo ``routers.link_groups``.

What was sent into a blocked link arrives when it is unblocked, as TCP retransmits it; no new connections are
established meanwhile. One thing differs from a real network: a server learns at once that a router has closed its end.
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

RETRANSMIT_TIMEOUT_MS = 200.0  # the least that Linux waits before TCP retransmits a lost segment
_SHORTEST_WAIT_MS = 0.5
_BACKLOG = 512
_BLACKHOLE_FILLERS = 2  # connections that fill the accept queue of a listening socket with a backlog of 0


class ServerLink:
    """One address of a server, and the network conditions between the server and the routers that use the address."""

    def __init__(
        self, group: int, draws: UniformDraws, base_delay_ms: float = 0.0, stripe: PortStripe = WHOLE_RANGE
    ) -> None:
        self.group = group
        self.draws = draws
        self.port = 0
        self.base_delay_ms = base_delay_ms  # one way, by distance
        self.delay_ms = base_delay_ms  # one way, with what a fault adds
        self.loss_rate = 0.0  # of pieces, which are delivered after a retransmission
        self.truncation_rate = 0.0  # of answers, after half of which the connection is closed
        self.inbound_blocked = False  # towards the server
        self.outbound_blocked = False
        self._stripe = stripe
        self._listener: asyncio.Server | None = None
        self._blackhole_sockets: list[socket.socket] = []

    @property
    def is_blocked(self) -> bool:
        """Whether a direction is blocked, so that no connection can be established."""
        return self.inbound_blocked or self.outbound_blocked

    @property
    def is_transparent(self) -> bool:
        """Whether the link neither delays nor changes anything."""
        return not (self.delay_ms or self.loss_rate or self.truncation_rate or self.is_blocked)

    def set_conditions(self, conditions: dict[str, float]) -> None:
        """Set conditions by the names of their attributes; a delay is added to the base delay.

        Raise a ValueError for a name that is no condition.
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
        """Listen, at the same address as before if there was one; a blocked link's address does not respond."""
        self.port = self.port or free_port(socket.SOCK_STREAM, self._stripe)
        if self.is_blocked:
            self.blackhole()
            return
        self._clear_blackhole()
        listening = self._listening_socket(_BACKLOG)
        self._listener = await asyncio.get_running_loop().create_server(connection, sock=listening, backlog=_BACKLOG)

    def _listening_socket(self, backlog: int) -> socket.socket:
        """Return a socket that listens at the link's address; raise an OSError if the address is taken."""
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
        """Stop listening: new connections are refused by the system."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._clear_blackhole()

    def blackhole(self) -> None:
        """Let connection attempts time out.

        A listening socket whose accept queue is full answers no SYN, as an unreachable machine does not.
        """
        self.close()
        try:
            listening = self._listening_socket(backlog=0)
        except OSError:  # the address is not free yet: new connections are refused instead
            return
        self._blackhole_sockets.append(listening)
        for _ in range(_BLACKHOLE_FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._blackhole_sockets.append(filler)

    def _clear_blackhole(self) -> None:
        for sock in self._blackhole_sockets:
            with contextlib.suppress(OSError):
                sock.close()
        self._blackhole_sockets = []


class _Piece(NamedTuple):
    due_at: float  # ms, infinite while the link is blocked
    data: bytes


class LinkDirection:
    """One direction of one connection: delivers pieces in order, each as late as the link's conditions make it."""

    __slots__ = ("_deliver", "_is_outbound", "_is_timer_set", "_link", "_pieces", "_scheduler")

    def __init__(
        self, link: ServerLink, is_outbound: bool, scheduler: Scheduler, deliver: Callable[[bytes], None]
    ) -> None:
        self._link = link
        self._is_outbound = is_outbound
        self._scheduler = scheduler
        self._deliver = deliver
        self._pieces: deque[_Piece] = deque()
        self._is_timer_set = False

    def push(self, data: bytes) -> None:
        """Send a piece."""
        if not self._pieces and self._link.is_transparent:
            self._deliver(data)
            return
        self._pieces.append(_Piece(self._due_at(), data))
        self._deliver_due()

    def _due_at(self) -> float:
        link = self._link
        if link.outbound_blocked if self._is_outbound else link.inbound_blocked:
            return math.inf
        is_lost = link.loss_rate > 0 and link.draws.next() < link.loss_rate
        return self._scheduler.now() + link.delay_ms + (RETRANSMIT_TIMEOUT_MS if is_lost else 0.0)

    def resume(self) -> None:
        """Apply changed conditions: pieces that were blocked are sent again."""
        self._pieces = deque(
            _Piece(self._due_at(), piece.data) if piece.due_at == math.inf else piece for piece in self._pieces
        )
        self._deliver_due()

    def _deliver_due(self) -> None:
        while self._pieces and self._pieces[0].due_at <= self._scheduler.now():
            self._deliver(self._pieces.popleft().data)
        if self._pieces and self._pieces[0].due_at < math.inf and not self._is_timer_set:
            self._is_timer_set = True
            wait = max(_SHORTEST_WAIT_MS, self._pieces[0].due_at - self._scheduler.now())
            self._scheduler.after(wait, self._on_timer)

    def _on_timer(self) -> None:
        self._is_timer_set = False
        self._deliver_due()
