"""Clients: one actor per connection, and the front that accepts them."""

from __future__ import annotations

import asyncio
import errno
import hashlib
import math
import select
import socket
from collections import deque
from collections.abc import Callable

from ..core.mailbox import Mailbox
from ..core.messages import Answer, BodyReceived, ClientDisconnected, PendingRequest, Rejected, Served
from ..core.pipe import ByteBudget, Pipe
from ..core.router import Router
from ..core.watcher import Watcher
from ..settings import Settings
from . import meta
from .streams import PEER_CLOSED_EVENTS, DisconnectAwareProtocol, disable_nagle, has_poll_event, limit_read_size

READ = 16384  # bytes read at once; twice as many may lie unread in a connection's reader
MAX_PIPELINED = 16  # commands of one connection that may be without their answer; then it is not read
MAX_MALFORMED = 8  # commands of one connection that make no sense; then it is closed
MAX_UNSENT = 32768  # bytes that a slow reader may leave unsent before its actor waits for it
STUCK = 10000.0  # ms for which a client may read nothing of what is written to it; then it is cut off
BODY = 30000.0  # ms in which a value in pieces must be here, beyond which nobody waits for a server that takes none
SILENT = 2000.0  # ms in which a new connection must say something, and after which any idle one may be closed
MIDWAY = 2200.0  # ms in which a command must be whole from its first byte on
IDLE = 8000.0  # ms after which an idle connection is closed even if descriptors are plenty
CROWDED = 0.8  # of what clients may comfortably hold, from which on idle connections are closed sooner
SPARE = 100.0  # ms after which an idle connection goes when clients hold more than that
SLOW = 500.0  # ms after which a command that is half here is no better than silence when descriptors are out
MUTE = 100.0  # ms after which a connection that has said nothing is the first to go when descriptors are out
LOOK_EVERY = 100.0  # ms between looks for connections that are idle, silent or midway
LOOK_FOR_ENDS = 40.0  # ms between looks whether clients have left whose connections are not read; 100 are allowed
BACKLOG = 1024  # connections that the system may hold for us
ACCEPT = 16  # of them that are taken at once, so that what is closed for them is given back in between
ANSWER_EARLY = 4.0  # ms; d runs from the client's send, and the answer has to travel back as well
LINGER = 500.0  # ms for which we read on after our end of file: a close over unread bytes would reset the connection
LINGER_BYTES = 1 << 20  # bytes that are thrown away meanwhile at most
LAST_ACCEPTS = 1000  # looks at the connections that wait for us before the listening socket is closed
SETTLED = 2  # turns in which none came, after which those that were taken have become connections
IDLE_ROUNDS = 0.05  # s between looks at what is still open, at the end


