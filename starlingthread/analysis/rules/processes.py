"""Rules on the routers' processes: memory, descriptors and exit codes."""

from __future__ import annotations

from collections.abc import Iterator

from ..evidence import RunEvidence
from ..verdict import Rule, Violation
from .base import violation


def check_resource_limits(run: RunEvidence) -> Iterator[Violation]:
    """A router stays within its limits of memory and descriptors."""
    limits = run.scenario.routers
    for sample in run.ledger.router_samples:
        if sample.memory_mb > limits.memory_mb:
            text = f"{sample.memory_mb:.1f} MB of memory, {limits.memory_mb:g} MB are allowed"
            yield violation(run, Rule.MEMORY, "", sample.router, sample.at, text)
        if sample.descriptors > limits.sockets:
            text = f"{sample.descriptors} descriptors, {limits.sockets} are allowed"
            yield violation(run, Rule.DESCRIPTORS, "", sample.router, sample.at, text)


def check_crashes(run: RunEvidence) -> Iterator[Violation]:
    """A router exits only on request, and then with exit code 0."""
    for event in run.ledger.router_events:
        if event.kind in ("crashed", "bad-exit"):
            text = f"{event.kind} with exit code {event.exit_code}"
            yield violation(run, Rule.CRASHED, "", event.router, event.at, text)
