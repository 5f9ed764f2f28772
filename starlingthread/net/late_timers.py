"""Detection of timers that are handled late, as their timeouts may be caused by this process instead of the peer."""

from __future__ import annotations

from ..core.clock import Clock

LATE_THRESHOLD_MS = 10.0  # a timer handled more than this after its due time counts as late


def is_handled_late(clock: Clock, due: float) -> bool:
    """Return whether a timer due at this clock time (ms) is handled so late that this process may be the cause.

    After a pause of this process or on an overloaded core, data may have arrived that is not processed yet. A timeout
    would then cause a needless retry, which adds to the load of the core.
    """
    return clock.now() - due > LATE_THRESHOLD_MS
