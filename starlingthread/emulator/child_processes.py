"""Child processes that end with the process that started them, even if that one is killed."""

from __future__ import annotations

import ctypes
import os
import signal
import sys
from collections.abc import Callable

PR_SET_PDEATHSIG = 1  # of prctl(2): the signal that a process gets when its parent ends


def parent_death_hook() -> Callable[[], None] | None:
    """Return what a child has to run before its program, as ``preexec_fn``; None where the system can't do it."""
    if not sys.platform.startswith("linux"):
        return None
    prctl = ctypes.CDLL(None, use_errno=True).prctl
    parent = os.getpid()

    def request_signal() -> None:
        prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:  # it has ended meanwhile
            os._exit(1)

    return request_signal
