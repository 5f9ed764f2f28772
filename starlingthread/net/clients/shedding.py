"""Rejects reads on idle connections before any actor handles them, while the router's core is overloaded.

A rejection must cost far less CPU time than a request; otherwise the rejections would saturate the core themselves.
"""

from __future__ import annotations

import asyncio

from ...settings import Idempotency
from .. import meta
from .context import ConnectionState, ListenerContext
from .reader import ClientReader
from .responses import ResponseQueue


class EarlyRejector:
    """Inspects the data that one connection receives before its reader does."""

    __slots__ = ("_listener", "_reader", "_responses", "_state", "_transport")

    def __init__(
        self,
        listener: ListenerContext,
        state: ConnectionState,
        responses: ResponseQueue,
        reader: ClientReader,
        transport: asyncio.WriteTransport,
    ) -> None:
        self._listener = listener
        self._state = state
        self._responses = responses
        self._reader = reader
        self._transport = transport

    def consume(self, data: bytes) -> bool:
        """Reject the data just received if it is one whole read that is shed; return whether it was rejected.

        All other data is left to the reader.
        """
        if self._listener.router.core_load.is_shedding and self._is_idle() and self._reject(data):
            return True
        self._reader.stream_bytes += len(data)
        return False

    def _reject(self, data: bytes) -> bool:
        listener = self._listener
        read = meta.parse_plain_read(data)
        if read is None or read.request_id in listener.open_ids:
            return False
        request_class = listener.classes.get(read.class_name)
        if request_class is None or request_class.idempotency != Idempotency.IDEMPOTENT:
            return False  # a request that may have been executed before must not be rejected
        now = listener.clock.now()
        rejection = listener.router.core_load.shed(now, request_class, read.timeout_ms)
        if rejection is None:
            self._state.is_next_command_admitted = True
            return False
        self._state.last_used_at = now
        self._state.commands += 1
        self._transport.write(meta.busy_line(rejection.retry_after))
        return True

    def _is_idle(self) -> bool:
        """Return whether nothing is unanswered, unread or unsent on the connection, and it is not being closed."""
        state = self._state
        if state.is_ending or state.lingering:
            return False
        if self._responses.slots or self._listener.draining or state.partial_since is not None:
            return False
        if not self._reader.has_current_classes:
            return False
        if self._reader.processed_bytes != self._reader.stream_bytes:
            return False
        return not self._transport.get_write_buffer_size()
