"""The budgets of descriptors and memory: how the limits are split among those who need some. No I/O, no clock.

During an upgrade two processes hold a part of the limits each, and the sum of what both hold stays within them.
"""

from __future__ import annotations

from typing import NamedTuple

MB = 1 << 20
OWN_SOCKETS = 24  # of the program: 12 at rest; calls of discovery, upgrades, and what is closed but not given back yet
CALLS_SHARE = 1 / 32  # of the descriptors, for operators' calls at a time
LEAST_CALLS = 4
CLIENT_SHARE = 0.5  # of the rest for clients, whose requests need a third of all; the other half for servers
COMFORTABLE = 0.16  # of all, for clients: they may hold a third, and those who ask need some free
GROWTH = 1.25  # times its size at rest that the program takes with full tables and some hundred connections
WHOLE_SHARE = 0.3  # of the memory that is left, for values that are held whole
PIECES_SHARE = 0.2  # of the same, for values that go through in pieces, beyond one piece each
LEAST_LEFT = 2.0  # MB that are taken to be left in any case: a router that holds nothing serves nothing


class ResourceBudgets(NamedTuple):
    """What each may hold: connections by their number, values by their bytes."""

    max_clients: int
    idle_client_threshold: int  # of clients, beyond which those that ask for nothing are closed sooner
    server_connections: int
    management_connections: int
    buffered_values: int
    streamed_values: int


def split_budgets(sockets: int, memory: float, own: float, part: float, called: bool) -> ResourceBudgets:
    """Share out a part of the limits: descriptors, and memory in MB of which the program takes 'own' at rest.

    'called' tells whether operators may call; if not, nothing is kept for them.
    """
    ours = int(sockets * part)
    calls = max(LEAST_CALLS, int(ours * CALLS_SHARE)) if called else 0
    left = max(16, ours - OWN_SOCKETS - calls)
    clients = int(left * CLIENT_SHARE)
    spare = max(LEAST_LEFT, memory * part - own * GROWTH) * MB
    return ResourceBudgets(
        clients, int(ours * COMFORTABLE), left - clients, calls, int(spare * WHOLE_SHARE), int(spare * PIECES_SHARE)
    )
