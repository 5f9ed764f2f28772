"""The channel between an old process and the new one that takes over from it, and the messages on the channel.

The channel is a connection over a Unix socket in a folder that both processes share. The old process first sends a
:class:`HandoverOffer` as one line of JSON, with the listening sockets attached as ancillary data. The new process
replies with a :class:`HandoverStatus` once it accepts connections. Both processes tell each other of the requests that
must not run twice, each in a line of the same form. Each process detects the exit of the other by the
end of the channel.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

SOCKET_NAME = "starlingthread.handover"
PROTOCOL_VERSION = 1
# The time limit for each read of the offer. An old process that takes longer hangs, and cannot hand over its sockets.
OFFER_TIMEOUT_S = 1.0
MAX_LINE_BYTES = 4096
MAX_SOCKETS = 8
BACKLOG = 4


class HandoverOffer(msgspec.Struct, frozen=True):
    """The first message, from the old process. The sockets are attached in the order of ``sockets``."""

    version: int
    share: float  # The part of the resource limits that the new process may use while both processes run.
    sockets: list[str]  # The use and the address of each socket.


class ExecutionRecord(msgspec.Struct, frozen=True, array_like=True):
    """An attempt of a request that must not run twice."""

    identity: int  # The hash of the request's idempotency key or id.
    server: int
    sent_at_s: float | None  # The time of the system's monotonic clock; None: so long ago that it is not known.


class EndpointListEnd(msgspec.Struct, frozen=True):
    """The end of an endpoint list."""

    version: int
    # When discovery last showed that the list is current, as a time of the system's monotonic clock; None: never.
    proved_at_s: float | None


class HandoverStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Each later message, from either process. Earlier versions ignore the fields that they do not know."""

    serving: bool = False  # The new process accepts connections from now on.
    wants_executions: bool = False  # The new process asks for the executions that the old one knows.
    executed: list[ExecutionRecord] = []  # Attempts that may have been executed.
    disproved: list[ExecutionRecord] = []  # Attempts of earlier messages that turned out never to have been executed.
    executions_complete: bool = False  # All executions that the old process knows were sent.
    wants_endpoints: bool = False  # The new process asks for the endpoint list of the old one, and for later ones.
    endpoints: list[dict[str, Any]] = []  # Entries of the endpoint list in discovery's form.
    endpoint_list_end: EndpointListEnd | None = None  # All entries of the list were sent.
    share_doubled: bool = False  # The old process's own predecessor has exited, and its share is free for both.
    has_endpoints: bool = False  # Discovery has answered the new process, which needs no more lists.


class InheritedSockets(NamedTuple):
    """The sockets that a new process received, and its channel to the old process, which ends when that one exits."""

    channel: socket.socket
    resource_share: float
    sockets: dict[str, socket.socket]  # The listening sockets by use and address.


@contextlib.contextmanager
def _short_path(folder: Path) -> Iterator[str]:
    """Provide a short alias path of the folder, as the path of a Unix socket is limited to 107 bytes."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


def request_handover(folder: Path | None) -> InheritedSockets | None:
    """Request the sockets of the old process and wait for them; return None if there is no old process.

    Raise an OSError if the offer of the old process is invalid or does not arrive in time.
    """
    if folder is None or not (folder / SOCKET_NAME).is_socket():
        return None
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    descriptors: list[int] = []
    try:
        channel.settimeout(OFFER_TIMEOUT_S)
        with _short_path(folder) as short_folder:
            try:
                channel.connect(f"{short_folder}/{SOCKET_NAME}")
            # The old process was killed, so it has not removed the socket file.
            except ConnectionRefusedError:
                channel.close()
                return None
        offer = _decode_offer(_receive_offer(channel, descriptors), len(descriptors))
        sockets = {}
        for address in offer.sockets:
            sockets[address] = socket.socket(fileno=descriptors.pop(0))
        return InheritedSockets(channel, offer.share, sockets)
    except OSError:
        channel.close()
        raise
    finally:
        for descriptor in descriptors:
            os.close(descriptor)


def _receive_offer(channel: socket.socket, descriptors: list[int]) -> bytes:
    """Return the first line, and append the attached descriptors to a list.

    The caller has to close the descriptors, also after an OSError.
    """
    line = b""
    while not line.endswith(b"\n"):
        data, received, _, _ = socket.recv_fds(channel, MAX_LINE_BYTES, MAX_SOCKETS)
        descriptors += received
        if not data or len(line) > MAX_LINE_BYTES:
            raise OSError(f"handover offer truncated or too long: got {len(line) + len(data)} bytes")
        line += data
    return line


def _decode_offer(line: bytes, socket_count: int) -> HandoverOffer:
    """Decode and validate an offer. Raise an OSError if it is invalid."""
    try:
        offer = msgspec.json.decode(line, type=HandoverOffer)
    except msgspec.MsgspecError as error:
        raise OSError(f"invalid handover offer: {error}") from None
    if offer.version != PROTOCOL_VERSION or len(offer.sockets) != socket_count or not 0 < offer.share <= 1:
        raise OSError(
            f"invalid handover offer: version {offer.version}, share {offer.share},"
            f" {socket_count} of {len(offer.sockets)} sockets received"
        )
    return offer


def send_offer(channel: socket.socket, resource_share: float, sockets: dict[str, socket.socket]) -> None:
    """Send an offer with its sockets. Raise an OSError if that fails.

    This never blocks, as the line is shorter than the send buffer of a new channel.
    """
    offer = HandoverOffer(PROTOCOL_VERSION, resource_share, list(sockets))
    line = msgspec.json.encode(offer) + b"\n"
    socket.send_fds(channel, [line], [sock.fileno() for sock in sockets.values()])


class HandoverListener:
    """The listening Unix socket of a process that can hand over. Its path belongs to the newest process."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / SOCKET_NAME
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            self.socket.setblocking(False)
            self._bind(folder)
            self._inode = self._path.stat().st_ino
        except OSError:
            self.socket.close()
            raise

    def _bind(self, folder: Path) -> None:
        """Bind and listen on a temporary path, then rename it, so that the final path always has a listener."""
        temporary_name = f"{SOCKET_NAME}.{os.getpid()}"
        with _short_path(folder) as short_folder:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(f"{short_folder}/{temporary_name}")
            self.socket.bind(f"{short_folder}/{temporary_name}")
        self.socket.listen(BACKLOG)
        os.chmod(folder / temporary_name, 0o600)
        os.replace(folder / temporary_name, self._path)

    def close(self) -> None:
        """Close the socket, and remove its file unless another process has replaced it."""
        self.socket.close()
        with contextlib.suppress(OSError):
            if self._path.stat().st_ino == self._inode:
                self._path.unlink()
