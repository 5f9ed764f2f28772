"""Discovery: the whole list and the watch, over HTTP/1.1 that h11 parses."""

from __future__ import annotations

import asyncio
import hashlib
import json
import re
from collections.abc import Collection, Iterator
from random import Random
from typing import Any, NamedTuple, TypeAlias

import h11

from ..core.deadlines import Deadline
from ..core.mailbox import Mailbox
from ..core.messages import EndpointsReceived
from ..core.router import Router
from ..core.watcher import Watcher
from ..events import Endpoint, EndpointList, EndpointListKind, ServerState
from ..logs import log

SILENCE = 3000.0  # ms without a byte after which a call has failed
WATCH_SILENCE = 2500.0  # ms without a byte after which a watch that has told something is broken: it does so every 2 s
OWN_LATE = 10.0  # ms after which we look late at a silence: what came meanwhile may lie unread
UNFINISHED = 3000.0  # ms in which a list on a watch must be whole from its first byte on
CONNECT = 1000.0  # ms in which discovery must accept; a machine that is gone says nothing at all
MAX_LINE = 4 << 20  # bytes of one list
# What the agent of pushed lists has counts as told without a watch as well, and a drain's grace may be some 100 ms.
AGAIN = 20.0  # ms; mean pause before a pushed watch is opened anew
MAX_AGAIN_DOUBLED = 4  # times that it is doubled, once with each failure
STATES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.GONE,
}
LIST_PATH = "/registry/instances"


class EndpointListError(Exception):
    """Discovery said something that is no list."""


class JsonObjectSplitter:
    """Splits what comes on a watch into JSON objects by their braces, in whatever cuts it comes.

    A list may be written over many lines, and the last one before a break may lack its end of line. Raises ListError
    on what can't be part of an object, so that a list that is spoilt does not swallow the ones behind it.
    """

    TOKEN = re.compile(rb'"(?:[^"\\\n]|\\[^\n])*"|["{}]')

    TWO = re.compile(rb"}\s*{")  # the end of an object and the begin of the next one, or part of a string

    def __init__(self) -> None:
        self._bytes = bytearray()
        self._at = self._depth = 0  # up to where it was looked at, and how many braces are open there

    def __len__(self) -> int:
        return len(self._bytes)

    def is_midway(self) -> bool:
        """Whether an object has begun and is not whole."""
        return self._depth > 0

    def _whole_lines(self) -> Iterator[bytes]:
        """Give what is plainly one object a line, the usual way, without a look at each of its parts."""
        while (end := self._bytes.find(b"\n")) >= 0:
            line = bytes(self._bytes[:end]).strip()
            is_one = line.startswith(b"{") and line.endswith(b"}") and line.count(b"{") == line.count(b"}")
            if line and (not is_one or self.TWO.search(line)):
                return
            del self._bytes[: end + 1]
            if line:
                yield line

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Take in some bytes; give the objects that are whole by now."""
        self._bytes += data
        if self._depth == 0:
            yield from self._whole_lines()
        while (token := self.TOKEN.search(self._bytes, self._at)) is not None:
            if self._depth == 0 and (token[0] != b"{" or self._bytes[: token.start()].strip()):
                raise EndpointListError("not an object")
            if token[0] == b'"':  # a string that is not closed yet, nor ever if its line has ended
                if b"\n" in self._bytes[token.end() :]:
                    raise EndpointListError("a string that does not end")
                break
            self._at = token.end()
            self._depth += (token[0] == b"{") - (token[0] == b"}")
            if self._depth == 0:
                whole = bytes(self._bytes[: self._at])
                del self._bytes[: self._at]
                self._at = 0
                yield whole
        if self._depth == 0:
            if self._bytes.strip():
                raise EndpointListError("not an object")
            self._bytes.clear()


class ServerIds:
    """Server ids: from the name alone, so the same at every router and after every restart."""

    def __init__(self) -> None:
        self._by_name: dict[str, int] = {}
        self._taken: set[int] = set()

    def retain(self, numbers: Collection[int]) -> None:
        """Forget all names but those of these servers. Guards memory where servers come and go all day."""
        self._by_name = {name: number for name, number in self._by_name.items() if number in numbers}
        self._taken = set(self._by_name.values())

    def lookup(self, name: str) -> int | None:
        """Return the id of a name that a list has told lately."""
        return self._by_name.get(name)

    def assign(self, name: str) -> int:
        """Return the id of a name. On a collision of 32 bits the name that came later is hashed again."""
        number = self._by_name.get(name)
        turn = 0
        while number is None:
            digest = hashlib.blake2b(name.encode(), digest_size=4, salt=b"%d" % turn).digest()
            drawn, turn = int.from_bytes(digest, "big"), turn + 1
            if drawn not in self._taken:
                number = self._by_name[name] = drawn
                self._taken.add(drawn)
        return number


def parse_address(text: str) -> tuple[str, int]:
    """Turn 'host:port' into its parts, or raise a ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address")
    return host.strip("[]"), int(port)


