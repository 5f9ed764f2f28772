"""Timers that are handled late: a time-out noticed late says more about our own load than about the peer."""

from __future__ import annotations

from ..core.clock import Clock

LATE_TIMER_MS = 10.0  # past its due time, from which on a timer counts as handled late


def is_handled_late(clock: Clock, due: float) -> bool:
    """Whether a timer due at this clock time (ms) is handled so late that our own load may be the cause.

    Guards against giving up, after a pause of this process or on an overloaded core, on what has arrived but is not
    yet processed: it would be retried, which costs even more of the core.
    """
    return clock.now() - due > LATE_TIMER_MS
