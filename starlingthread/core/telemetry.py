"""The figures for operators: final statuses of requests by class, and attempts written to cache servers.

A request counts as received once its last byte was read and it names a class, an unused id and a deadline. It then ends
exactly once: as success, busy (rejected: by the decision module, a full mailbox or full memory), failure (any other
answer), or abandoned (its client disconnected first). So at any moment
received = success + busy + failure + abandoned + inflight.
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


REPORTED_STATUSES = (FinalStatus.SUCCESS, FinalStatus.BUSY, FinalStatus.FAILURE)


class Telemetry:
    """Counts from 0 at the start of the process. A class that is removed keeps its counts."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._finished: dict[str, dict[FinalStatus, int]] = {}
        self.inflight = 0  # requests received and not ended
        self.backend_calls = 0  # attempts written completely to cache servers
        self.reconfig_ok = 0  # configuration files accepted at SIGHUP
        self.reconfig_failed = 0  # configuration files rejected at SIGHUP
        self.register_classes(classes)

    def register_classes(self, classes: Iterable[str]) -> None:
        """Add classes by name; each is reported from now on, also at 0."""
        for name in classes:
            self._finished.setdefault(name, dict.fromkeys(FinalStatus, 0))

    def on_received(self) -> None:
        """Count a request that was received."""
        self.inflight += 1

    def on_finished(self, class_name: str, status: FinalStatus) -> None:
        """Count the one final status of a request that was received."""
        self.inflight -= 1
        self._finished[class_name][status] += 1

    def finished_count(self, class_name: str, status: FinalStatus) -> int:
        """Return how many requests of a class ended with a status."""
        return self._finished[class_name][status]

    def snapshot(self, listed: int, down: int) -> dict[str, object]:
        """Return the figures as they are reported, with the numbers of listed and of avoided cache servers."""
        calls = {
            name: {status.value: counts[status] for status in REPORTED_STATUSES}
            for name, counts in self._finished.items()
        }
        return {
            "calls": calls,
            "inflight": self.inflight,
            "backend_calls": self.backend_calls,
            "hosts_listed": listed,
            "hosts_down": down,
            "reconfig_ok": self.reconfig_ok,
            "reconfig_failed": self.reconfig_failed,
        }
