"""The open calls to discovery, and which of them are superseded once another one has brought a list.

After a change of the address the calls to the old one go on until a call to the new one has brought a list. Otherwise
changes in quick succession would cancel each call before its answer.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum


class CallKind(Enum):
    """What a call asks discovery for."""

    WATCH = "watch"  # the changes since a version, for as long as the call is open
    FETCH = "fetch"  # the whole list, once


@dataclass(slots=True, eq=False)
class OpenCall:
    """A call to discovery that has not ended."""

    kind: CallKind
    epoch: int
    started_at: float  # clock time in ms
    wants_whole_list: bool  # whether its first list holds all servers
    has_answered: bool = False  # whether it has shown that the list is current
    task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """End the call; it reports nothing any more."""
        if self.task is not None:
            self.task.cancel()


class OpenCalls:
    """The open calls in the order of their start, those of earlier epochs included."""

    def __init__(self) -> None:
        self._calls: list[OpenCall] = []
        self._epoch = 0  # number of changes after which the calls before them are obsolete

    def add(self, kind: CallKind, now: float, wants_whole_list: bool) -> OpenCall:
        """Add a call that starts at a clock time in ms."""
        call = OpenCall(kind, self._epoch, now, wants_whole_list)
        self._calls.append(call)
        return call

    def remove(self, call: OpenCall) -> None:
        """Remove a call that has ended."""
        if call in self._calls:
            self._calls.remove(call)

    def begin_epoch(self) -> None:
        """Make all calls so far obsolete; they stay open until a later one has brought a list."""
        self._epoch += 1

    def is_current(self, call: OpenCall) -> bool:
        """Return whether a call is not obsolete."""
        return call.epoch == self._epoch

    def current(self, kind: CallKind) -> list[OpenCall]:
        """Return the open calls of a kind that are not obsolete."""
        return [call for call in self._calls if call.kind is kind and self.is_current(call)]

    def cancel(self, kind: CallKind) -> None:
        """Cancel all calls of a kind."""
        self._cancel([call for call in self._calls if call.kind is kind])

    def cancel_superseded_by(self, answered: OpenCall) -> None:
        """Cancel the calls that another one makes needless: those of earlier epochs, and other watches."""
        self._cancel(
            [
                call
                for call in self._calls
                if call.epoch < answered.epoch
                or (call.epoch == answered.epoch and call.kind is answered.kind is CallKind.WATCH)
                if call is not answered
            ]
        )

    def _cancel(self, calls: list[OpenCall]) -> None:
        for call in calls:
            call.cancel()
            self._calls.remove(call)
