"""Messages between the processes of a run: length-framed MessagePack over one loopback connection each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode
MAX_HELLO = 64  # bytes of the first message; who sends more is none of ours


class RpcChannel(asyncio.Protocol):
    """One end. ``on_message`` gets each message, a list that begins with its kind."""

    def __init__(
        self, on_message: Callable[[RpcChannel, list[Any]], None], on_end: Callable[[RpcChannel], None]
    ) -> None:
        self.on_message, self.on_end = on_message, on_end
        self.transport: asyncio.Transport
        self.name = ""
        self._buffer = bytearray()
        self._asked: dict[int, asyncio.Future[Any]] = {}
        self._last = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are not of that class

    def connection_lost(self, exc: Exception | None) -> None:
        for future in self._asked.values():
            if not future.done():
                future.set_exception(ConnectionError(f"process {self.name} has ended"))
        self._asked.clear()
        self.on_end(self)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        at = 0
        while len(self._buffer) - at >= 4:
            size = int.from_bytes(self._buffer[at : at + 4], "little")
            if not self.name and size > MAX_HELLO:
                self.transport.abort()  # a stranger, such as a router that takes this port for a server that is gone
                return
            if len(self._buffer) - at - 4 < size:
                break
            message = _decode(bytes(self._buffer[at + 4 : at + 4 + size]))
            at += 4 + size
            if message[0] == "r":
                self._answered(message[1], message[2], message[3])
            else:
                self.on_message(self, message)
        del self._buffer[:at]

    def send(self, *message: Any) -> None:
        """Send a message."""
        if self.transport.is_closing():
            return
        data = _encode(message)
        self.transport.write(len(data).to_bytes(4, "little") + data)

    # calls

    async def call(self, method: str, *arguments: Any) -> Any:
        """Have the other end do something; return its result. Raise RuntimeError with its words if it failed."""
        self._last += 1
        future = self._asked[self._last] = asyncio.get_running_loop().create_future()
        self.send("c", self._last, method, arguments)
        return await future

    def _answered(self, number: int, ok: bool, result: Any) -> None:
        future = self._asked.pop(number, None)
        if future is not None and not future.done():
            if ok:
                future.set_result(result)
            else:
                future.set_exception(RuntimeError(str(result)))

    def reply(self, number: int, ok: bool, result: Any) -> None:
        """Answer a call of the other end."""
        self.send("r", number, ok, result)
