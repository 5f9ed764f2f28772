"""A small router for the judge's tests: correct in mode ``good``, with one known defect in each other mode.

Run as ``python broken_router.py MODE`` with LB_CONFIG set. It shares no code with the project. It takes its servers
from the setting ``known`` and by polling discovery every 100 ms, and opens a connection for each attempt.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import zlib
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

POLL_PERIOD_S = 0.1
REQUESTS_PER_FAULT = 20
CRASH_AT_REQUEST = 150
LEAKED_BYTES_PER_REQUEST = 2 << 20
ATTEMPT_MARGIN_S = 0.02  # an attempt times out this long before the client's deadline
REJECTED = b"SERVER_ERROR busy\r\n"
FAILED = b"SERVER_ERROR failed\r\n"


class Mode(StrEnum):
    """The defect of the router."""

    GOOD = "good"
    ANSWERS_TWICE = "answers-twice"
    RESENDS_ONCE = "resends-once"  # sends requests of effect "once" to two servers
    IGNORES_DRAIN = "ignores-drain"
    OVERLOADS_WARMING = "overloads-warming"  # sends all requests to a server that has just started
    LOSES = "loses"  # closes the connection without an answer
    DELAYS_REJECTIONS = "delays-rejections"
    ANSWERS_LATE = "answers-late"
    FOREIGN_VALUE = "foreign-value"  # answers with a value that differs from the server's
    REJECTS_AFTER_RUN = "rejects-after-run"
    INVENTS_REQUESTS = "invents-requests"  # sends requests that no client sent
    LEAKS = "leaks"
    CRASHES = "crashes"


class Request(NamedTuple):
    """A request of a client."""

    data: bytes
    id_token: str  # request id, with the prefix O
    budget_s: float
    key: str
    is_once: bool


@dataclass
class State:
    """The router's state."""

    mode: Mode
    discovery: str
    servers: dict[str, dict[str, object]] = field(default_factory=dict)
    request_count: int = 0
    leaked: list[object] = field(default_factory=list)


def update_servers(state: State, listing: dict[str, list[dict[str, object]]]) -> None:
    listed = {str(entry["name"]): entry for entry in listing["endpoints"]}
    if state.mode is Mode.IGNORES_DRAIN:
        state.servers.update({name: entry for name, entry in listed.items() if name not in state.servers})
    else:
        state.servers.clear()
        in_service = {name: entry for name, entry in listed.items() if entry["status"] == "in_service"}
        state.servers.update(in_service)


async def poll_discovery(state: State) -> None:
    host, port = state.discovery.split(":")
    while True:
        await asyncio.sleep(POLL_PERIOD_S)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /registry/instances HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
            update_servers(state, json.loads(answer[answer.index(b"\r\n\r\n") + 4 :]))
        except (OSError, ValueError):
            continue


def choose_server(state: State, key: str) -> str:
    """Return the address of a key's server, by rendezvous hashing."""
    if state.mode is Mode.OVERLOADS_WARMING:
        started = [entry for entry in state.servers.values() if entry["since_ms"]]
        if started:
            return str(started[0]["address"])
    ranked = sorted(state.servers.values(), key=lambda entry: zlib.crc32(f"{key}{entry['name']}".encode()))
    return str(ranked[0]["address"])


async def send_attempt(address: str, data: bytes, budget_s: float) -> bytes:
    """Return a server's complete answer, or empty bytes if there is none in time."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return b""
    try:
        writer.write(data)
        line = await asyncio.wait_for(reader.readline(), budget_s)
        if line.startswith(b"VA "):
            line += await asyncio.wait_for(reader.readexactly(int(line.split()[1]) + 2), budget_s)
        return line
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return b""
    finally:
        writer.close()


def client_answer(answer: bytes) -> bytes:
    """Return a server's answer for the client, without hit flags and load report."""
    head, _, rest = answer.partition(b"\r\n")
    fields = head.split(b" ")
    if fields[0] == b"VA":
        return b" ".join(fields[:3]) + b"\r\n" + rest
    return b" ".join(fields[:3]) + b"\r\n" if fields[0] == b"HD" else answer


async def read_request(reader: asyncio.StreamReader, line: bytes) -> Request:
    tokens = line.decode().split()
    data = line
    if tokens[0] == "ms":
        data += await reader.readexactly(int(tokens[2]) + 2)
    parameters = next(token for token in tokens if token[0] == "P" and "=" in token)[1:]
    fields = dict(parameter.split("=") for parameter in parameters.split(","))
    id_token = next(token for token in tokens[2:] if token[0] == "O")
    return Request(
        data, id_token, float(fields["d"]) / 1000.0 - ATTEMPT_MARGIN_S, tokens[1], fields["c"] == "hold-item"
    )


async def serve(state: State, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while line := await reader.readline():
        if line == b"mn\r\n":
            writer.write(b"MN\r\n")
            continue
        request = await read_request(reader, line)
        state.request_count += 1
        answer = await handle(state, request)
        if answer is None:
            break
        writer.write(answer)
    writer.close()


async def handle(state: State, request: Request) -> bytes | None:
    """Return the answer to a request, or None to close the connection without an answer."""
    mode = state.mode
    number = state.request_count
    is_faulty = number % REQUESTS_PER_FAULT == 0
    if mode is Mode.LOSES and zlib.crc32(request.id_token.encode()) % REQUESTS_PER_FAULT == 0:
        return None
    if mode is Mode.DELAYS_REJECTIONS and is_faulty:
        await asyncio.sleep(request.budget_s * 0.9)
        return REJECTED
    if mode is Mode.ANSWERS_LATE and is_faulty:
        await asyncio.sleep(request.budget_s + 0.11)
    if mode is Mode.LEAKS:
        state.leaked.append(bytearray(LEAKED_BYTES_PER_REQUEST))
    if mode is Mode.CRASHES and number == CRASH_AT_REQUEST:
        os._exit(3)
    answer = await send_attempt(choose_server(state, request.key), request.data, request.budget_s)
    if mode is Mode.RESENDS_ONCE and request.is_once:
        answer = await send_attempt(choose_server(state, request.key + "again"), request.data, request.budget_s)
    if not answer:
        return FAILED
    return await corrupt_answer(state, request, number, answer)


async def corrupt_answer(state: State, request: Request, number: int, answer: bytes) -> bytes:
    """Return a server's answer for the client, with the defect of the mode."""
    mode = state.mode
    is_faulty = number % REQUESTS_PER_FAULT == 0
    if mode is Mode.REJECTS_AFTER_RUN and request.is_once:
        return REJECTED
    if mode is Mode.ANSWERS_TWICE and is_faulty:
        return client_answer(answer) * 2
    if mode is Mode.FOREIGN_VALUE and answer.startswith(b"VA") and is_faulty:
        return client_answer(answer).replace(b"xxx", b"yyy", 1)
    if mode is Mode.INVENTS_REQUESTS and is_faulty:
        invented = request.data.replace(request.id_token.encode(), b"Oinvented%d" % number)
        return client_answer(
            await send_attempt(choose_server(state, request.key), invented, request.budget_s) or answer
        )
    return client_answer(answer)


async def main() -> None:
    config = json.loads(Path(os.environ["LB_CONFIG"]).read_text())
    state = State(Mode(sys.argv[1]), config["discovery"])
    update_servers(state, config["known"])
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    host, port = config["listen"].split(":")
    server = await asyncio.start_server(
        lambda reader, writer: serve(state, reader, writer), host, int(port), backlog=500
    )
    polling = asyncio.create_task(poll_discovery(state))
    await stop.wait()
    polling.cancel()
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
