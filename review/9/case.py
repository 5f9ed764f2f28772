"""A watch falls silent while discovery is crowded: a drain is not learned within 6 s of the silence."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import SLACK_MS, CallPlan, CannotRunError, Case, Traffic, polo_settings, run_case

FAILS_AFTER_S = 2.0  # a call to discovery that waits so long fails
WAIT_S = 1.5  # how long the next call waits until it is answered
TOLD_AFTER_S = 6.0  # what a silent watch misses counts as told at the latest this long after it fell silent


async def play(case: Case) -> int:
    """Play the case."""
    await case.start_servers(9)
    settings = polo_settings()
    router = case.add_router("router", case.config(settings))
    router.start()
    await router.wait_until_used()
    traffic = Traffic(case, router.config["listen"])
    await asyncio.sleep(4.0)  # the watch is open
    if not case.discovery.written:
        raise CannotRunError("the router did not watch within 4 s of its start")

    drained = max(case.servers, key=lambda server: len(server.received))
    case.discovery.heartbeat.clear()
    await asyncio.wait_for(case.discovery.heartbeat.wait(), 5.0)
    silent_at = case.record.now()
    if case.has_trouble:
        case.discovery.silence()
        case.discovery.call_plan[:] = [CallPlan(FAILS_AFTER_S, fails=True), CallPlan(WAIT_S)]
    await asyncio.sleep(0.1)
    case.discovery.change(drained.name, "terminating")
    await asyncio.sleep(12.0)
    await traffic.stop()

    told_at = min([at for at, index in case.discovery.written if index > 40], default=silent_at + 1000.0)
    binding_from = min(told_at, silent_at + TOLD_AFTER_S)
    allowed_until = binding_from + (settings["rules"]["drainGraceMs"] + SLACK_MS) / 1000.0
    case.record.say(
        f"the watch fell silent at {silent_at:.3f}; written to the router at {told_at:.3f}; "
        f"told at {binding_from:.3f}; nothing new may be sent after {allowed_until:.3f}"
    )
    late = [request for request in drained.received if request.at > allowed_until]
    breaks = [f"{request.server} was sent {request.id} at {request.at:.3f}" for request in late]
    return case.verdict(breaks, "drains are kept")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
