"""A process whose descriptors are short, under the system's own limit: nobody who asks is kept out."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

from .peers import CLASSES, LIMIT, WATCHED, Listener, Peer, chunk, connect, entry, free_port, listing

SOCKETS = 96


async def say(port: int, text: bytes) -> Peer:
    """Connect and send something, again if there was no place."""
    while True:
        try:
            peer = await connect(port)
            await peer.send(text)
            if not text or await peer.until(b"\r\n"):
                return peer
        except (OSError, AssertionError):
            await asyncio.sleep(0)


async def play(folder: Path) -> str:
    """Fill a router with idle clients while discovery is down; return its log."""
    listen, calls, port = free_port(), free_port(), free_port()
    servers = [Listener(), Listener()]
    entries = [entry(f"s-{n}", server.address) for n, server in enumerate(servers)]
    path = folder / "config.json"
    path.write_text(json.dumps({
        "name": "r", "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{port}", "seed": "5",
        "management": f"127.0.0.1:{calls}", "limits": {"cores": 1.0, "memory_mb": 80, "sockets": SOCKETS},
        "known": {"index": 1, "snapshot": True, "endpoints": entries},
        "settings": {"discovery": "subscribe", "zones": ["a"], "kinds": ["k"], "grades": CLASSES,
                     "permissions": {"tryLimit": 3}, "rules": {"drainGraceMs": 100.0, "askWithinMs": 1.0}}}))
    router = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", f"ulimit -n {SOCKETS}; exec {sys.executable} -m starlingthread",
        stderr=asyncio.subprocess.PIPE, env={**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(folder)})
    idle = [await say(listen, b"mn\r\n" if n % 2 else b"") for n in range(3 * SOCKETS)]
    discovery = Listener(port)
    watch = await discovery.accept()
    await watch.until(b"\r\n\r\n")
    await watch.send(WATCHED + chunk(listing(2, {**entries[0], "status": "terminating"}, entries[1]) + b"\n"))
    idle += [await say(listen, b"mn\r\n" if n % 2 else b"") for n in range(SOCKETS)]
    asking = await connect(listen)
    await asking.send(b"mg k v O1 Pc=read,d=5000\r\n")
    server = await servers[1].accept()
    await server.until(b"\r\n")
    await server.send(b"VA 1 O1 h1\r\nx\r\n")
    assert await asking.until(b"x\r\n") == b"VA 1 O1\r\nx\r\n"
    operator = await connect(calls)
    await operator.send(b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    assert b" 200 " in await operator.until(b"\r\n")
    router.terminate()
    for peer in (asking, operator, *idle):
        peer.close()
    _, log = await router.communicate()
    assert router.returncode == 0
    for listener in (discovery, *servers):
        listener.close()
    return log.decode()


def test_idle_clients_that_fill_all_places_while_discovery_is_down_keep_nobody_out(tmp_path: Path) -> None:
    """One must be left for discovery, for a cache server, for operators' calls, and for accepting itself."""
    async def bounded() -> str:
        async with asyncio.timeout(3 * LIMIT):
            return await play(tmp_path)

    log = asyncio.run(bounded())
    assert "Traceback" not in log and "Too many open files" not in log and "actor-died" not in log
    assert "clients.shed" in log
