"""New configurations in quick succession while discovery is slow: a drain is not learned within 6 s."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import SLACK_MS, CallPlan, CannotRunError, Case, Traffic, polo_settings, run_case

RELOADS = 8
RELOAD_INTERVAL_S = 1.2
CALL_DELAY_S = 1.5  # below the 2 s after which a call to discovery fails
TOLD_AFTER_S = 6.0  # a change counts as told at the latest this long after discovery had it


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

    case.discovery.call_plan.default = CallPlan(CALL_DELAY_S)
    case.record.say(f"discovery answers each call after {CALL_DELAY_S} s from now on")
    drained = max(case.servers, key=lambda server: len(server.received))
    changed_at = 0.0
    for number in range(RELOADS):
        if case.has_trouble:
            settings["permissions"]["tryLimit"] = 3 if number % 2 else 4
            router.write_config()
            router.signal(signal.SIGHUP)
        await asyncio.sleep(0.5 if number == 0 else RELOAD_INTERVAL_S)
        if number == 0:
            changed_at = case.record.now()
            case.discovery.change(drained.name, "terminating")
            await asyncio.sleep(RELOAD_INTERVAL_S - 0.5)
    await asyncio.sleep(4.0)
    await traffic.stop()

    told_at = min([at for at, index in case.discovery.written if index > 40], default=changed_at + 1000.0)
    binding_from = min(told_at, changed_at + TOLD_AFTER_S)
    allowed_until = binding_from + (settings["rules"]["drainGraceMs"] + SLACK_MS) / 1000.0
    case.record.say(
        f"{drained.name} drains from {changed_at:.3f}; written to the router at {told_at:.3f}; "
        f"told at {binding_from:.3f}; nothing new may be sent after {allowed_until:.3f}"
    )
    late = [request for request in drained.received if request.at > allowed_until]
    breaks = [f"{request.server} was sent {request.id} at {request.at:.3f}" for request in late]
    return case.verdict(breaks, "drains are kept")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
