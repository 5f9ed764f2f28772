"""Graceful shutdown: accept for a short time, answer the open requests, and fail those that remain at the time-out."""

from __future__ import annotations

import asyncio
import contextlib

from ..core.router import Router
from ..logs import log
from ..net.clients import ClientListener

# After SIGTERM new connections are accepted for this long.
ACCEPT_AFTER_STOP_S = 0.5
# After that, open requests have this long to finish, or the longest deadline if that is longer.
DRAIN_TIMEOUT_S = 4.5
# After that, the error answers of the remaining requests have this long to be written.
FAIL_TIMEOUT_S = 1.0
# A process that shuts down runs for the longest deadline, limited to MAX_DEADLINE_MS, plus EXTRA_LIFETIME_MS. Requests
# that arrive during the shutdown are answered at least ANSWER_MARGIN_MS before that end.
MAX_DEADLINE_MS = 3000.0
EXTRA_LIFETIME_MS = 700.0
ANSWER_MARGIN_MS = 150.0


async def drain(clients: ClientListener, router: Router) -> None:
    """Finish the open requests. Those still open at the time-out are answered as failed, as no request may be lost."""
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
