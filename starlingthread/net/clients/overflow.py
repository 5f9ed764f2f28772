"""Rejects queued connections while all descriptors for clients are held by requests.

Their requests would otherwise wait unread until their time is over. A connection is read once and answered without an
actor of its own, as this has to cost far less than serving it.
"""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import dataclass, field

from ...core.messages import Answer, PendingRequest, Rejected
from .. import meta
from .acceptor import Acceptor
from .context import ListenerContext
from .limits import READ_BYTES
from .requests import key_number

MAX_REJECTED_PER_ROUND = 512
MIN_ROUND_INTERVAL_MS = 20.0
CPU_SHARE = 0.1  # of the time, at most, for rejecting
MAX_HOLD_MS = 1000.0  # for which a connection without a whole command, or with unread commands, is kept
MIN_HOLD_MS = 100.0  # the same where another connection needs the place
MIN_HOLD_SATURATED_MS = 500.0  # that while our core is saturated, as clients that wait for us send later


@dataclass(slots=True, eq=False)
class HeldConnection:
    """A connection that is kept open for a moment without an actor."""

    socket: socket.socket
    accepted_at: float  # clock time
    parser: meta.CommandParser = field(default_factory=meta.CommandParser)
    is_answered: bool = False


class RejectedRequester:
    """Takes the rejection of a request whose connection has no actor."""

    def __init__(self) -> None:
        self.line = b""

    def answer(self, request: PendingRequest, answer: Answer) -> None:
        """Note the line of the request's one final answer."""
        self.line = meta.busy_line(answer.retry_after) if isinstance(answer, Rejected) else meta.FAILED_LINE


class OverflowRejector:
    """Answers what is queued with a rejection, round by round."""

    def __init__(self, listener: ListenerContext) -> None:
        self._listener = listener
        self._held: deque[HeldConnection] = deque()
        self._next_round_at = 0.0  # clock time

    @property
    def held_count(self) -> int:
        """The connections that are kept open."""
        return len(self._held)

    def run_round(self, acceptor: Acceptor, max_held: int) -> None:
        """Reject what is queued, within a share of the CPU; keep at most so many connections open."""
        begun_at = self._listener.clock.now()
        if begun_at < self._next_round_at:
            return
        self.check_held(acceptor)
        self._make_room(acceptor, max_held)
        for _ in range(MAX_REJECTED_PER_ROUND):
            # Those that find no place are left in the queue: closed unread, their clients would be left without answer.
            accepted = acceptor.accept_one() if len(self._held) < max_held else None
            if accepted is None:
                break
            self._listener.counters.increment("clients.overflowed")
            self._process(HeldConnection(accepted, begun_at), acceptor)
        now = self._listener.clock.now()
        self._next_round_at = now + max(MIN_ROUND_INTERVAL_MS, (now - begun_at) * (1 / CPU_SHARE - 1))

    def check_held(self, acceptor: Acceptor) -> None:
        """Read the connections that are kept, and close those whose time is over."""
        for _ in range(len(self._held)):
            held = self._held.popleft()
            self._process(held, acceptor)

    def close_held(self, acceptor: Acceptor) -> None:
        """Close the connections that are kept."""
        while self._held:
            self._close(self._held.popleft(), acceptor)

    def _process(self, held: HeldConnection, acceptor: Acceptor) -> None:
        """Read what is there and answer it; then close, or keep the connection if there is a reason to."""
        age = self._listener.clock.now() - held.accepted_at
        if self._read_and_answer(held) and age < MAX_HOLD_MS:
            self._held.append(held)
        else:
            self._close(held, acceptor)

    def _make_room(self, acceptor: Acceptor, max_held: int) -> None:
        """Close the connections held for longest, for others that are queued."""
        min_hold = MIN_HOLD_SATURATED_MS if self._listener.router.core_load.is_saturated else MIN_HOLD_MS
        held_since = self._listener.clock.now() - min_hold
        while len(self._held) >= max(1, max_held) and self._held[0].accepted_at < held_since:
            self._close(self._held.popleft(), acceptor)

    def _close(self, held: HeldConnection, acceptor: Acceptor) -> None:
        if not held.is_answered:
            self._listener.counters.increment("clients.closed_unread")
        acceptor.discard(held.socket)

    def _read_and_answer(self, held: HeldConnection) -> bool:
        """Return whether the connection should be kept: more may come, over which a close would be a reset."""
        try:
            data = held.socket.recv(READ_BYTES)
            if not data:
                return False
            lines = [] if held.is_answered else [self._answer(item) for item in held.parser.feed(data)]
            if lines:
                held.is_answered = True
                held.socket.send(b"".join(lines))
                held.socket.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return not lines or len(lines) > 1 or held.parser.has_partial_input() or len(data) == READ_BYTES

    def _answer(self, item: meta.Command | meta.ControlCommand | meta.MalformedCommand | meta.ValueChunk) -> bytes:
        listener = self._listener
        if isinstance(item, meta.MalformedCommand):
            return item.line
        if isinstance(item, meta.ValueChunk):
            return b""
        if item is meta.ControlCommand.READY:
            return meta.READY_LINE if listener.is_ready() else meta.STARTING_LINE
        if not isinstance(item, meta.Command):
            return meta.ERROR_LINE
        request_class = listener.classes.get(item.fields.get("c", ""))
        if request_class is None:
            return meta.client_error("unknown class").line
        now = listener.clock.now()
        requester = RejectedRequester()
        listener.router.reject(
            PendingRequest(requester, request_class, key_number(item.key), now + item.timeout_ms, item, now)
        )
        return requester.line
