"""A worker process of a run, which runs some of the servers or some of the clients under the coordinator's control.

Started as ``python -m starlingthread.testbed.worker PORT ROLE NUMBER``; it ends when its connection is closed.
"""

from __future__ import annotations

import asyncio
import gc
import sys

import uvloop

from ..emulator.messages import Hello
from ..emulator.rpc_channel import RpcChannel
from .client_worker import ClientWorker
from .server_worker import ServerWorker
from .worker_base import Worker

# High thresholds make garbage collections rare, as each collection stalls the process.
_GC_THRESHOLDS = (50000, 50, 1000)


def make_worker(role: str, number: int) -> Worker:
    """Return a worker for a role, ``servers`` or ``clients``."""
    if role == ServerWorker.role:
        return ServerWorker(number)
    return ClientWorker(number)


async def serve_coordinator(port: int, role: str, number: int) -> None:
    """Execute the coordinator's calls until the connection to it ends."""
    worker = make_worker(role, number)
    loop = asyncio.get_running_loop()
    _, worker.channel = await loop.create_connection(
        lambda: RpcChannel(worker.on_message, lambda _: worker.ended.set()), "127.0.0.1", port
    )
    worker.channel.name = "coordinator"
    worker.channel.send_message(Hello(role, number))
    gc.set_threshold(*_GC_THRESHOLDS)
    worker.monitor_lag()
    await worker.ended.wait()


if __name__ == "__main__":
    uvloop.run(serve_coordinator(int(sys.argv[1]), sys.argv[2], int(sys.argv[3])))
