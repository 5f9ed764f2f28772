"""The age of the endpoint list: the time since discovery last showed that it is current. Times are ms.

A change of the list counts as known at MAX_LIST_AGE_MS, whether or not it has arrived. The silence of a watch, calls
that fail or hang, and the pauses between them all take from the same time.
"""

from __future__ import annotations

MAX_LIST_AGE_MS = 6000.0
# At this age of the list a call must have begun that discovery does not keep waiting: it leaves 1.5 s for the answer.
LAST_CALL_AGE_MS = 4500.0
# At this age a call must have begun in any case: discovery may keep it waiting for 2 s and fail it.
FIRST_CALL_AGE_MS = 2500.0
# A pause is not cut to less than this; another call shortly after the last one would end as that did.
MIN_LIMITED_PAUSE_MS = 50.0


def limited_pause(pause: float, list_age: float) -> float:
    """Return a pause before the next call, so that it does not last beyond an age at which a call must have begun.

    The pause is not limited once the list is older than that, as no call would be in time.
    """
    for call_age in (FIRST_CALL_AGE_MS, LAST_CALL_AGE_MS):
        if list_age < call_age - MIN_LIMITED_PAUSE_MS:
            return min(pause, call_age - list_age)
    return pause
