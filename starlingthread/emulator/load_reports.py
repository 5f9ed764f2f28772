"""Load reports of a server: sampled periodically, delivered late and with noise."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from ..experiment.randomness import LognormalFactors
from ..experiment.scenario import Fleet

_WIRE_NAMES = ("inflight", "queue", "x0")


class LoadReport(NamedTuple):
    """What a server reports about its load."""

    in_flight: float  # commands that run or wait for the origin
    queued: float
    hit_rate: float  # of recent reads

    def wire_fields(self) -> Iterator[tuple[str, float]]:
        """Return the fields under their names on the wire, in order."""
        return zip(_WIRE_NAMES, self, strict=True)


class _Sample(NamedTuple):
    taken_at: float
    report: LoadReport


class LoadReporter:
    """Samples of the load, from which the one that is old enough is reported."""

    def __init__(self, spec: Fleet, noise: LognormalFactors) -> None:
        self._spec = spec
        self._noise = noise
        self._samples: deque[_Sample] = deque()

    def report(self, now: float, extra_delay_ms: float, measure: Callable[[], LoadReport]) -> LoadReport:
        """Return the report to send now; ``measure`` is called if a new sample is due."""
        if not self._samples or now - self._samples[-1].taken_at >= self._spec.report_period_ms:
            self._samples.append(_Sample(now, measure()))
        newest_allowed = now - self._spec.report_delay_ms - extra_delay_ms
        while len(self._samples) > 1 and self._samples[1].taken_at <= newest_allowed:
            self._samples.popleft()
        return LoadReport(*(value * self._noise.next() for value in self._samples[0].report))
