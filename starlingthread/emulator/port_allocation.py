"""Ports that stay reserved for a server or router while it is down: outside the system's ephemeral port range."""

from __future__ import annotations

import os
import socket
from pathlib import Path
from random import Random
from typing import NamedTuple

_FIRST_PORT = 15000
_EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_DEFAULT_EPHEMERAL_START = 32768
_SMALLEST_RANGE = 1000  # ports
_ATTEMPTS = 1000

_random = Random(os.getpid())  # so that two runs side by side do not try the same ports in the same order
_allocated: set[int] = set()


class PortStripe(NamedTuple):
    """The ports of one process of a run: every ``step``-th one from an offset on."""

    offset: int = 0
    step: int = 1


WHOLE_RANGE = PortStripe()


def _end_of_range() -> int:
    """Return the first port that the system itself allocates."""
    try:
        return max(_FIRST_PORT + _SMALLEST_RANGE, int(_EPHEMERAL_RANGE.read_text().split()[0]))
    except (OSError, ValueError):
        return _DEFAULT_EPHEMERAL_START


def free_port(kind: socket.SocketKind, stripe: PortStripe = WHOLE_RANGE) -> int:
    """Return a port that no socket uses and that the system allocates to none. Raise an OSError if none is found.

    So a router or server that is down for a while still finds its port free when it comes back. Processes of one run
    allocate from different stripes: a port that one has chosen and not opened yet looks free to another (with 200
    routers and 60 servers, two collided in every second run, and a router ended at its start).
    """
    end = _end_of_range()
    for _ in range(_ATTEMPTS):
        port = _random.randrange(_FIRST_PORT + stripe.offset, end, stripe.step)
        if port in _allocated or not _is_free(kind, port):
            continue
        _allocated.add(port)
        return port
    raise OSError(f"no free port between {_FIRST_PORT} and {end}")


def _is_free(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
