"""Cache servers on sockets: the meta dialect in front of a ServerModel, with the faults that a socket can show."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import zlib
from collections import deque
from typing import cast

import numpy as np

from ..experiment.randomness import Chances
from ..experiment.records import ANSWERED, CUT, FAILED, REJECTED, RUN, Delivery, Ledger, ServerEvent
from .schedule import EventLoopSchedule
from .server_links import LinkDirection, ServerLink
from .server_model import Job, ServerModel

MAX_LINE = 4096
MAX_VALUE = 1 << 20


class Slot:
    """The place of one answer in the order of a connection."""

    __slots__ = ("answer", "delivery", "job")

    def __init__(self) -> None:
        self.answer: bytes | None = None
        self.job: Job | None = None
        self.delivery: Delivery | None = None


def flags_of(words: list[str]) -> tuple[str, dict[str, str]]:
    """Return the id and the P fields of a command's flags."""
    rid, fields = "", {}
    for word in words:
        if word[0] == "O":
            rid = word[1:]
        elif word[0] == "P":
            fields = dict(item.partition("=")[::2] for item in word[1:].split(","))
    return rid, fields


class ServerConnection(asyncio.Protocol):
    """One connection of a router to a server. Answers leave in the order of the commands."""

    def __init__(self, server: CacheServer, door: ServerLink) -> None:
        self.server, self.link = server, door
        self.inward = LinkDirection(door, False, server.schedule, self._arrived)
        self.outward = LinkDirection(door, True, server.schedule, self._send)
        self.transport: asyncio.Transport
        self.buffer = bytearray()
        self.slots: deque[Slot] = deque()
        self.first_at = 0.0
        self.dead = False  # nothing is written or read any more
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are not of that class
        server = self.server
        if server.is_unreachable:
            self.dead = True
            self.transport.pause_reading()
        server.connections.add(self)
        self.idle_since = server.now()
        server.model.handshake()

    def connection_lost(self, exc: Exception | None) -> None:
        self.dead = True
        self.server.connections.discard(self)
        for slot in self.slots:
            self._give_up(slot)
        self.slots.clear()

    def _give_up(self, slot: Slot) -> None:
        if slot.delivery is not None and slot.delivery.outcome == "out":
            slot.delivery.outcome, slot.delivery.ended_at = CUT, self.server.now()
            if slot.job is not None and slot.job.is_started:  # it waited in the queue when it came
                slot.delivery.verdict = RUN
        if slot.job is not None:
            self.server.model.cancel(slot.job)

    def eof_received(self) -> bool:
        return False  # a router that ends its sending gives its attempts up

    def data_received(self, data: bytes) -> None:
        self.inward.push(data)

    def _arrived(self, data: bytes) -> None:
        if self.server.is_frozen:
            self.server.held_in.append((self, data, self.server.now()))
        elif not self.dead:
            self.take(data, self.server.now())

    def take(self, data: bytes, at: float) -> None:
        """Take in bytes that came at a time; a frozen server reads them later, also from a connection that is over."""
        if not self.buffer:
            self.first_at = at
        self.buffer += data
        while self._next():
            self.first_at = at

    def _next(self) -> bool:
        end = self.buffer.find(b"\r\n")
        if end < 0:
            if len(self.buffer) > MAX_LINE:
                self.buffer.clear()
                self._say(b"CLIENT_ERROR line too long\r\n")
                self.transport.close()
            return False
        line = self.buffer[:end].decode("latin-1")
        size = 0
        words = line.split(" ")
        if words[0] == "ms" and len(words) > 2 and words[2].isdigit():
            size = int(words[2]) + 2
            if size > MAX_VALUE or len(self.buffer) < end + 2 + size:
                return False
        del self.buffer[: end + 2 + size]
        self._command(words)
        return True

    def _command(self, words: list[str]) -> None:
        name = words[0]
        if name in ("mg", "ms") and len(words) > 3:
            self._run(words, name == "ms")
        elif name == "mn":
            model = self.server.model
            self._say(b"SERVER_ERROR draining\r\n" if model.draining else b"MN\r\n")
        elif name == "stats" and words[1:] == ["load"] and self.server.model.spec.probes:
            report = self.server.model.report()
            self._say("".join(f"STAT {n} {v:.4f}\r\n" for n, v in report.items()).encode() + b"END\r\n")
        else:
            self.server.malformed += 1
            self._say(b"ERROR\r\n" if name not in ("mg", "ms") else b"CLIENT_ERROR bad command\r\n")

    def _say(self, answer: bytes) -> None:
        slot = Slot()
        slot.answer = answer
        self.slots.append(slot)
        self._flush()

    def _run(self, words: list[str], write: bool) -> None:
        server, slot = self.server, Slot()
        rid, fields = flags_of(words[2:])
        delivery = Delivery(rid, server.number, self.first_at, server.now())
        server.ledger.deliveries.append(delivery)
        slot.delivery = delivery
        self.slots.append(slot)
        if len(server.connections) > server.model.spec.connections or len(self.slots) > server.model.spec.streams:
            delivery.outcome, delivery.ended_at = REJECTED, server.now()
            slot.answer = b"SERVER_ERROR busy\r\n"
            self._flush()
            return

        def finish(job: Job, how: str) -> None:
            server.finished(self, slot, job, how)

        job = Job(rid, words[1], write, fields.get("k", ""), finish)
        slot.job = job
        server.model.submit(job)
        if job.is_started:
            delivery.verdict = RUN

    def _flush(self) -> None:
        if self.dead:
            return
        out = []
        while self.slots and (answer := self.slots[0].answer) is not None:
            self.slots.popleft()
            out.append(answer)
        if out:
            self.idle_since = self.server.now()
            self.write(b"".join(out))

    def write(self, data: bytes) -> None:
        """Write, or hold back what a frozen server would write."""
        if self.server.is_frozen:
            self.server.held_out.append((self, data))
        elif not self.dead:
            self.outward.push(data)

    def _send(self, data: bytes) -> None:
        if not self.dead:
            self.transport.write(data)

    def cut(self) -> None:
        """Break the connection: the other side sees a reset."""
        self.dead = True
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        with contextlib.suppress(OSError, AttributeError):
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.transport.abort()