class EndpointListParser:
    """Turns discovery's objects into the module's lists."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.ids = ServerIds()

    def parse(self, raw: object, kind: EndpointListKind | None = None) -> EndpointsReceived:
        """Read one object; its kind is told by 'snapshot' unless given. Raise ListError if it is no list."""
        try:
            return self._read(raw, kind)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise EndpointListError(f"not a list: {error!r}") from None

    def _read(self, raw: Any, kind: EndpointListKind | None) -> EndpointsReceived:
        members, addresses = [], {}
        # In the order of names, so that even ids that collide within one list come out the same everywhere.
        for line in sorted(raw["endpoints"], key=lambda line: str(line["name"])):
            number = self.ids.assign(str(line["name"]))
            if line.get("address"):
                addresses[number] = parse_address(line["address"])
            # An unknown zone or kind gets a place behind the known ones: it is then nobody's own.
            members.append(
                Endpoint(
                    number,
                    self.zones.get(line.get("zone"), len(self.zones)),
                    self.kinds.get(line.get("type"), len(self.kinds)),
                    int(line.get("group") or 0),
                    STATES[line["status"]],
                    float(line.get("weight", 1.0)),
                    float(line.get("since_ms") or 0.0),
                )
            )
        if kind is None:
            kind = EndpointListKind.FULL if raw["snapshot"] else EndpointListKind.DELTA
        return EndpointsReceived(EndpointList(kind, int(raw["index"]), tuple(members)), addresses)


class Move(NamedTuple):
    """Message: discovery has another address."""

    address: tuple[str, int]


Message: TypeAlias = str | Move  # "watch", "stop" and "fetch" are what the module asks for


class DiscoveryActor:
    """Asks discovery when the module says so, and tells the module what came of it."""

    def __init__(
        self,
        router: Router,
        reader: EndpointListParser,
        address: tuple[str, int],
        watcher: Watcher,
        pushed: bool = False,
    ) -> None:
        self.router, self.reader, self.address, self.watcher = router, reader, address, watcher
        self.pushed = pushed  # lists come without the module's asking, so it never asks: the watch is ours to keep open
        self._failures, self._rng = 0, Random()  # failures in a row; the pauses after them keep routers out of step
        self.clock, self.counters, self.deadlines = router.clock, router.counters, router.deadlines
        self.mailbox: Mailbox[Message] = Mailbox(100)
        self.index = 0  # version of the list that the module has
        self.wanted = False  # whether the module wants to hear of changes
        self._listed: set[int] = set()  # servers of that list
        self._watching: asyncio.Task[None] | None = None
        self._fetching: set[asyncio.Task[None]] = set()

    @property
    def endpoint_count(self) -> int:
        """How many servers the list that the module has names, those that drain among them."""
        return len(self._listed)

    def apply_settings(self, zones: tuple[str, ...], kinds: tuple[str, ...], pushed: bool = False) -> None:
        """Number zones and kinds anew, where they have changed: the next call asks for the whole list."""
        self.pushed = pushed
        self.wanted = self.wanted or pushed
        reader = EndpointListParser(zones, kinds)
        if (reader.zones, reader.kinds) != (self.reader.zones, self.reader.kinds):
            self.reader.zones, self.reader.kinds, self.index = reader.zones, reader.kinds, 0

    def server_id(self, name: str) -> int | None:
        """Return the id of a listed server, None if the list has none of that name."""
        number = self.reader.ids.lookup(name)
        return number if number in self._listed else None

    def load_cached_list(self, raw: object) -> None:
        """Tell the module the list from the configuration."""
        listing = self.reader.parse(raw, EndpointListKind.CACHED)
        self.index = listing.event.version
        self._listed = {m.server for m in listing.event.endpoints}
        self.router.mailbox.must_put(listing)

    def watch(self, active: bool) -> None:
        """Ask for changes from now on, or no longer."""
        self.wanted = active
        if not self.mailbox.put("watch" if active else "stop"):
            self._failed("mailbox full")

    def fetch(self) -> None:
        """Ask for the whole list once."""
        if not self.mailbox.put("fetch"):
            self._failed("mailbox full")

    def set_address(self, address: tuple[str, int]) -> None:
        """Discovery has another address: leave the old one and ask there, at once."""
        self.mailbox.must_put(Move(address))

    async def run(self) -> None:
        """Take what the module asks for."""
        if self.pushed:
            self.watch(True)
        while True:
            for message in self.mailbox.take():
                self._take_in(message)
            await self.mailbox.wait()

    def _take_in(self, message: Message) -> None:
        if isinstance(message, Move):
            self.address = message.address
            # Guards against a watch at the old address that lives on or ends later: neither its lists nor its
            # end are told any more. What was asked there is asked anew, as its answer may never come.
            self._stop_watching()
            fetches = len(self._fetching)
            for task in self._fetching:
                task.cancel()
            self._fetching.clear()
            for again in (["watch"] if self.wanted else []) + ["fetch"] * fetches:
                self._take_in(again)
        elif message == "fetch":
            task = self._call(LIST_PATH, watch=False)
            self._fetching.add(task)
            task.add_done_callback(self._fetching.discard)
        elif message == "stop":
            self._stop_watching()
        elif self._watching is None or self._watching.done():
            # One that is open is left open: it has its own clock for silence, and a new call would wait in turn again.
            self._watching = self._call(f"{LIST_PATH}?watch=1&after={self.index}", watch=True)

    def _stop_watching(self) -> None:
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None

    def _call(self, path: str, watch: bool) -> asyncio.Task[None]:
        self.counters.increment("registry.watches" if watch else "registry.fetches")
        return self.watcher.start(self._speak(path, watch), "registry-call", lambda error: self._failed(repr(error)))

    def _failed(self, why: str) -> None:
        self.counters.increment("registry.failures")
        log.info("registry-failed", why=why)
        self.router.mailbox.must_put(EndpointsReceived(EndpointList(EndpointListKind.FAILED, self.index), {}))
        if self.pushed:
            pause = AGAIN * (1 << min(self._failures, MAX_AGAIN_DOUBLED)) * self._rng.uniform(0.5, 1.5)
            self._failures += 1
            self.deadlines.set(self.clock.now() + pause, self._watch_again)

    def _watch_again(self) -> None:
        if self.pushed and self.wanted:
            self.watch(True)

    async def _speak(self, path: str, watch: bool) -> None:
        """Make one call. It ends with a list told, or with one failure told; a watch goes on in between."""
        task = asyncio.current_task()
        assert task is not None
        silence: Deadline | None = None
        silent = told = False
        writer: asyncio.StreamWriter | None = None

        def wait(span: float) -> None:
            nonlocal silence
            self.deadlines.clear(silence)
            due = self.clock.now() + span
            silence = self.deadlines.set(due, lambda: too_silent(due))

        def too_silent(due: float) -> None:
            nonlocal silent
            if self.clock.now() - due > OWN_LATE:  # what came while we stood still is read first
                return wait(2 * OWN_LATE)
            silent = True
            task.cancel()

        def heard() -> None:
            wait(WATCH_SILENCE if told else SILENCE)

        try:
            address = self.address
            wait(CONNECT)
            stream, writer = await asyncio.open_connection(*address)
            heard()
            http = h11.Connection(h11.CLIENT)
            host = f"{address[0]}:{address[1]}"
            writer.write(http.send(h11.Request(method="GET", target=path, headers=[("Host", host)])) or b"")
            writer.write(http.send(h11.EndOfMessage()) or b"")
            rest, objects, began_at = bytearray(), JsonObjectSplitter(), 0.0
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    data = await stream.read(65536)
                    heard()
                    http.receive_data(data)
                elif isinstance(event, h11.Response) and event.status_code != 200:
                    return self._failed(f"status {event.status_code}")
                elif isinstance(event, h11.Data):
                    if not watch:
                        rest += event.data
                    else:
                        was_midway = objects.is_midway()
                        for text in objects.feed(bytes(event.data)):
                            self._tell(text)
                            was_midway = False
                        told = True  # an empty line tells too: that nothing has changed
                        heard()
                        began_at = began_at if was_midway else self.clock.now()
                        if objects.is_midway() and self.clock.now() - began_at > UNFINISHED:
                            return self._failed("list not finished")
                    if len(rest) + len(objects) > MAX_LINE:
                        return self._failed("list too long")
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    if watch or isinstance(event, h11.ConnectionClosed):
                        return self._failed("watch ended" if watch else "closed")
                    return self._tell(bytes(rest))
        except asyncio.CancelledError:
            if not silent:
                raise
            self._failed("silent")
        except (OSError, h11.RemoteProtocolError, EndpointListError) as error:
            self._failed(repr(error))
        finally:
            self.deadlines.clear(silence)
            if writer is not None:
                writer.transport.abort()

    def _tell(self, text: bytes) -> None:
        try:
            raw = json.loads(text)
        except (ValueError, RecursionError) as error:
            self.counters.increment("registry.bad_json")
            raise EndpointListError(f"bad JSON: {error}") from None
        listing = self.reader.parse(raw)
        if listing.event.kind == EndpointListKind.DELTA and listing.event.version < self.index:
            known, self.index = self.index, 0  # it counts anew: the next call asks for the whole list
            raise EndpointListError(f"changes for version {listing.event.version}, we have {known}")
        self.index = listing.event.version
        event = listing.event
        gone = {m.server for m in event.endpoints if m.state == ServerState.GONE}
        told = {m.server for m in event.endpoints} - gone
        self._listed = told if event.kind != EndpointListKind.DELTA else (self._listed | told) - gone
        self.reader.ids.retain(self._listed)
        self._failures = 0
        self.counters.increment("registry.lists")
        self.router.mailbox.must_put(listing)
