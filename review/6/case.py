"""A reload removes a class while pipelined requests wait; later requests on the connection get no answer."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import SLACK_MS, Case, Client, grade, polo_settings, run_case

LIMIT_MS = 4000.0  # the deadline of all classes that are used here
WORK_S = 0.12  # the work of a request, which the page gives as 69 to 160 ms
RELOAD_AFTER_S = 0.04  # the reload follows the requests after this time
LATE_MS = 500.0  # up to this long after its time an answer only earns nothing
# The requests of one client, in the order in which it sends them, all at once.
CLASSES = ["item-lookup"] * 16 + ["price-check"] * 10 + ["record-sale"] * 2 + ["item-lookup"] * 2


def command(case: Case, number: int, name: str) -> tuple[str, bytes]:
    """Return the id and the bytes of one request."""
    request_id = case.new_id()
    if name == "record-sale":
        fields = f"Pc={name},d={LIMIT_MS:.0f},k=key{request_id}"
        return request_id, f"ms sale{number} 4 O{request_id} {fields}\r\nsold\r\n".encode()
    return request_id, f"mg item{number} v O{request_id} Pc={name},d={LIMIT_MS:.0f}\r\n".encode()


async def play(case: Case) -> int:
    """Play the case."""
    await case.start_servers(9)
    for server in case.servers:
        server.delay_s = lambda _: WORK_S
    settings = polo_settings()
    settings["grades"].append(grade("price-check", "repeatable", 1200.0, LIMIT_MS, 5.0))
    router = case.add_router("router", case.config(settings))
    router.start()
    await router.wait_until_used()
    await asyncio.sleep(3.5)  # the first list from discovery

    client = await Client.connect(case.record, router.config["listen"])
    requests = [command(case, number, name) for number, name in enumerate(CLASSES)]
    client.send(b"".join(data for _, data in requests))
    await client.writer.drain()
    sent_at = case.record.now()
    case.record.say(f"client has sent {len(requests)} requests on one connection")
    if case.has_trouble:
        await asyncio.sleep(RELOAD_AFTER_S)
        settings["grades"].pop()
        router.write_config()
        router.signal(signal.SIGHUP)

    breaks = []
    for (request_id, _), name in zip(requests, CLASSES, strict=True):
        remaining = sent_at + (LIMIT_MS + SLACK_MS + LATE_MS) / 1000.0 - case.record.now()
        try:
            answer = await asyncio.wait_for(client.answer(), max(0.01, remaining))
        except TimeoutError:
            breaks.append(f"{name} {request_id}: no answer in its time")
            continue
        case.record.say(f"client gets for {name} {request_id}: {answer[0] if answer else 'the end of its connection'}")
        if answer is None:
            breaks.append(f"{name} {request_id}: the router ended the connection without an answer")
    client.close()
    return case.verdict(breaks, "a request has to get its final answer")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
