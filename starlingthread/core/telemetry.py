"""The metrics for operators: final statuses of requests by class, and attempts written to cache servers.

A request counts as received once its last byte was read and it has a known class, an unused id and a deadline. It then
gets exactly one final status: success, busy (rejected by the decision module, or because the mailbox or the memory is
full), failure (any other answer) or abandoned (its client disconnected before the answer). At any time,
received = success + busy + failure + abandoned + inflight.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum


class FinalStatus(Enum):
    """The final status of a request."""

    SUCCESS = "success"
    BUSY = "busy"
    FAILURE = "failure"
    ABANDONED = "abandoned"


REPORTED_STATUSES = (FinalStatus.SUCCESS, FinalStatus.BUSY, FinalStatus.FAILURE)


class Telemetry:
    """Counts since the start of the process. A class that is removed from the settings keeps its counts."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._finished: dict[str, dict[FinalStatus, int]] = {}
        self.inflight = 0  # Requests that were received and have no final status yet.
        self.backend_calls = 0  # Attempts that were written completely to cache servers.
        self.reconfig_ok = 0  # Configuration files that were accepted on SIGHUP.
        self.reconfig_failed = 0  # Configuration files that were rejected on SIGHUP.
        self.register_classes(classes)

    def register_classes(self, classes: Iterable[str]) -> None:
        """Add classes by name; they are reported from now on, even while their counts are 0."""
        for name in classes:
            self._finished.setdefault(name, dict.fromkeys(FinalStatus, 0))

    def on_received(self) -> None:
        """Count a request that was received."""
        self.inflight += 1

    def on_finished(self, class_name: str, status: FinalStatus) -> None:
        """Count the final status of a request that was received."""
        self.inflight -= 1
        self._finished[class_name][status] += 1

    def finished_count(self, class_name: str, status: FinalStatus) -> int:
        """Return how many requests of a class ended with a status."""
        return self._finished[class_name][status]

    def snapshot(self, listed_servers: int, excluded_servers: int) -> dict[str, object]:
        """Return the metrics as reported to operators, with the numbers of listed and of excluded cache servers."""
        calls = {
            name: {status.value: counts[status] for status in REPORTED_STATUSES}
            for name, counts in self._finished.items()
        }
        return {
            "calls": calls,
            "inflight": self.inflight,
            "backend_calls": self.backend_calls,
            "hosts_listed": listed_servers,
            "hosts_down": excluded_servers,
            "reconfig_ok": self.reconfig_ok,
            "reconfig_failed": self.reconfig_failed,
        }
