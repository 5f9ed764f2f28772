"""Parent death signal for child processes: a child is killed when its parent ends, even if the parent is killed."""

from __future__ import annotations

import ctypes
import os
import signal
import sys
from collections.abc import Callable

# Option of prctl(2) that sets the signal sent to a process when its parent ends.
PR_SET_PDEATHSIG = 1


def parent_death_hook() -> Callable[[], None] | None:
    """Return a ``preexec_fn`` that has the child killed when its parent ends; None on systems other than Linux."""
    if not sys.platform.startswith("linux"):
        return None
    prctl = ctypes.CDLL(None, use_errno=True).prctl
    parent_pid = os.getpid()

    def request_death_signal() -> None:
        prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent_pid:  # The parent ended before the signal was requested.
            os._exit(1)

    return request_death_signal
