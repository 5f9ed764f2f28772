"""Ranks idle connections for eviction when descriptors run out."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from .context import ConnectionState
from .limits import SHORT_IDLE_TIMEOUT_MS, SILENT_CONNECTION_MS, STALLED_COMMAND_MS

# A connection is kept for this long after its last response; a client that reuses it sends its next command by then.
MIN_IDLE_MS = 100.0
# A connection is kept longer while our core is saturated, as clients that wait for the router send later.
MIN_IDLE_SATURATED_MS = 500.0
# A connection that its client has reused is kept longer while the listener is at capacity, as a client whose request
# crosses the close may be unable to connect again.
MIN_IDLE_AT_CAPACITY_MS = 500.0


class EvictionClass(IntEnum):
    """Classes of connections, the least useful first."""

    LINGERING = -1  # all responses are written and our end of file is being sent
    SILENT = 0  # the client has sent no command, or a partial one that has stalled
    LONG_IDLE = 1
    SLOW_COMMAND = 2
    NEW = 3  # the connection was just accepted, and becomes silent unless its first command arrives
    USED_ONCE = 4
    USED_AGAIN = 5
    RECEIVING = 6  # the start of a command has just arrived


class EvictionRank(NamedTuple):
    """The position of a connection in the eviction order; the lowest rank is evicted first."""

    eviction_class: EvictionClass
    since: float  # clock time
    evictable_at: float  # clock time before which the connection is not evicted, whatever its position


def eviction_rank(
    state: ConnectionState,
    has_pending_responses: bool,
    is_core_saturated: bool,
    now: float,
    is_at_capacity: bool = False,
) -> EvictionRank | None:
    """Return a connection's rank in the eviction order; None if a response is pending or it is being closed.

    is_at_capacity: clients may be unable to connect, also one whose request crosses the close of its connection
    """
    if state.lingering:
        return None if state.evicted else EvictionRank(EvictionClass.LINGERING, state.last_used_at, state.last_used_at)
    if has_pending_responses or state.is_ending:
        return None
    if state.partial_since is not None:
        eviction_class = _class_of_partial_command(now - state.partial_since)
        return EvictionRank(eviction_class, state.partial_since, state.partial_since)
    eviction_class = _class_of_idle_connection(state.commands, now - state.last_used_at)
    min_idle_ms = _min_idle_ms(state, is_core_saturated, is_at_capacity) if state.commands else SILENT_CONNECTION_MS
    return EvictionRank(eviction_class, state.last_used_at, state.last_used_at + min_idle_ms)


def _class_of_idle_connection(commands: int, idle_ms: float) -> EvictionClass:
    if not commands:
        return EvictionClass.SILENT if idle_ms >= SILENT_CONNECTION_MS else EvictionClass.NEW
    if idle_ms >= SHORT_IDLE_TIMEOUT_MS:
        return EvictionClass.LONG_IDLE
    return EvictionClass.USED_ONCE if commands == 1 else EvictionClass.USED_AGAIN


def _min_idle_ms(state: ConnectionState, is_core_saturated: bool, is_at_capacity: bool) -> float:
    if is_core_saturated:
        return MIN_IDLE_SATURATED_MS
    return MIN_IDLE_AT_CAPACITY_MS if is_at_capacity and state.commands > 1 else MIN_IDLE_MS


def _class_of_partial_command(age_ms: float) -> EvictionClass:
    """Classify a partial command by its age.

    Many clients that send half a command used to hold all descriptors until the command time-out.
    """
    if age_ms >= STALLED_COMMAND_MS:
        return EvictionClass.SILENT
    if age_ms >= SILENT_CONNECTION_MS:
        return EvictionClass.SLOW_COMMAND
    return EvictionClass.RECEIVING
