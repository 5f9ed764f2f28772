"""Links between a server and the routers: each group of routers knows the server by an address of its own.

So a link can fail for some routers and not for others, as networks do: cut both ways or one way, slow, lossy, or
broken in the middle of answers. Routers belong to the group of their number modulo ``routers.link_groups``.

What was sent into a cut link arrives when it heals, as TCP sends it again; new connections do not come up meanwhile.
One thing differs from a real network: a server learns at once that a router has closed its end.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections import deque
from collections.abc import Callable

from ..experiment.randomness import Chances
from .port_allocation import free_port
from .schedule import Schedule

RETRANSMIT_TIMEOUT_MS = 200.0  # ms until TCP sends a lost piece again: the least that Linux waits
BACKLOG = 512


class ServerLink:
    """One address of a server, and the state of the link of those who know it."""

    def __init__(self, group: int, chances: Chances, delay: float = 0.0, part: tuple[int, int] = (0, 1)) -> None:
        self.group, self.draws, self.port_stripe = group, chances, part
        self.port = 0
        self.base_delay_ms = self.delay_ms = delay  # ms one way: the distance, and what a fault adds
        self.loss_rate = self.truncation_rate = (
            0.0  # share of pieces that are lost at first; of answers cut in the middle
        )
        self.inbound_blocked = self.outbound_blocked = False  # nothing comes through to the server; from it
        self._listener: asyncio.Server | None = None
        self._blackhole_sockets: list[socket.socket] = []

    @property
    def is_transparent(self) -> bool:
        """Whether nothing is wrong with the link and it has no length."""
        return not (
            self.delay_ms or self.loss_rate or self.truncation_rate or self.inbound_blocked or self.outbound_blocked
        )

    async def open(self, connection: Callable[[], asyncio.Protocol]) -> None:
        """Listen, at the same address as before if there was one; a cut link's address answers nobody."""
        self.port = self.port or free_port(socket.SOCK_STREAM, *self.port_stripe)
        if self.inbound_blocked or self.outbound_blocked:
            self.blackhole()
            return
        self._clear_blackhole()
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(("127.0.0.1", self.port))
        self._listener = await asyncio.get_running_loop().create_server(connection, sock=listening, backlog=BACKLOG)

    def close(self) -> None:
        """Stop listening: new connections are refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._clear_blackhole()

    def blackhole(self) -> None:
        """Let new connections never come up.

        A listening socket whose one place is taken answers no SYN: that is how a missing machine looks.
        """
        self.close()
        deaf = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        deaf.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            deaf.bind(("127.0.0.1", self.port))
            deaf.listen(0)
        except OSError:  # the address is not free yet: new connections are refused instead
            deaf.close()
            return
        self._blackhole_sockets.append(deaf)
        for _ in range(2):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._blackhole_sockets.append(filler)

    def _clear_blackhole(self) -> None:
        for sock in self._blackhole_sockets:
            with contextlib.suppress(OSError):
                sock.close()
        self._blackhole_sockets = []


class LinkDirection:
    """One direction of one connection: pieces go through in order, as late as the link makes them."""

    __slots__ = ("_deliver", "_door", "_is_out", "_schedule", "_waiting", "_woken")

    def __init__(self, door: ServerLink, is_out: bool, schedule: Schedule, deliver: Callable[[bytes], None]) -> None:
        self._door, self._is_out, self._schedule, self._deliver = door, is_out, schedule, deliver
        self._waiting: deque[tuple[float, bytes]] = deque()
        self._woken = False

    def push(self, data: bytes) -> None:
        """Send a piece."""
        if not self._waiting and self._door.is_transparent:
            self._deliver(data)
            return
        self._waiting.append((self._due(), data))
        self._run()

    def _due(self) -> float:
        door = self._door
        if door.outbound_blocked if self._is_out else door.inbound_blocked:
            return math.inf
        lost = door.loss_rate > 0 and door.draws.next() < door.loss_rate
        return self._schedule.now() + door.delay_ms + (RETRANSMIT_TIMEOUT_MS if lost else 0.0)

    def resume(self) -> None:
        """The link is whole again: what was held is on its way now."""
        self._waiting = deque((self._due() if at == math.inf else at, data) for at, data in self._waiting)
        self._run()

    def _run(self) -> None:
        while self._waiting and self._waiting[0][0] <= self._schedule.now():
            self._deliver(self._waiting.popleft()[1])
        if self._waiting and self._waiting[0][0] < math.inf and not self._woken:
            self._woken = True
            self._schedule.after(max(0.5, self._waiting[0][0] - self._schedule.now()), self._wake)

    def _wake(self) -> None:
        self._woken = False
        self._run()
