"""In which order idle connections are evicted when descriptors run out."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from .context import ConnectionState
from .limits import SHORT_IDLE_TIMEOUT_MS, SILENT_CONNECTION_MS, STALLED_COMMAND_MS

MIN_IDLE_MS = 100.0  # since the last response; a client that keeps its connection sends its next command by then
MIN_IDLE_SATURATED_MS = 500.0  # the same while our core is saturated, as clients that wait for us send later
MIN_IDLE_CROWDED_MS = 500.0  # the same for a client that has used its connection again, while others find no place


class EvictionClass(IntEnum):
    """How useful a connection is to keep, the least useful first."""

    LINGERING = -1  # all its responses are written
    SILENT = 0  # no command since it was accepted, or a partial one that has stalled
    LONG_IDLE = 1
    SLOW_COMMAND = 2
    NEW = 3  # just accepted; silent unless its first command arrives
    USED_ONCE = 4
    USED_AGAIN = 5
    RECEIVING = 6  # a command began a moment ago


class EvictionRank(NamedTuple):
    """The place of a connection in the order of eviction; the least goes first."""

    eviction_class: EvictionClass
    since: float  # clock time
    evictable_at: float  # clock time; the connection keeps its place in the order, but stays until then


def eviction_rank(
    state: ConnectionState, owes_responses: bool, is_core_saturated: bool, now: float, is_crowded: bool = False
) -> EvictionRank | None:
    """Return a connection's rank in the order of eviction; None if something is owed on it or it is being closed.

    is_crowded: clients find no place, so that one whose request crosses the close may not find another one.
    """
    if state.lingering:
        return None if state.evicted else EvictionRank(EvictionClass.LINGERING, state.last_used_at, state.last_used_at)
    if owes_responses or state.is_ending:
        return None
    if state.partial_since is not None:
        eviction_class = _class_of_partial_command(now - state.partial_since)
        return EvictionRank(eviction_class, state.partial_since, state.partial_since)
    eviction_class = _class_of_idle_connection(state.commands, now - state.last_used_at)
    stays_ms = _min_idle_ms(state, is_core_saturated, is_crowded) if state.commands else SILENT_CONNECTION_MS
    return EvictionRank(eviction_class, state.last_used_at, state.last_used_at + stays_ms)


def _class_of_idle_connection(commands: int, idle_ms: float) -> EvictionClass:
    if not commands:
        return EvictionClass.SILENT if idle_ms >= SILENT_CONNECTION_MS else EvictionClass.NEW
    if idle_ms >= SHORT_IDLE_TIMEOUT_MS:
        return EvictionClass.LONG_IDLE
    return EvictionClass.USED_ONCE if commands == 1 else EvictionClass.USED_AGAIN


def _min_idle_ms(state: ConnectionState, is_core_saturated: bool, is_crowded: bool) -> float:
    if is_core_saturated:
        return MIN_IDLE_SATURATED_MS
    return MIN_IDLE_CROWDED_MS if is_crowded and state.commands > 1 else MIN_IDLE_MS


def _class_of_partial_command(age_ms: float) -> EvictionClass:
    """Guards against crowds that send half a command: they held all descriptors until their time was up."""
    if age_ms >= STALLED_COMMAND_MS:
        return EvictionClass.SILENT
    if age_ms >= SILENT_CONNECTION_MS:
        return EvictionClass.SLOW_COMMAND
    return EvictionClass.RECEIVING
