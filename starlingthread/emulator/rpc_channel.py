"""RPC channel between two processes of a run: messages and calls as length-prefixed MessagePack over TCP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec

from .messages import Call, Reply

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode
_REPLY_TAG = "r"
# Size of the header, which holds the length of the message as a little-endian integer.
_HEADER_BYTES = 4
# Limit on the size of the first message; a peer that announces a longer one is not a worker of this run.
_MAX_HELLO_BYTES = 64


class RpcChannel(asyncio.Protocol):
    """One end of a channel. ``on_message`` receives each message as a list whose first element is the tag."""

    def __init__(
        self, on_message: Callable[[RpcChannel, list[Any]], None], on_end: Callable[[RpcChannel], None]
    ) -> None:
        self.on_message = on_message
        self.on_end = on_end
        self.transport: asyncio.Transport
        self.name = ""  # name of the peer process, empty until its first message has arrived
        self._buffer = bytearray()
        self._calls_in_flight: dict[int, asyncio.Future[Any]] = {}
        self._last_call_number = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # Transports of uvloop are not instances of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the calls in flight with a ConnectionError."""
        for future in self._calls_in_flight.values():
            if not future.done():
                future.set_exception(ConnectionError(f"process {self.name} has ended"))
        self._calls_in_flight.clear()
        self.on_end(self)

    def data_received(self, data: bytes) -> None:
        """Handle all messages that have been received completely."""
        self._buffer += data
        position = 0
        while len(self._buffer) - position >= _HEADER_BYTES:
            body_start = position + _HEADER_BYTES
            body_size = int.from_bytes(self._buffer[position:body_start], "little")
            if not self.name and body_size > _MAX_HELLO_BYTES:
                # The peer is not a worker, for example a router that still uses the port of a server that has ended.
                self.transport.abort()
                return
            if len(self._buffer) - body_start < body_size:
                break
            message = _decode(bytes(self._buffer[body_start : body_start + body_size]))
            position = body_start + body_size
            self._handle(message)
        del self._buffer[:position]

    def _handle(self, message: list[Any]) -> None:
        if message[0] == _REPLY_TAG:
            self._resolve(msgspec.convert(message, Reply))
        else:
            self.on_message(self, message)

    def send(self, *parts: Any) -> None:
        """Send a message that consists of a tag and fields."""
        self._send_encoded(_encode(parts))

    def send_message(self, message: msgspec.Struct) -> None:
        """Send a typed message."""
        self._send_encoded(_encode(message))

    def _send_encoded(self, body: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(len(body).to_bytes(_HEADER_BYTES, "little") + body)

    # calls

    async def call(self, method: str, *arguments: Any) -> Any:
        """Call a method of the peer process; return its result.

        Raise a RuntimeError with the text of the peer's error, or a ConnectionError if the peer process ends.
        """
        self._last_call_number += 1
        future = self._calls_in_flight[self._last_call_number] = asyncio.get_running_loop().create_future()
        self.send_message(Call(self._last_call_number, method, list(arguments)))
        return await future

    def _resolve(self, reply: Reply) -> None:
        future = self._calls_in_flight.pop(reply.number, None)
        if future is None or future.done():
            return
        if reply.is_ok:
            future.set_result(reply.result)
        else:
            future.set_exception(RuntimeError(str(reply.result)))

    def reply(self, call: Call, is_ok: bool, result: Any) -> None:
        """Answer a call of the peer process with the result or the text of the error."""
        self.send_message(Reply(call.number, is_ok, result))
