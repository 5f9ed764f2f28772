"""The budgets of file descriptors and memory: how the process's limits are shared out. No I/O, no clock.

During an upgrade two processes have a share of the limits each, and the sum of their budgets stays within the limits.
"""

from __future__ import annotations

from typing import NamedTuple

BYTES_PER_MB = 1 << 20
PROCESS_DESCRIPTORS = 20  # 12 at rest; calls to discovery, upgrades, and what is closed but not yet released
MANAGEMENT_SHARE = 1 / 32  # of the descriptors, for concurrent calls of operators
MIN_MANAGEMENT_CONNECTIONS = 4
MIN_CONNECTIONS = 16
CLIENT_SHARE = 0.5  # of the rest for clients, whose requests need a third of all; the other half for servers
IDLE_CLIENT_SHARE = 0.16  # of all, for clients; they may take a third, and new requests need some that are free
MEMORY_GROWTH_FACTOR = (
    1.25  # memory of the process with full tables and some hundred connections, in terms of that at rest
)
BUFFERED_SHARE = 0.3  # of the remaining memory, for values that are buffered completely
STREAMED_SHARE = 0.2  # of the remaining memory, for streamed values beyond one chunk each
MIN_REMAINING_MB = 2.0  # budgeted in any case: a router that can buffer nothing serves nothing


class ResourceBudgets(NamedTuple):
    """The budgets: connections by count, values by bytes."""

    max_clients: int
    idle_client_threshold: int  # connected clients beyond which idle ones are closed sooner
    server_connections: int
    management_connections: int
    buffered_values: int
    streamed_values: int


def split_budgets(
    descriptors: int, memory_mb: float, idle_mb: float, share: float, has_management: bool
) -> ResourceBudgets:
    """Return the budgets of a process that may use a share (0 to 1) of the limits.

    idle_mb: what the process uses at rest; has_management: whether operators may connect, else no descriptors are
    reserved for them.
    """
    own_descriptors = int(descriptors * share)
    management = 0
    if has_management:
        management = max(MIN_MANAGEMENT_CONNECTIONS, int(own_descriptors * MANAGEMENT_SHARE))
    connections = max(MIN_CONNECTIONS, own_descriptors - PROCESS_DESCRIPTORS - management)
    clients = int(connections * CLIENT_SHARE)
    remaining_bytes = max(MIN_REMAINING_MB, memory_mb * share - idle_mb * MEMORY_GROWTH_FACTOR) * BYTES_PER_MB
    return ResourceBudgets(
        max_clients=clients,
        idle_client_threshold=int(own_descriptors * IDLE_CLIENT_SHARE),
        server_connections=connections - clients,
        management_connections=management,
        buffered_values=int(remaining_bytes * BUFFERED_SHARE),
        streamed_values=int(remaining_bytes * STREAMED_SHARE),
    )
