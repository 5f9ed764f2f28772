"""Graceful shutdown: accept for a short time, answer the open requests, and fail those that remain at the timeout."""

from __future__ import annotations

import asyncio
import contextlib

from ..core.router import Router
from ..logs import log
from ..net.clients import ClientListener

# Time after SIGTERM for which new connections are still accepted.
ACCEPT_AFTER_STOP_S = 0.5
# Time for open requests to finish after new connections are no longer accepted; the longest deadline if that is longer.
DRAIN_TIMEOUT_S = 4.5
# Time for writing the error answers of the requests that remain when the drain times out.
FAIL_TIMEOUT_S = 1.0
# A process that shuts down runs for the longest deadline, limited to MAX_DEADLINE_MS, plus EXTRA_LIFETIME_MS. Requests
# that arrive during the shutdown are answered at least ANSWER_MARGIN_MS before that end.
MAX_DEADLINE_MS = 3000.0
EXTRA_LIFETIME_MS = 700.0
ANSWER_MARGIN_MS = 150.0


async def drain(clients: ClientListener, router: Router) -> None:
    """Finish the open requests. Those still open at the timeout are answered as failed, as no request may be lost."""
    longest_deadline = max(request_class.deadline for request_class in router.settings.classes)
    lifetime = min(longest_deadline, MAX_DEADLINE_MS) + EXTRA_LIFETIME_MS
    answer_deadline = router.clock.now() + lifetime - ANSWER_MARGIN_MS
    await asyncio.sleep(ACCEPT_AFTER_STOP_S)
    try:
        await asyncio.wait_for(clients.drain(answer_deadline), max(DRAIN_TIMEOUT_S, longest_deadline / 1000.0))
    except TimeoutError:
        log.warning("shutdown-timeout", **{"requests.open": len(router.requests)})
        router.fail_all()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(clients.drain(answer_deadline), FAIL_TIMEOUT_S)