class CacheServer:
    """A server: its listening socket, its connections, its model, and what is wrong with it right now."""

    def __init__(
        self,
        model: ServerModel,
        name: str,
        zone: str,
        value_bytes: int,
        schedule: EventLoopSchedule,
        ledger: Ledger,
        rng: np.random.Generator,
        doors: list[ServerLink] | None = None,
    ) -> None:
        self.model, self.name, self.zone, self.schedule, self.ledger = model, name, zone, schedule, ledger
        self.number = model.number
        self.now = schedule.now
        self.padding = b"x" * value_bytes
        self.connections: set[ServerConnection] = set()
        self.malformed = 0
        self.is_unreachable = self.is_frozen = False
        self.reset_rate = self.corruption_rate = self.truncation_rate = 0.0
        self.held_in: list[tuple[ServerConnection, bytes, float]] = []
        self.held_out: list[tuple[ServerConnection, bytes]] = []
        self._chances = Chances(rng)
        self.links = doors or [ServerLink(0, self._chances)]
        self.is_listening = False
        model.on_overload_crash = self.crash_by_overload

    def record_event(self, what: str, pushed_by: tuple[str, ...] = ()) -> None:
        """Write down what happened to this server."""
        self.ledger.server_events.append(ServerEvent(self.number, what, self.now(), pushed_by))

    # life

    @property
    def port(self) -> int:
        """The port that the first group of routers knows."""
        return self.links[0].port

    async def start(self) -> None:
        """Listen, at the same addresses as before if there were any."""
        self.is_listening = True
        for door in self.links:
            await self._open(door)

    async def _open(self, door: ServerLink) -> None:
        await door.open(lambda: ServerConnection(self, door))

    def crash(self) -> None:
        """The process dies: connections are reset, new ones refused."""
        self.record_event("gone")
        self._close_listener()
        self.resume(drop=True)
        for connection in list(self.connections):
            connection.cut()
        self.model.boot(cold=True)

    async def restart(self) -> None:
        """Start anew, cold, at the same address."""
        self.model.boot(cold=True)
        self.record_event("cold")
        await self.start()

    def _close_listener(self) -> None:
        self.is_listening = False
        for door in self.links:
            door.close()

    def crash_by_overload(self, pushed_by: tuple[str, ...]) -> None:
        self.record_event("fell", pushed_by)
        self.crash()

    def drain(self) -> None:
        """Finish what it has and take nothing new."""
        self.model.draining = True
        self.record_event("draining")

    # faults

    def become_unreachable(self) -> None:
        """The machine is cut off: open connections go quiet, new ones never come up."""
        self.is_unreachable = True
        self.record_event("gone")
        for connection in self.connections:
            connection.dead = True
            with contextlib.suppress(RuntimeError):
                connection.transport.pause_reading()
        self._close_listener()
        for door in self.links:
            door.blackhole()

    async def become_reachable(self) -> None:
        """The machine is back: old connections are reset."""
        for connection in list(self.connections):
            connection.cut()
        self.is_unreachable = False
        self.record_event("up")
        await self.start()

    async def set_link_conditions(self, groups: list[int], figures: dict[str, float]) -> None:
        """Change the links of some groups of routers (all, if none is named): figures of Door by their names."""
        for door in self.links:
            if groups and door.group not in groups:
                continue
            was_cut = door.inbound_blocked or door.outbound_blocked
            for name, value in figures.items():
                setattr(door, name, door.base_delay_ms + value if name == "delay_ms" else value)
            is_cut = door.inbound_blocked or door.outbound_blocked
            if self.is_listening and is_cut and not was_cut:
                door.blackhole()
            elif self.is_listening and was_cut and not is_cut:
                await self._open(door)
            for connection in list(self.connections):
                if connection.link is door:
                    connection.inward.resume()
                    connection.outward.resume()

    def freeze(self) -> None:
        """The process stands still; the system still accepts connections and bytes for it."""
        self.is_frozen = True

    def resume(self, drop: bool = False) -> None:
        """The process goes on: what came and what was due meanwhile is handled now."""
        self.is_frozen = False
        held_out, self.held_out, held_in, self.held_in = self.held_out, [], self.held_in, []
        if drop:
            return
        for connection, data in held_out:
            connection.write(data)
        for connection, data, at in held_in:
            connection.take(data, at)

    # answers

    def finished(self, connection: ServerConnection, slot: Slot, job: Job, how: str) -> None:
        """Word the answer of a command, spoilt if a fault says so."""
        delivery = slot.delivery
        assert delivery is not None
        if how == "busy":
            answer, delivery.outcome = b"SERVER_ERROR busy\r\n", REJECTED
        else:
            delivery.verdict = RUN
            if how == "failed":
                answer, delivery.outcome = b"SERVER_ERROR failed\r\n", FAILED
            else:
                answer, delivery.outcome = self._worded(job, delivery), ANSWERED
        delivery.ended_at = self.now()
        if connection.dead or job.is_cancelled:
            delivery.outcome = CUT
            return
        if self.reset_rate and self._chances.next() < self.reset_rate:
            delivery.outcome = CUT
            connection.cut()
            return
        if (
            how == "served"
            and connection.link.truncation_rate
            and self._chances.next() < connection.link.truncation_rate
        ):
            delivery.outcome = CUT
            connection.write(answer[: len(answer) // 2])
            connection.transport.close()  # what is written still goes out, then the connection ends
            connection.dead = True
            return
        if how == "served" and self.truncation_rate and self._chances.next() < self.truncation_rate:
            delivery.outcome = CUT
            connection.write(answer[: len(answer) // 2])
            connection.dead = True  # and it says nothing more, as a machine that vanished
            return
        if how == "served" and self.corruption_rate and self._chances.next() < self.corruption_rate:
            answer = self._spoil(answer, delivery.request_id)
        slot.answer = answer
        connection._flush()

    def _worded(self, job: Job, delivery: Delivery) -> bytes:
        load = ",".join(f"{n}={v:.3f}" for n, v in self.model.report().items())
        if job.is_write:
            receipt = f"{zlib.crc32(f'{job.request_id}/{self.number}/{job.version}'.encode()):08x}"
            delivery.checksum = zlib.crc32(receipt.encode())
            return f"HD O{job.request_id} c{receipt} L{load}\r\n".encode()
        value = f"{job.request_id} {job.key} v{job.version} b{self.number} ".encode()
        value += self.padding[: max(0, len(self.padding) - len(value))]
        delivery.checksum = zlib.crc32(value)
        return f"VA {len(value)} O{job.request_id} {job.flags} L{load}\r\n".encode() + value + b"\r\n"

    def _spoil(self, answer: bytes, rid: str) -> bytes:
        """Return one of the ways in which servers, or what lies between, spoil answers."""
        way = int(self._chances.next() * 5)
        if way == 0:
            return b"\x00\xffgarbage\r\n"
        if way == 1:  # another request's id
            return answer.replace(b"O" + rid.encode(), b"O" + rid[::-1].encode() + b"z", 1)
        if way == 2:  # something nobody asked for behind it
            return answer + b"SERVER_ERROR busy\r\n"
        if way == 3:  # a length that is not the value's
            return answer.replace(b"VA ", b"VA 1", 1)
        return b"SERVER_ERROR busy and more\r\n"
