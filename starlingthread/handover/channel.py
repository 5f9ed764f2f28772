"""The channel between an old process and the new one that takes over from it, and the messages on it.

It is a Unix socket in a folder that both share. The old process sends first: a :class:`HandoverOffer` as one line of
JSON, with the listening sockets attached as ancillary data. The new process answers with a :class:`HandoverStatus` once
it serves. Either process notices the end of the other by the end of the channel.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

SOCKET_NAME = "starlingthread.handover"
PROTOCOL_VERSION = 1
OFFER_TIMEOUT_S = 1.0  # for each read of the offer; an old process that hangs has nothing to hand over
MAX_LINE = 4096  # bytes
MAX_SOCKETS = 8
BACKLOG = 4


class HandoverOffer(msgspec.Struct, frozen=True):
    """The first line, from the old process. The attached sockets come in the order of 'sockets'."""

    version: int
    share: float  # part of the resource limits that the new process may use while both live
    sockets: list[str]  # the use of each socket and its address


class HandoverStatus(msgspec.Struct, frozen=True):
    """Any later line, from the new process."""

    serving: bool = False  # the new process accepts connections from now on


class InheritedSockets(NamedTuple):
    """What a new process got, and the channel to the old process, which ends when that does."""

    channel: socket.socket
    resource_share: float
    sockets: dict[str, socket.socket]  # by use and address


@contextlib.contextmanager
def _short_path(folder: Path) -> Iterator[str]:
    """Give a short path of the folder, as the path of a Unix socket is limited to 107 bytes."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


def request_handover(folder: Path | None) -> InheritedSockets | None:
    """Ask the old process for its sockets, and wait for them; None if there is no old process.

    Raise an OSError if there is one whose offer does not come in time or is invalid.
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
            except ConnectionRefusedError:  # its process was killed and left the name behind
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
    """Return the first line, and append the attached descriptors, which the caller closes also after an OSError."""
    line = b""
    while not line.endswith(b"\n"):
        data, received, _, _ = socket.recv_fds(channel, MAX_LINE, MAX_SOCKETS)
        descriptors += received
        if not data or len(line) > MAX_LINE:
            raise OSError("the old process handed nothing over")
        line += data
    return line


def _decode_offer(line: bytes, socket_count: int) -> HandoverOffer:
    """Return the validated offer. Raise an OSError if it is invalid."""
    try:
        offer = msgspec.json.decode(line, type=HandoverOffer)
    except msgspec.MsgspecError as error:
        raise OSError(f"not understood: {error}") from None
    if offer.version != PROTOCOL_VERSION or len(offer.sockets) != socket_count or not 0 < offer.share <= 1:
        raise OSError("not understood: another version")
    return offer


def send_offer(channel: socket.socket, resource_share: float, sockets: dict[str, socket.socket]) -> None:
    """Send an offer with its sockets. Raise an OSError if that fails.

    It never blocks: the line is short and fits the send buffer of a new channel.
    """
    offer = HandoverOffer(PROTOCOL_VERSION, resource_share, list(sockets))
    line = msgspec.json.encode(offer) + b"\n"
    socket.send_fds(channel, [line], [sock.fileno() for sock in sockets.values()])


class HandoverListener:
    """The listening Unix socket of a process that can hand over. The name belongs to the newest process."""

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
        """Bind and listen under a name of this process, then rename it, so that the name always has a listener."""
        own_name = f"{SOCKET_NAME}.{os.getpid()}"
        with _short_path(folder) as short_folder:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(f"{short_folder}/{own_name}")
            self.socket.bind(f"{short_folder}/{own_name}")
        self.socket.listen(BACKLOG)
        os.chmod(folder / own_name, 0o600)
        os.replace(folder / own_name, self._path)

    def close(self) -> None:
        """Close the socket, and remove the name unless another process has taken it over."""
        self.socket.close()
        with contextlib.suppress(OSError):
            if self._path.stat().st_ino == self._inode:
                self._path.unlink()
