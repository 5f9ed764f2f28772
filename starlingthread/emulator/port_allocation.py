"""Allocation of ports that stay available to a server or router while it is down.

They lie below the ephemeral port range, from which the kernel assigns ports to other sockets.
"""

from __future__ import annotations

import os
import socket
from pathlib import Path
from random import Random
from typing import NamedTuple

_FIRST_PORT = 15000
_EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_DEFAULT_FIRST_EPHEMERAL_PORT = 32768
_MIN_RANGE_PORTS = 1000
_MAX_ATTEMPTS = 1000

# The seed differs between processes, so that parallel runs do not try the same ports in the same order.
_rng = Random(os.getpid())
_allocated: set[int] = set()


class PortStripe(NamedTuple):
    """The ports reserved for one process of a run: every ``step``-th port of the range, starting at an offset."""

    offset: int = 0
    step: int = 1


WHOLE_RANGE = PortStripe()


def _first_ephemeral_port() -> int:
    """Return the first port of the ephemeral range, which is the end of the range used here."""
    try:
        return max(_FIRST_PORT + _MIN_RANGE_PORTS, int(_EPHEMERAL_RANGE_FILE.read_text().split()[0]))
    except (OSError, ValueError):
        return _DEFAULT_FIRST_EPHEMERAL_PORT


def free_port(kind: socket.SocketKind, stripe: PortStripe = WHOLE_RANGE) -> int:
    """Return a port that no socket uses and that is outside the ephemeral range. Raise an OSError if none is found.

    A router or server that is down for a while can then bind its port again. Processes of one run allocate from
    different stripes, because a port that one process has chosen but not opened yet looks free to the others. Without
    stripes, with 200 routers and 60 servers, two processes chose the same port in every second run, and a router
    failed to start.
    """
    end_port = _first_ephemeral_port()
    for _ in range(_MAX_ATTEMPTS):
        port = _rng.randrange(_FIRST_PORT + stripe.offset, end_port, stripe.step)
        if port in _allocated or not _is_free(kind, port):
            continue
        _allocated.add(port)
        return port
    raise OSError(f"no free port between {_FIRST_PORT} and {end_port} in {_MAX_ATTEMPTS} attempts")


def _is_free(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
