"""Which requests may have been executed, for longer than the requests are open. Times are clock times in ms.

A request that must not run twice may come again: on another connection, after its client has left, or at the other
process of an upgrade. The identity of such a request is a hash of its idempotency key, or of its id if it has none.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple, Protocol

# Maximum number of identities whose attempts are known, and of older ones, of which only the identity is kept.
MAX_RECENT = 10000
MAX_PAST = 30000
# Request id of an attempt that another process of this router made, or that is no longer known.
OTHER_REQUEST = 0


class PossibleExecution(NamedTuple):
    """An attempt of a request that a server may have executed."""

    server: int
    sent_at: float
    attempt: int
    request: int = OTHER_REQUEST  # the router's id of the request


# Stands for attempts of which only the identity is kept; no server drops duplicates of them any more.
PAST_EXECUTION = PossibleExecution(server=-1, sent_at=float("-inf"), attempt=-1)


class ExecutionObserver(Protocol):
    """Is told of each change of an :class:`ExecutionHistory` that this process makes."""

    def on_execution(self, identity: int, execution: PossibleExecution) -> None:
        """Handle that a request may have been executed from now on."""

    def on_execution_disproved(self, identity: int, execution: PossibleExecution) -> None:
        """Handle that an attempt turned out never to have been executed."""


class ExecutionHistory:
    """The possible executions by identity; 0 stands for a request that may be executed any number of times."""

    def __init__(self) -> None:
        # The lists are shared with the requests that are open, in the order of their first requests.
        self._recent: OrderedDict[int, list[PossibleExecution]] = OrderedDict()
        self._past: dict[int, None] = {}  # the oldest first
        self.observer: ExecutionObserver | None = None

    def __len__(self) -> int:
        return len(self._recent) + len(self._past)

    def may_have_run(self, identity: int) -> bool:
        """Return whether an earlier request of an identity may have been executed."""
        return identity != 0 and (bool(self._recent.get(identity)) or identity in self._past)

    def open(self, identity: int) -> list[PossibleExecution]:
        """Return the possible executions of a request that has arrived, which change as attempts start and end."""
        if not identity:
            return []
        if identity in self._past:
            return [PAST_EXECUTION]
        return self._recent.setdefault(identity, [])

    def close(self, now: float, identity: int, retention: float) -> None:
        """Forget a request that has ended if it was never executed, and the details of those older than retention."""
        if not identity:
            return
        if not self._recent.get(identity, True):
            del self._recent[identity]
        while self._recent:
            oldest, executions = next(iter(self._recent.items()))
            is_expired = len(self._recent) > MAX_RECENT or (executions and executions[-1].sent_at < now - retention)
            if not is_expired:
                return
            del self._recent[oldest]
            if executions:
                self._add_past(oldest)

    def add(self, identity: int, executions: list[PossibleExecution], execution: PossibleExecution) -> None:
        """Record an attempt that starts; executions: the list that :meth:`open` returned."""
        executions.append(execution)
        if not identity:
            return
        known = self._recent.setdefault(identity, executions)
        if known is not executions:  # another request of the identity has ended meanwhile
            known.append(execution)
        if self.observer is not None:
            self.observer.on_execution(identity, execution)

    def disprove(self, identity: int, executions: list[PossibleExecution], request: int, attempt: int) -> None:
        """Remove an attempt of a request that turned out never to have been executed."""
        disproved = [e for e in executions if e.request == request and e.attempt == attempt]
        known = self._recent.get(identity, executions)
        for execution in disproved:
            executions.remove(execution)
            if known is not executions and execution in known:
                known.remove(execution)
            if identity and self.observer is not None:
                self.observer.on_execution_disproved(identity, execution)

    # The other process of an upgrade.

    def snapshot(self) -> list[tuple[int, PossibleExecution]]:
        """Return all possible executions, the oldest first."""
        past = [(identity, PAST_EXECUTION) for identity in self._past]
        return past + [(identity, execution) for identity, known in self._recent.items() for execution in known]

    def merge(self, identity: int, server: int, sent_at: float) -> None:
        """Record an attempt of another process of this router."""
        if sent_at == PAST_EXECUTION.sent_at:
            self._add_past(identity)
        elif identity not in self._past:
            self._recent.setdefault(identity, []).append(PossibleExecution(server, sent_at, attempt=-1))

    def merge_disproved(self, identity: int, server: int, sent_at: float) -> None:
        """Remove an attempt of another process that turned out never to have been executed."""
        executions = self._recent.get(identity, [])
        execution = PossibleExecution(server, sent_at, attempt=-1)
        if execution in executions:
            executions.remove(execution)

    def _add_past(self, identity: int) -> None:
        self._past[identity] = None
        if len(self._past) > MAX_PAST:
            del self._past[next(iter(self._past))]
