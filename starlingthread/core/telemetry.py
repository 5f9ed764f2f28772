"""The figures that operators read: what became of requests by class, and what was written to cache servers.

The rule, the only one: a request counts as taken when its last byte was read and it names a class, an id that is not in
use and a deadline. It then ends once, as success, busy (refused, by whoever: the module, a full mailbox, full memory),
failure (anything else that is answered), or abandoned (its client left first). So at any moment
taken = success + busy + failure + abandoned + inflight.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum


class FinalStatus(Enum):
    """How a request ended."""

    SUCCESS = "success"
    BUSY = "busy"
    FAILURE = "failure"
    ABANDONED = "abandoned"


class Telemetry:
    """Counts from 0 at the start of the process. A class that vanishes keeps its counts."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._ends: dict[str, dict[FinalStatus, int]] = {}
        self.inflight = 0  # requests taken and not ended
        self.backend_calls = 0  # attempts written whole to cache servers
        self.reconfig_ok = self.reconfig_failed = 0  # files taken and turned down at SIGHUP
        self.register_classes(classes)

    def register_classes(self, classes: Iterable[str]) -> None:
        """Take in the names of classes; each is told from now on, also at 0."""
        for name in classes:
            self._ends.setdefault(name, dict.fromkeys(FinalStatus, 0))

    def on_received(self) -> None:
        """Count a request that was taken."""
        self.inflight += 1

    def on_finished(self, cls: str, end: FinalStatus) -> None:
        """Count the one end of a request that was taken."""
        self.inflight -= 1
        self._ends[cls][end] += 1

    def finished_count(self, cls: str, end: FinalStatus) -> int:
        """Return how many requests of a class ended so."""
        return self._ends[cls][end]

    def snapshot(self, listed: int, down: int) -> dict[str, object]:
        """Return the figures as they are told; of cache servers, how many are listed and avoided."""
        told = (FinalStatus.SUCCESS, FinalStatus.BUSY, FinalStatus.FAILURE)
        return {
            "calls": {name: {end.value: ends[end] for end in told} for name, ends in self._ends.items()},
            "inflight": self.inflight,
            "backend_calls": self.backend_calls,
            "hosts_listed": listed,
            "hosts_down": down,
            "reconfig_ok": self.reconfig_ok,
            "reconfig_failed": self.reconfig_failed,
        }
