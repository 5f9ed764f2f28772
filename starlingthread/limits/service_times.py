"""The service times of all request classes, and their mean over all responses. Times are ms.

Each service time starts with an initial estimate, a share of the latency objective of its class. The estimate is used
only until the first response, and no decision that is based on it persists afterwards
(docs/incidents/first-guess-of-service-time.md).
"""

from __future__ import annotations

from collections.abc import Sequence

from ..settings import RequestClass
from .service_time import ServiceTime

# Initial estimate of a service time as a share of the latency objective.
INITIAL_ESTIMATE_SHARE = 0.1
# Weight of a response in the mean over all classes; the weight of the first responses is greater.
MEAN_GAIN = 0.05


class ServiceTimes(dict[str, ServiceTime]):
    """The service times by class name."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        super().__init__()
        self.apply_classes(classes)
        self.mean_time = self[classes[0].name].typical_time  # an estimate until the first response
        self._response_count = 0

    def apply_classes(self, classes: Sequence[RequestClass]) -> None:
        """Replace the classes; a class keeps the service time that was learned under its name."""
        initial_estimates = {c.name: _initial_estimate(c) for c in classes}
        learned = {name: self[name] for name in initial_estimates if name in self}
        self.clear()
        self.update(initial_estimates | learned)

    def expected_time(self, request_class: RequestClass, hint: float) -> float:
        """Return the expected service time of a request; the initial estimate if its class was removed."""
        service_time = self.get(request_class.name) or _initial_estimate(request_class)
        return service_time.expected_time(hint)

    def observe(self, class_name: str, hint: float, elapsed: float) -> None:
        """Record the hint and the response time of a request; classes that no longer exist are ignored."""
        service_time = self.get(class_name)
        if service_time is None:
            return
        service_time.observe(hint, elapsed)
        self._response_count += 1
        gain = max(MEAN_GAIN, 1.0 / self._response_count)
        self.mean_time += (service_time.expected_time(hint) - self.mean_time) * gain

    def relative_cost(self, class_name: str, cost: float) -> float:
        """Return a cost (ms) relative to the mean cost of a request, at least 1; 1 until the class is learned."""
        service_time = self.get(class_name)
        return max(1.0, cost / self.mean_time) if service_time and service_time.is_learned else 1.0

    def has_converged(self, class_name: str) -> bool:
        """Return whether the service time of a class is reliable enough to predict that a request would be late."""
        service_time = self.get(class_name)
        return service_time is not None and service_time.has_converged

    def time_without_wait(self, class_name: str, hint: float, elapsed: float, expected: float, speed: float) -> float:
        """Return the part of a response time, elapsed, that was not spent waiting in a queue.

        expected: the service time expected when the request was sent; speed: the speed of its server.

        The initial estimate may be far too low. If it were taken as the service time, the first responses would count
        as waits and failures, and requests would be rejected. So the first response counts as having no wait, and
        requests sent before it are compared with the service time that it showed.
        """
        service_time = self.get(class_name)
        if service_time is None:
            return expected
        return max(expected, service_time.expected_time(hint) / speed) if service_time.is_learned else elapsed


def _initial_estimate(request_class: RequestClass) -> ServiceTime:
    return ServiceTime(request_class.latency_objective * INITIAL_ESTIMATE_SHARE)