def key_number(key: bytes) -> int:
    """Return a key as the module knows it: the same number at every router, never 0 (which means none)."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big") or 1


def bind(host: str, port: int) -> socket.socket:
    """Return a listening socket; others may bind beside it where the system knows how."""
    try:
        return socket.create_server((host, port), backlog=BACKLOG, reuse_port=hasattr(socket, "SO_REUSEPORT"))
    except OSError as error:
        if error.errno not in (errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EINVAL):
            raise
        return socket.create_server((host, port), backlog=BACKLOG)


def _figure(fields: dict[str, str], name: str) -> float:
    """Return a figure that a client gave; 0 if it gave none, or what is none."""
    text = fields.get(name, "")
    return float(text) if meta.NUMBER.fullmatch(text) else 0.0


class Slot:
    """The place of one answer in the order of a connection."""

    __slots__ = ("held_back", "last", "parts", "pipe", "request", "size")

    def __init__(self) -> None:
        self.parts: tuple[bytes, ...] | None = None
        self.size = 0  # bytes of the value that it holds, on its way in or out
        self.request: PendingRequest | None = None
        self.last = False  # the connection is closed behind this answer
        self.pipe: Pipe | None = None  # where its value follows in pieces
        self.held_back: Answer | None = None  # a final answer to a request whose value is still coming


class ClientConnectionActor:
    """One client's connection. It reads on while requests are out, and answers in order."""

    def __init__(self, front: ClientListener, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.listener, self.reader, self.writer = front, reader, writer
        self.mailbox: Mailbox[tuple[Slot, tuple[bytes, ...]]] = Mailbox(4 * MAX_PIPELINED)
        self.slots: deque[Slot] = deque()
        self.by_request: dict[PendingRequest, Slot] = {}
        self.parser = meta.CommandParser()
        self.ended = False  # the client has closed, or its connection is over
        self.closing = False  # we close once nothing is owed; what still comes until then is taken
        self.lost = False  # nobody knows where its next command begins
        self.hurried = False  # its descriptor is wanted: no lingering
        self.lingering = False  # our end of file is sent, and what still comes belongs to nothing
        self.may_read = asyncio.Event()
        self.used_at = front.clock.now()
        self.began_at: float | None = None  # when the command that is not whole yet began
        self.body: tuple[Slot, PendingRequest, Pipe] | None = None  # of the request whose value is coming in pieces
        self.unsubmitted: PendingRequest | None = None  # that request, as long as too little of its value is here
        self.delivering: Pipe | None = None  # the value that is going out in pieces
        self.commands = self.malformed = 0  # whole commands so far, and those that made no sense

    # reading

    async def read(self) -> None:
        """Take in what the client sends until it closes."""
        try:
            while not self.lost:
                data = await self.reader.read(READ)
                if not data:
                    break
                for item in self.parser.feed(data):
                    if isinstance(item, meta.ValueChunk):
                        self._part(item)
                        continue
                    # Guards memory against a client that sends on and on without reading its answers.
                    while len(self.slots) >= MAX_PIPELINED and not self.ended:
                        self.may_read.clear()
                        self.listener.watch_for_disconnect(self)
                        await self.may_read.wait()
                    if self.ended and len(self.slots) >= MAX_PIPELINED:
                        return
                    self.began_at = None
                    self._take(item)
                    if self.lost:
                        break
                if not self.parser.has_partial_input():
                    self.began_at = None
                elif self.began_at is None or self.body is not None:
                    self.began_at = self.listener.clock.now()
                if self.body is not None and self.body[2].is_full():
                    self.listener.watch_for_disconnect(self)
                    await self.body[2].until_not_full()
                    self.began_at = self.listener.clock.now()
        except OSError:
            self.listener.counters.increment("clients.reset")
        if not self.lost:
            self.on_disconnect()
        self.mailbox.wake()

    def on_disconnect(self) -> None:
        """The client has closed: withdraw at once what it has asked, whatever reader and writer wait for just now."""
        if self.ended:
            return
        self.ended = True
        for request in list(self.by_request):
            self._leave(request)
        if self.delivering is not None:
            self.delivering.abandon()
        self.may_read.set()
        self.mailbox.wake()

    def check_for_disconnect(self) -> bool:
        """See whether the client has closed while its reader waits; False once that is no question any more."""
        transport = self.writer.transport
        if self.ended or transport.is_closing():
            return False
        if not transport.is_reading() and has_poll_event(self.writer, PEER_CLOSED_EVENTS):  # type: ignore[attr-defined]
            self.on_disconnect()
        return not self.ended and (len(self.slots) >= MAX_PIPELINED or self.body is not None)

    def _part(self, part: meta.ValueChunk) -> None:
        """Take in a piece of a value."""
        if self.body is None:
            return
        slot, request, pipe = self.body
        pipe.put(part.data)
        if self.unsubmitted is not None and (pipe.buffered > meta.MAX_UNCHUNKED_BYTES or pipe.is_full() or part.last):
            # Guards a server's connection against a client that sends a head and then nothing.
            self.unsubmitted = None
            self._ask(request)
        if not part.last:
            return
        pipe.finish(True)
        self.body, self.began_at = None, None
        now = self.used_at = request.received_at = self.listener.clock.now()
        if slot.held_back is not None:
            self._answer(slot, slot.held_back)
        elif not request.finished and isinstance(request.payload, meta.Command):
            wait = min(request.payload.timeout_ms, request.request_class.deadline, self.listener.answer_by - now)
            self.listener.router.mailbox.must_put(BodyReceived(request, now + wait - ANSWER_EARLY))

    def _spoil_body(self, item: meta.MalformedCommand) -> None:
        """The value that was coming in pieces will never be whole: nothing of it counts."""
        assert self.body is not None
        slot, request, pipe = self.body
        self.body = None
        pipe.finish(False)
        self._leave(request)
        self._malformed(slot, item)

    def _leave(self, request: PendingRequest) -> None:
        """Have a request withdrawn that nobody waits for any more."""
        if self.by_request.pop(request, None) is None:
            return
        request.cancelled = True  # at once: the message that says so has others before it
        self._give_back_id(request)
        if request is not self.unsubmitted:
            self.listener.router.mailbox.must_put(ClientDisconnected(request))
        elif request.body is not None:
            request.body.abandon()
            self.unsubmitted = None

    def _ask(self, request: PendingRequest) -> None:
        if self.listener.buffered > self.listener.max_buffered:
            self.listener.counters.increment("requests.memory_full")
            self.listener.router.reject(request)
        else:
            self.listener.router.submit(request)

    def _take(self, item: meta.Command | meta.ControlCommand | meta.MalformedCommand) -> None:
        front = self.listener
        if isinstance(item, meta.MalformedCommand) and self.body is not None:
            front.counters.increment("clients.malformed")
            self._spoil_body(item)
            return
        if self.ended and isinstance(item, meta.Command):
            front.counters.increment("clients.left_unread")  # its client has closed: nobody waits for it
            return
        slot = Slot()
        self.slots.append(slot)
        self.used_at = front.clock.now()
        self.commands += 1
        if isinstance(item, meta.Command):
            cls = front.classes.get(item.fields.get("c", ""))
            if cls is None:
                front.counters.increment("clients.unknown_class")
                self._malformed(slot, meta.client_error("unknown class"))
                return
            if item.request_id in front.open_ids:
                # Guards the request that is open: two of one id could not be told apart, here or at a server.
                front.counters.increment("clients.id_taken")
                self._malformed(slot, meta.client_error("id in use"))
                return
            front.open_ids.add(item.request_id)
            # Nobody waits longer than the class lets them, nor than a process that ends lives.
            wait = min(item.timeout_ms, cls.deadline, front.answer_by - self.used_at)
            body = Pipe(front.budget) if item.is_chunked else None
            wait = wait if body is None else BODY
            request = PendingRequest(
                self,
                cls,
                key_number(item.key),
                self.used_at + wait - ANSWER_EARLY,
                item,
                self.used_at,
                body=body,
                size=_figure(item.fields, "size"),
                cost_hint=_figure(item.fields, "h"),
                is_retry=item.fields.get("r") == "1",
                is_write=item.is_write,
            )
            slot.request = request
            self.by_request[request] = slot
            self.body = (slot, request, body) if body is not None else None
            self._hold(slot, len(item.value or b""))
            if body is None:
                self._ask(request)
            else:
                self.unsubmitted = request
        elif isinstance(item, meta.MalformedCommand):
            front.counters.increment("clients.malformed")
            self._malformed(slot, item)
        elif item is meta.ControlCommand.READY:
            self._put(slot, meta.READY_LINE if front.ready() else meta.STARTING_LINE)
        else:
            self._put(slot, meta.ERROR_LINE)

    def _malformed(self, slot: Slot, item: meta.MalformedCommand) -> None:
        """Answer what makes no sense. Who sends nothing else is not listened to for ever."""
        self.malformed += 1
        slot.last = self.lost = item.framing_lost or self.malformed >= MAX_MALFORMED
        self._put(slot, item.line)

    def check_idle(self, now: float, crowded: bool) -> None:
        """Close what is silent, midway or idle for too long: it holds a descriptor and memory for nothing."""
        if self.lost or self.ended or self.lingering:
            return
        if self.began_at is not None:
            waits_for_us = len(self.slots) >= MAX_PIPELINED or (self.body is not None and self.body[2].is_full())
            if now - self.began_at >= MIDWAY and not waits_for_us:
                self.listener.counters.increment("clients.midway")
                self._unfinished()
            return
        allowed = SILENT if crowded or not self.commands else IDLE
        if not self.closing and not self.slots and now - self.used_at >= allowed:
            self.listener.counters.increment("clients.idle_closed" if self.commands else "clients.silent_closed")
            self.close_when_idle()

    def eviction_rank(self, now: float) -> tuple[int, float] | None:
        """Return its rank among those that may go when descriptors are out, least first; None if it stays."""
        if self.lingering:
            return (-1, self.used_at)
        if self.slots or self.closing or self.lost or self.ended:
            return None
        if self.began_at is not None:
            # Guards against crowds that send half a command: they held all places until their time was up.
            idle = now - self.began_at
            return (0 if idle >= SLOW else 2 if idle >= MUTE else 5, self.began_at)
        idle = now - self.used_at
        if not self.commands:
            return (0 if idle >= MUTE else 4, self.used_at)
        return (1 if idle >= SILENT else 3, self.used_at)

    def close_idle(self) -> None:
        """Close, as somebody else needs the descriptor; a command that is half here is answered."""
        self.hurried = True
        if self.lingering:
            self.writer.transport.abort()
        elif self.began_at is None:
            self.close_when_idle()
        else:
            self._unfinished()

    def _unfinished(self) -> None:
        item = meta.client_error("command not finished", True)
        if self.body is not None:
            self._spoil_body(item)
            return
        slot = Slot()
        self.slots.append(slot)
        self._malformed(slot, item)

    # answering

    def answer(self, request: PendingRequest, answer: Answer) -> None:
        """Take a request's one final answer."""
        slot = self.by_request.pop(request, None)
        if slot is None:
            if isinstance(answer, Served) and answer.pipe is not None:
                answer.pipe.abandon()
            return
        self._give_back_id(request)
        request.finished = True
        if self.body is not None and self.body[1] is request:
            slot.held_back = answer  # it is no request yet that could be answered; the rest of its value is dropped
        else:
            self._answer(slot, answer)

    def _answer(self, slot: Slot, answer: Answer) -> None:
        if isinstance(answer, Served) and isinstance(answer.payload, meta.ServerAnswer):
            slot.pipe = answer.pipe
            self._put(slot, *answer.payload.parts)
        elif isinstance(answer, Rejected):
            self._put(slot, meta.busy_line(answer.retry_after))
        else:
            self._put(slot, meta.FAILED_LINE)

    def _give_back_id(self, request: PendingRequest) -> None:
        if isinstance(request.payload, meta.Command):
            self.listener.open_ids.discard(request.payload.request_id)

    def _hold(self, slot: Slot, size: int) -> None:
        self.listener.buffered += size - slot.size
        slot.size = size

    def _put(self, slot: Slot, *parts: bytes) -> None:
        self._hold(slot, sum(map(len, parts)))
        # A slot gets one message in its life, so there are never more of them than slots.
        self.mailbox.must_put((slot, parts))

    async def run(self) -> None:
        """Write answers in order until the client has closed, or until we have and nothing is owed."""
        reading = self.listener.watcher.start(self.read(), "client-reader", lambda _: self._reader_died())
        try:
            await self._answer_all()
            reading.cancel()
            if not self.ended and not self.writer.transport.is_closing():
                if not self.hurried:
                    await self._linger(reading)
                elif not self.writer.transport.get_write_buffer_size():
                    # At once, as a transport closes its socket a turn of the loop later only: what comes until then
                    # would count as taken off the socket, and a turn is long on a core that is too small.
                    self.writer.write_eof()
        except OSError:
            self.listener.counters.increment("clients.reset")
        finally:
            reading.cancel()
            self.close()

    async def _answer_all(self) -> None:
        """Return once nothing more is to be written."""
        while True:
            for slot, parts in self.mailbox.take():
                slot.parts = parts
            while self.slots and (ready := self.slots[0].parts) is not None:
                await self._write(self.slots[0], ready)
                slot = self.slots.popleft()
                self._hold(slot, 0)
                self.may_read.set()
                if slot.last:
                    return
                # Right behind an answer no request can be on its way yet, unless the client sends several at once.
                self.closing = self.closing or self.listener.draining
            if self.ended or (self._is_over() and await self._has_nothing_unread()):
                return
            await self.mailbox.wait()

    async def _linger(self, reading: asyncio.Task[None]) -> None:
        """Send our end of file and read to the client's, within bounds; what still comes belongs to nothing.

        Guards the last answers: a close over unread bytes resets the connection, and what the client has not read yet
        is lost with it. A request that comes now crossed our end of file, so its client sends it again elsewhere.
        """
        self.lingering = True
        self.used_at = self.listener.clock.now()
        transport = self.writer.transport
        span = STUCK if transport.get_write_buffer_size() else LINGER  # what is unsent goes out before it
        limit = self.listener.deadlines.set(self.used_at + span, transport.abort)
        try:
            # With bytes unsent asyncio would send the end of file from a callback of its own, and a reset between the
            # last byte and that would be an exception that nobody takes. With none this does not wait: it is the step
            # in which nothing more was owed or lay unread.
            transport.set_write_buffer_limits(0)
            await self.writer.drain()
            self.writer.write_eof()
            await asyncio.gather(reading, return_exceptions=True)  # it has given up the stream then
            transport.resume_reading()  # type: ignore[attr-defined]
            left = LINGER_BYTES
            while left > 0 and (data := await self.reader.read(READ)):
                left -= len(data)
        finally:
            self.listener.deadlines.clear(limit)

    async def _write(self, slot: Slot, parts: tuple[bytes, ...]) -> None:
        """Write one answer; a large one part by part, so that a client has little unsent at any time."""
        self.used_at = self.listener.clock.now()
        for some in (parts,) if slot.size <= MAX_UNSENT else tuple((part,) for part in parts):
            self.writer.writelines(some)
            if self.writer.transport.get_write_buffer_size() > MAX_UNSENT:
                await self._drain()
        if slot.pipe is not None:
            await self._deliver(slot.pipe)

    async def _deliver(self, pipe: Pipe) -> None:
        """Write a value as its pieces come. One that breaks off must be seen to: the connection goes with it."""
        self.delivering = pipe
        if self.ended:
            pipe.abandon()
        while not pipe.is_finished():
            for piece in pipe.take():
                self.writer.write(piece)
                if self.writer.transport.get_write_buffer_size() > MAX_UNSENT:
                    await self._drain()
            await pipe.until_more()
        self.delivering = None
        self.used_at = self.listener.clock.now()
        if not pipe.complete or pipe.abandoned:
            self.listener.counters.increment("clients.value_broke_off")
            self.writer.transport.abort()
            raise ConnectionAbortedError

    def _is_over(self) -> bool:
        return self.closing and not self.slots and self.began_at is None

    async def _has_nothing_unread(self) -> bool:
        """Guards the request that crosses our close: what was taken off the socket is owed an answer.

        What still lies in the socket is taken too: after we stood still for a while, all connections look idle,
        and those whose requests nobody has read yet were closed. No more is taken after that, and the reader
        gets one turn; what crosses even this the client sends again.
        """
        transport = self.writer.transport
        if not transport.is_closing():
            transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(0)
        if self._is_over() and not self._has_unread_bytes():
            return True
        if not transport.is_closing():
            transport.resume_reading()  # type: ignore[attr-defined]
        return False

    def _has_unread_bytes(self) -> bool:
        """Ask the system whether bytes (or the client's close) wait to be read."""
        return has_poll_event(self.writer, select.POLLIN)

    async def _drain(self) -> None:
        """Wait for a slow reader, for a while: its answers take memory, and its connection a descriptor."""
        limit = self.listener.deadlines.set(self.listener.clock.now() + STUCK, self._cut_off)
        try:
            await self.writer.drain()
        finally:
            self.listener.deadlines.clear(limit)

    def _cut_off(self) -> None:
        if not self.writer.transport.is_closing() or self.writer.transport.get_write_buffer_size():
            self.listener.counters.increment("clients.cut_off")
            self.writer.transport.abort()

    def _reader_died(self) -> None:
        self.on_disconnect()

    def close(self) -> None:
        """The one place where a client's connection is given back; what is still out is withdrawn."""
        for request in list(self.by_request):
            self._leave(request)
        for slot in self.slots:
            self._hold(slot, 0)
            if slot.pipe is not None:
                slot.pipe.abandon()
        self.slots.clear()
        if self.body is not None:
            self.body[2].finish(False)
            self.body = None
        self.listener.connections.discard(self)
        self.writer.close()
        if self.writer.transport.get_write_buffer_size():  # what is written still goes out, within a time
            self.listener.deadlines.set(self.listener.clock.now() + STUCK, self._cut_off)

    def close_when_idle(self) -> None:
        """Close once nothing is owed."""
        self.closing = True
        self.mailbox.wake()


class ClientListener:
    """Accepts clients and owns their actors."""

    def __init__(
        self,
        settings: Settings,
        router: Router,
        watcher: Watcher,
        most: int,
        comfortable: int,
        most_held: int,
        ready: Callable[[], bool],
    ) -> None:
        self.router, self.watcher = router, watcher
        self.clock, self.counters, self.deadlines = router.clock, router.counters, router.deadlines
        self.buffered = 0  # bytes of values that all slots hold
        self.budget = ByteBudget(0)  # for values that go through in pieces, either way
        self.max_clients, self.idle_client_threshold, self.max_buffered, self.ready = (
            most,
            comfortable,
            most_held,
            ready,
        )
        self.apply_settings(settings)
        self.open_ids: set[bytes] = set()  # of the requests that are owed an answer
        self.connections: set[ClientConnectionActor] = set()
        self.unread: set[ClientConnectionActor] = set()  # whose readers wait, so that their connections may not be read
        self.draining = False  # connections are closed behind their answers, as another process takes new ones
        self.answer_by = math.inf  # clock time by which requests that come from now on are answered
        self.socket: socket.socket | None = None  # ours for good, whether we accept or not
        self._server: asyncio.Server | None = None

    def apply_settings(self, settings: Settings) -> None:
        """Take in settings, the first or new ones."""
        self.classes = {cls.name: cls for cls in settings.classes}

    async def listen(self, host: str, port: int, inherited: socket.socket | None = None) -> None:
        """Begin to accept, at a socket of our own or at one that an old process goes on holding too."""
        self.socket = inherited or bind(host, port)
        await self.resume_accepting()
        self._look()

    async def resume_accepting(self) -> None:
        """Accept, as at first or again."""
        assert self.socket is not None
        self.draining = False
        self._server = await asyncio.get_running_loop().create_server(
            lambda: DisconnectAwareProtocol(self._accept, READ), sock=self.socket.dup(), backlog=ACCEPT
        )
        # asyncio has one figure for both what the system holds and what is taken at once.
        self.socket.listen(BACKLOG)

    def pause_accepting(self) -> None:
        """Accept no more, as another process does at the same socket: what waits there is in its hands."""
        self.draining = True
        if self._server is not None:
            self._server.close()
            self._server = None

    def watch_for_disconnect(self, actor: ClientConnectionActor) -> None:
        """Have the system asked now and then whether a client has left whose reader waits.

        Guards against requests that are begun for such clients: their connections may not be read at all.
        """
        if not self.unread:
            self.deadlines.set(self.clock.now() + LOOK_FOR_ENDS, self._look_for_ends)
        self.unread.add(actor)

    def _look_for_ends(self) -> None:
        self.unread = {actor for actor in self.unread if actor.check_for_disconnect()}
        if self.unread:
            self.deadlines.set(self.clock.now() + LOOK_FOR_ENDS, self._look_for_ends)

    def _look(self) -> None:
        now = self.clock.now()
        crowded = len(self.connections) > self.idle_client_threshold * CROWDED
        for actor in list(self.connections):
            actor.check_idle(now, crowded)
        # Guards against clients that keep a connection each for good: those who ask would find none left, and
        # we would hear nothing of it. So what is idle longest goes before clients hold all they may.
        ranked = sorted(
            ((rank, actor) for actor in self.connections if (rank := actor.eviction_rank(now)) is not None),
            key=lambda pair: pair[0],
        )
        for (_, since), actor in ranked[: max(0, len(self.connections) - self.idle_client_threshold)]:
            if now - since >= SPARE:
                self.counters.increment("clients.shed")
                actor.close_idle()
        self.deadlines.set(now + LOOK_EVERY, self._look)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counters.increment("clients.accepted")
        if len(self.connections) >= self.max_clients and not self._close_spare():
            self.counters.increment("clients.turned_away")
            writer.transport.abort()
            return
        limit_read_size(writer, READ)
        disable_nagle(writer)
        actor = ClientConnectionActor(self, reader, writer)
        self.connections.add(actor)
        protocol = writer.transport.get_protocol()
        if isinstance(protocol, DisconnectAwareProtocol):
            protocol.on_disconnect = actor.on_disconnect
        self.watcher.start(actor.run(), "client", lambda _: actor.close())

    def _close_spare(self) -> bool:
        """Close one connection that asks for nothing, the least useful first. Guards the descriptor limit.

        Whoever opens connections and says nothing loses them to those who ask.
        """
        now = self.clock.now()
        ranked = [(rank, actor) for actor in self.connections if (rank := actor.eviction_rank(now)) is not None]
        if not ranked:
            return False
        actor = min(ranked, key=lambda pair: pair[0])[1]
        self.counters.increment("clients.shed")
        actor.close_idle()
        return True

    async def _accept_last(self) -> None:
        """Take in the connections that wait for us: they would be reset as the listening socket closes.

        Those that were taken become connections of ours some turns later, and are lost if the server is closed before.
        """
        if self.socket is None or self._server is None:
            return
        waiting = select.poll()
        waiting.register(self.socket, select.POLLIN)
        settled = 0
        for _ in range(LAST_ACCEPTS):
            settled = 0 if waiting.poll(0) else settled + 1
            if settled > SETTLED:
                return
            await asyncio.sleep(0)

    async def drain(self, answer_by: float = math.inf) -> None:
        """Accept no more; close each connection once nothing is owed on it; return when all are closed.

        answer_by: clock time by which requests that come from now on, on connections that still owe something, are
        answered.
        """
        self.answer_by = answer_by
        await self._accept_last()
        if self._server is not None:
            self._server.close()
            self._server = None
        if self.socket is not None:
            self.socket.close()
        while self.connections:
            for actor in list(self.connections):
                actor.close_when_idle()
            await asyncio.sleep(IDLE_ROUNDS)
