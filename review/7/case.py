"""A planned restart while a cache server gives a large value slowly: the router ends by itself and cuts it off."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CannotRunError, Case, Client, polo_settings, run_case

VALUE_BYTES = 4 << 20
PIECE_BYTES = 32 << 10
PIECE_INTERVAL_S = 0.1
SIGTERM_AFTER_S = 1.0


async def play(case: Case) -> int:
    """Play the case."""
    await case.start_servers(9)
    for server in case.servers:
        server.value = lambda _: bytes(VALUE_BYTES)
        server.piece_bytes, server.piece_interval_s = PIECE_BYTES, PIECE_INTERVAL_S
    router = case.add_router("router", case.config(polo_settings()))
    router.start()
    await router.wait_until_used()
    await asyncio.sleep(3.5)  # the first list from discovery

    client = await Client.connect(case.record, router.config["listen"])
    request_id = case.new_id()
    client.send(f"mg photo v O{request_id} Pc=item-lookup,d=4000\r\n".encode())
    sent_at = case.record.now()
    line = await asyncio.wait_for(client.reader.readline(), 5.0)
    if not line.startswith(b"VA "):
        raise CannotRunError(f"the request was not served: {line!r}")
    case.record.say(f"the client has read {line!r}")
    whole = int(line.split(b" ")[1]) + 2
    size = 0
    is_stopped = False
    while size < whole:
        if case.has_trouble and not is_stopped and case.record.now() > sent_at + SIGTERM_AFTER_S:
            router.signal(signal.SIGTERM)  # SIGKILL would follow no sooner than 3.7 s later; here, not at all
            is_stopped = True
        try:
            piece = await asyncio.wait_for(client.reader.read(whole - size), 10.0)
        except (OSError, TimeoutError) as error:
            case.record.say(f"the client's read ends with {error!r}")
            break
        if not piece:
            case.record.say("the client reads the end of its connection")
            break
        size += len(piece)
        if size % (512 << 10) < len(piece):
            case.record.say(f"the client has read {size} bytes of the value")
    client.close()
    await asyncio.sleep(0.3)
    case.record.say(f"the client has {size} of {whole} bytes; the router has exit code {router.exit_code()}")
    breaks = [] if size == whole else [f"{request_id}: the client got {size} of {whole} bytes"]
    return case.verdict(breaks, "what a router has taken is answered whole before it ends")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
