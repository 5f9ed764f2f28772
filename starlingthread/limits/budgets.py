"""Budgets that divide the process's limits on file descriptors and memory among its uses. No I/O, no clock.

During an upgrade the old and the new process each get a share of the limits, so that the sum of their budgets stays
within the limits.
"""

from __future__ import annotations

from typing import NamedTuple

BYTES_PER_MB = 1 << 20
# Descriptors of the process itself: 12 without load, the rest for calls to discovery, for upgrades, and for connections
# that are closed but not yet released.
PROCESS_DESCRIPTORS = 20
# Share of the descriptors that is reserved for concurrent management connections of operators.
MANAGEMENT_SHARE = 1 / 32
MIN_MANAGEMENT_CONNECTIONS = 4
MIN_CONNECTIONS = 16
# Share of the connections, without those of the management, that clients get; the servers get the other half. The
# requests of clients need a third of all descriptors.
CLIENT_SHARE = 0.5
# Share of all descriptors that clients may use before idle ones are closed sooner. Clients may use up to a third of all
# descriptors, and new requests need free ones.
IDLE_CLIENT_SHARE = 0.16
# Ratio of the memory with full tables and some hundred connections to the memory without load.
MEMORY_GROWTH_FACTOR = 1.25
# Share of the remaining memory for values that are buffered completely.
BUFFERED_SHARE = 0.3
# Share of the remaining memory for the parts of streamed values beyond one small read each.
STREAMED_SHARE = 0.2
# The remaining memory is taken to be at least this, as a router that cannot buffer any value cannot serve any request.
MIN_REMAINING_MB = 2.0


class ResourceBudgets(NamedTuple):
    """The budgets of one process: numbers of connections, and sizes of values in bytes."""

    max_clients: int
    # Idle clients are closed sooner while more clients than this are connected.
    idle_client_threshold: int
    server_connections: int
    management_connections: int
    buffered_values: int
    streamed_values: int


def split_budgets(
    descriptors: int, memory_mb: float, idle_mb: float, share: float, has_management: bool
) -> ResourceBudgets:
    """Return the budgets of a process that may use a share (0 to 1) of the limits.

    idle_mb: the memory (MB) that the process uses without load; has_management: whether operators may connect;
    descriptors are reserved for them only if they may.
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
