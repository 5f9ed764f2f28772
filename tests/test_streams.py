"""Stream protocols: a reset connection must not cause a traceback when its objects are garbage-collected."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable
from typing import Any

import pytest

from starlingthread.net.streams import DisconnectAwareProtocol, StreamProtocol


@pytest.mark.parametrize(
    "create",
    [lambda: StreamProtocol(asyncio.StreamReader()), lambda: DisconnectAwareProtocol(lambda reader, writer: None, 100)],
)
def test_a_reset_connection_that_is_collected_leaves_no_traceback(create: Callable[[], Any]) -> None:
    """Guards against "Future exception was never retrieved" tracebacks in a router's log.

    asyncio logs one if a full garbage collection finalizes the future of the reset before the protocol.
    """
    reported: list[dict[str, Any]] = []

    async def reset_and_collect(monkeypatch: pytest.MonkeyPatch) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context))
        create_future = loop.create_future

        def collect_before_future() -> asyncio.Future[Any]:
            gc.collect(0)  # moves the protocol to an older generation than its future
            return create_future()

        gc.collect()
        monkeypatch.setattr(loop, "create_future", collect_before_future)
        protocol = create()
        protocol.self_reference = protocol  # a cycle, which only the garbage collector frees
        protocol.connection_lost(ConnectionResetError())
        del protocol
        gc.collect()

    gc.disable()
    try:
        with pytest.MonkeyPatch.context() as monkeypatch:
            asyncio.run(reset_and_collect(monkeypatch))
    finally:
        gc.enable()
    assert not reported
