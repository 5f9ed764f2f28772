"""A small router for the judge's tests: correct in mode ``good``, and broken in one known way in each other mode.

Run as ``python broken_router.py MODE`` with LB_CONFIG set. It shares no code with the project, takes its servers from
``known`` and from one look at discovery every 100 ms, and opens a connection for every attempt.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import zlib
from pathlib import Path

MODE = sys.argv[1]
CONFIG = json.loads(Path(os.environ["LB_CONFIG"]).read_text())
SERVERS: dict[str, dict[str, object]] = {}
SEEN = {"holds": 0, "requests": 0}
LEAK: list[object] = []


def learn(listing: dict[str, list[dict[str, object]]]) -> None:
    named = {str(e["name"]): e for e in listing["endpoints"]}
    if MODE == "ignores-drain":
        SERVERS.update({name: e for name, e in named.items() if name not in SERVERS})
    else:
        SERVERS.clear()
        SERVERS.update({name: e for name, e in named.items() if e["status"] == "in_service"})


async def discover() -> None:
    host, port = CONFIG["discovery"].split(":")
    while True:
        await asyncio.sleep(0.1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /registry/instances HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
            learn(json.loads(answer[answer.index(b"\r\n\r\n") + 4 :]))
        except (OSError, ValueError):
            continue


def choose(key: str) -> str:
    if MODE == "floods-cold":
        fresh = [e for e in SERVERS.values() if e["since_ms"]]
        if fresh:
            return str(fresh[0]["address"])
    ranked = sorted(SERVERS.values(), key=lambda e: zlib.crc32(f"{key}{e['name']}".encode()))
    return str(ranked[0]["address"])


async def attempt(address: str, data: bytes, wait: float) -> bytes:
    """Return a server's whole answer, or nothing."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return b""
    try:
        writer.write(data)
        line = await asyncio.wait_for(reader.readline(), wait)
        if line.startswith(b"VA "):
            line += await asyncio.wait_for(reader.readexactly(int(line.split()[1]) + 2), wait)
        return line
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return b""
    finally:
        writer.close()


def plain(answer: bytes) -> bytes:
    """Return an answer as a client gets it: without hit flags and load report."""
    head, _, rest = answer.partition(b"\r\n")
    words = head.split(b" ")
    if words[0] == b"VA":
        return b" ".join(words[:3]) + b"\r\n" + rest
    return b" ".join(words[:3]) + b"\r\n" if words[0] == b"HD" else answer


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while line := await reader.readline():
        if line == b"mn\r\n":
            writer.write(b"MN\r\n")
            continue
        words = line.decode().split()
        data = line
        if words[0] == "ms":
            data += await reader.readexactly(int(words[2]) + 2)
        fields = dict(f.split("=") for f in next(w for w in words if w[0] == "P" and "=" in w)[1:].split(","))
        rid, wait, key = next(w for w in words[2:] if w[0] == "O"), float(fields["d"]) / 1000.0, words[1]
        SEEN["requests"] += 1
        answer = await answered(data, rid, wait - 0.02, key, fields["c"] == "hold-item")
        if answer is None:
            break
        writer.write(answer)
    writer.close()


async def answered(data: bytes, rid: str, wait: float, key: str, is_hold: bool) -> bytes | None:
    nth = SEEN["requests"]
    if MODE == "loses" and zlib.crc32(rid.encode()) % 20 == 0:
        return None
    if MODE == "sits" and nth % 20 == 0:
        await asyncio.sleep(wait * 0.9)
        return b"SERVER_ERROR busy\r\n"
    if MODE == "answers-late" and nth % 20 == 0:
        await asyncio.sleep(wait + 0.11)
    if MODE == "leaks":
        LEAK.append(bytearray(2 << 20))
    if MODE == "crashes" and nth == 150:
        os._exit(3)
    answer = await attempt(choose(key), data, wait)
    if MODE == "resends-hold" and is_hold:
        answer = await attempt(choose(key + "again"), data, wait)
    if not answer:
        return b"SERVER_ERROR failed\r\n"
    if MODE == "refuses-what-ran" and is_hold:
        return b"SERVER_ERROR busy\r\n"
    if MODE == "answers-twice" and nth % 20 == 0:
        return plain(answer) * 2
    if MODE == "foreign-value" and answer.startswith(b"VA") and nth % 20 == 0:
        return plain(answer).replace(b"xxx", b"yyy", 1)
    if MODE == "invents" and nth % 20 == 0:
        return plain(await attempt(choose(key), data.replace(rid.encode(), b"Oinvented%d" % nth), wait) or answer)
    return plain(answer)


async def main() -> None:
    learn(CONFIG["known"])
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    host, port = CONFIG["listen"].split(":")
    server = await asyncio.start_server(serve, host, int(port), backlog=500)
    looking = asyncio.create_task(discover())
    await stop.wait()
    looking.cancel()
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
