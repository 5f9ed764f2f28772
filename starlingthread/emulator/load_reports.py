"""Load reports of a server, sampled periodically and delivered with delay and noise."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from ..experiment.randomness import LognormalFactors
from ..experiment.scenario import Fleet

_WIRE_FIELD_NAMES = ("inflight", "queue", "x0")


class LoadReport(NamedTuple):
    """Load of a server as it reports it."""

    in_flight: float  # commands that run or wait for the origin
    queued: float
    hit_rate: float  # share of recent reads that were cache hits

    def wire_fields(self) -> Iterator[tuple[str, float]]:
        """Return the pairs of wire name and value, in order."""
        return zip(_WIRE_FIELD_NAMES, self, strict=True)


class _Sample(NamedTuple):
    taken_at: float
    report: LoadReport


class LoadReporter:
    """Samples the load periodically, and reports the newest sample that is at least as old as the report delay."""

    def __init__(self, spec: Fleet, noise: LognormalFactors) -> None:
        self._spec = spec
        self._noise = noise
        self._samples: deque[_Sample] = deque()

    def report(self, now: float, extra_delay_ms: float, measure: Callable[[], LoadReport]) -> LoadReport:
        """Return the report to send now, with noise; call ``measure`` if a new sample is due."""
        if not self._samples or now - self._samples[-1].taken_at >= self._spec.report_period_ms:
            self._samples.append(_Sample(now, measure()))
        newest_reportable_at = now - self._spec.report_delay_ms - extra_delay_ms
        while len(self._samples) > 1 and self._samples[1].taken_at <= newest_reportable_at:
            self._samples.popleft()
        return LoadReport(*(value * self._noise.next() for value in self._samples[0].report))
