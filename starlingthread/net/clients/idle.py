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
    IDLE = 3
    NEW = 4  # just accepted; its first command may be on its way
    RECEIVING = 5  # a command began a moment ago


class EvictionRank(NamedTuple):
    """The place of a connection in the order of eviction; the least goes first."""

    eviction_class: EvictionClass
    since: float  # clock time


def eviction_rank(
    state: ConnectionState, owes_responses: bool, is_core_saturated: bool, now: float, is_crowded: bool = False
) -> EvictionRank | None:
    """Return a connection's rank in the order of eviction; None if it must stay.

    is_crowded: clients find no place, so that one whose request crosses the close may not find another one.
    """
    if state.lingering:
        return None if state.evicted else EvictionRank(EvictionClass.LINGERING, state.last_used_at)
    if owes_responses or state.is_ending:
        return None
    if state.partial_since is not None:
        return EvictionRank(_class_of_partial_command(now - state.partial_since), state.partial_since)
    idle_ms = now - state.last_used_at
    if state.commands and idle_ms < _min_idle_ms(state, is_core_saturated, is_crowded):
        return None  # its client may be about to send the next command
    if not state.commands:
        eviction_class = EvictionClass.SILENT if idle_ms >= SILENT_CONNECTION_MS else EvictionClass.NEW
    else:
        eviction_class = EvictionClass.LONG_IDLE if idle_ms >= SHORT_IDLE_TIMEOUT_MS else EvictionClass.IDLE
    return EvictionRank(eviction_class, state.last_used_at)


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
