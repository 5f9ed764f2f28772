"""Graceful shutdown: accept for a short time, answer what was accepted, and end what no longer makes progress."""

from __future__ import annotations

import asyncio

from ..core.router import Router
from ..net.clients import ClientListener, DrainLimits

# Time after SIGTERM for which new connections are still accepted.
ACCEPT_AFTER_STOP_S = 0.5
# A connection on which nothing moves for this time is ended, or for the longest deadline if that is longer.
DRAIN_TIMEOUT_S = 4.5
# A process that shuts down runs for the longest deadline, limited to MAX_DEADLINE_MS, plus EXTRA_LIFETIME_MS. Requests
# that arrive during the shutdown are answered at least ANSWER_MARGIN_MS before that end.
MAX_DEADLINE_MS = 3000.0
EXTRA_LIFETIME_MS = 700.0
ANSWER_MARGIN_MS = 150.0


async def drain(clients: ClientListener, router: Router) -> None:
    """Answer the open requests and pass on all values, for as long as they make progress."""
    longest_deadline = max(request_class.deadline for request_class in router.settings.classes)
    kill_time = router.clock.now() + min(longest_deadline, MAX_DEADLINE_MS) + EXTRA_LIFETIME_MS
    quiet_timeout = max(DRAIN_TIMEOUT_S * 1000.0, longest_deadline)
    await asyncio.sleep(ACCEPT_AFTER_STOP_S)
    await clients.drain(DrainLimits(kill_time - ANSWER_MARGIN_MS, kill_time, quiet_timeout))
