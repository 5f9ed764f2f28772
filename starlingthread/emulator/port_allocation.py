"""Ports that stay one party's while it is down: outside the range from which the system gives ports away."""

from __future__ import annotations

import os
import socket
from pathlib import Path
from random import Random

FIRST = 15000
RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
TRIES = 1000

_random = Random(os.getpid())  # two runs side by side must not try the same ports in the same order
_given: set[int] = set()


def _end() -> int:
    """Return the first port that the system itself gives away."""
    try:
        return max(FIRST + 1000, int(RANGE.read_text().split()[0]))
    except (OSError, ValueError):
        return 32768


def free_port(kind: socket.SocketKind, part: int = 0, parts: int = 1) -> int:
    """Return a port that nobody holds, and that no connection is given by chance. Raise an OSError if none is found.

    Guards against a router or server that is down for a while and finds its port taken when it comes back. Processes of
    one run take theirs from different parts of the range: a port that one has chosen and not opened yet looks free to
    another (of 200 routers and 60 servers two met in every second run, and a router ended at its start).
    """
    end = _end()
    for _ in range(TRIES):
        port = _random.randrange(FIRST + part, end, parts)
        if port in _given:
            continue
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        return port
    raise OSError(f"no free port between {FIRST} and {end}")
