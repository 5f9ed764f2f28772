"""An upgrade while discovery is down: the new process sends to a cache server whose drain the router was told."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import HOST, SLACK_MS, CannotRunError, Case, Traffic, free_port, polo_settings, run_case

OUTAGE_S = 8.0
READY_WITHIN_S = 6.0
BINDS_AFTER_READY_S = 2.0  # what discovery tells binds so long after the new process has said yes
KILL_AFTER_S = 3.7  # SIGKILL follows SIGTERM no sooner


async def play(case: Case) -> int:
    """Play the case."""
    await case.start_servers(9)
    settings = polo_settings()
    old = case.add_router("old", case.config(settings))
    old.start()
    await old.wait_until_used()
    traffic = Traffic(case, old.config["listen"])
    await asyncio.sleep(4.0)  # the watch is open
    drained = max(case.servers, key=lambda server: len(server.received))
    case.discovery.change(drained.name, "terminating")
    await asyncio.sleep(3.0)
    told_at = next((at for at, index in case.discovery.written if index == 41), None)
    if told_at is None:
        raise CannotRunError("the change was not written to the router")

    outage_until = case.record.now() + OUTAGE_S
    if case.has_trouble:
        await case.discovery.stop()
    await asyncio.sleep(0.3)
    # The new process is started with the same configuration, and another address for management.
    new = case.add_router("new", {**old.config, "management": f"{HOST}:{free_port()}"}, old.tmpdir)
    started_at = case.record.now()
    new.start()
    while await new.call("GET", "/api/ready") != 200:
        if case.record.now() > started_at + READY_WITHIN_S:
            raise CannotRunError("the new process did not say yes within 6 s")
        await asyncio.sleep(0.1)
    ready_at = case.record.now()
    old.signal(signal.SIGTERM)
    await asyncio.sleep(KILL_AFTER_S)
    old.kill()
    await asyncio.sleep(max(0.0, outage_until - case.record.now()))
    if case.has_trouble:
        await case.discovery.start()
        case.record.say("discovery is back")
    await asyncio.sleep(3.0)
    await traffic.stop()

    grace_s = (settings["rules"]["drainGraceMs"] + SLACK_MS) / 1000.0
    allowed_until = ready_at + BINDS_AFTER_READY_S + grace_s
    case.record.say(
        f"{drained.name}: its drain was written to the router at {told_at:.3f}; the new process said yes at "
        f"{ready_at:.3f}; nothing new may be sent from {told_at + grace_s:.3f} to the upgrade, and after "
        f"{allowed_until:.3f}"
    )
    late = [
        request
        for request in drained.received
        if told_at + grace_s < request.at < started_at or request.at > allowed_until
    ]
    breaks = [f"{request.server} was sent {request.id} at {request.at:.3f}" for request in late]
    return case.verdict(breaks, "drains are kept")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
