"""The service times of all request classes, and their mean by what is served. Times are ms.

Each begins with a first guess, a share of the class's latency objective. A guess serves until there is a response and
decides nothing that outlasts it: docs/incidents/first-guess-of-service-time.md.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..settings import RequestClass
from .service_time import ServiceTime

INITIAL_ESTIMATE_SHARE = 0.1  # of the latency objective
MEAN_GAIN = 0.05  # weight of a response in the mean over all classes; greater while there are few


class ServiceTimes(dict[str, ServiceTime]):
    """The service times by class name."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        super().__init__()
        self.apply_classes(classes)
        self.mean_time = self[classes[0].name].typical_time  # a guess until the first response
        self._response_count = 0

    def apply_classes(self, classes: Sequence[RequestClass]) -> None:
        """Switch to other classes; what was learned for a class stays with its name."""
        initial_estimates = {c.name: ServiceTime(c.latency_objective * INITIAL_ESTIMATE_SHARE) for c in classes}
        learned = {name: self[name] for name in initial_estimates if name in self}
        self.clear()
        self.update(initial_estimates | learned)

    def observe(self, class_name: str, hint: float, elapsed: float) -> None:
        """Record the hint of a request and the time of its response; a class that is gone by now is ignored."""
        service_time = self.get(class_name)
        if service_time is None:
            return
        service_time.observe(hint, elapsed)
        self._response_count += 1
        gain = max(MEAN_GAIN, 1.0 / self._response_count)
        self.mean_time += (service_time.expected_time(hint) - self.mean_time) * gain

    def relative_cost(self, class_name: str, cost: float) -> float:
        """Return a cost (ms) in requests of mean cost, at least 1; 1 while the class is not learned."""
        service_time = self.get(class_name)
        return max(1.0, cost / self.mean_time) if service_time and service_time.is_learned else 1.0

    def has_converged(self, class_name: str) -> bool:
        """Return whether one response of a class says little by now, so that its time may tell that one is late."""
        service_time = self.get(class_name)
        return service_time is not None and service_time.has_converged

    def time_without_wait(self, class_name: str, hint: float, elapsed: float, expected: float, speed: float) -> float:
        """Return the part of a response's time, elapsed, that was no wait.

        expected: as expected when it was sent; speed: of its server. The first guess may be far too low. Taken for
        known, it would turn the first responses into waits and failures, and requests would be rejected. So the first
        response shows no wait, and those sent before it are compared to what it has shown.
        """
        service_time = self.get(class_name)
        if service_time is None:
            return expected
        return max(expected, service_time.expected_time(hint) / speed) if service_time.is_learned else elapsed
