"""The open requests of a router: each gets exactly one final status and at most one final answer."""

from __future__ import annotations

from .counters import Counters
from .deadlines import Deadlines
from .messages import Answer, Attempt, Failed, PendingRequest, Rejected, Served
from .pipe import Pipe
from .telemetry import FinalStatus, Telemetry

STATUS_BY_ANSWER: dict[type, FinalStatus] = {
    Served: FinalStatus.SUCCESS,
    Rejected: FinalStatus.BUSY,
    Failed: FinalStatus.FAILURE,
}


class RequestTable:
    """The requests that are not finished or have an attempt in flight, with their attempts."""

    def __init__(self, deadlines: Deadlines, counters: Counters, telemetry: Telemetry) -> None:
        self._deadlines = deadlines
        self._counters = counters
        self._telemetry = telemetry
        self._last_id = 0
        self.requests: dict[int, PendingRequest] = {}
        # The attempts of each request, by request id and in order of their numbers.
        self.attempts: dict[int, list[Attempt]] = {}

    def add(self, request: PendingRequest) -> None:
        """Assign an id to a request, and keep the request until :meth:`remove_if_done` removes it."""
        self._last_id += 1
        request.id = self._last_id
        self.requests[request.id] = request
        self.attempts[request.id] = []
        self._counters.increment("requests.received")

    def finish(self, request: PendingRequest, answer: Answer) -> None:
        """Send the final answer of a request; ignored if it is finished. No other method sends answers."""
        if request.finished:
            return
        self._mark_finished(request)
        self._counters.increment(f"answers.{type(answer).__name__.lower()}")
        self._count_status(request.request_class.name, answer)
        request.requester.answer(request, answer)
        self.remove_if_done(request)

    def cancel(self, request: PendingRequest) -> None:
        """Finish a request without an answer, as its client has disconnected."""
        self._mark_finished(request)
        self._counters.increment("requests.cancelled")
        self._telemetry.on_finished(request.request_class.name, FinalStatus.ABANDONED)

    def remove_if_done(self, request: PendingRequest) -> None:
        """Remove a request if it is finished and has no attempt in flight."""
        if request.finished and request.attempts_in_flight == 0:
            self.requests.pop(request.id, None)
            self.attempts.pop(request.id, None)

    def _mark_finished(self, request: PendingRequest) -> None:
        request.finished = True
        self._deadlines.clear(request.deadline_timer)
        if request.body is not None:
            request.body.abandon()

    def _count_status(self, class_name: str, answer: Answer) -> None:
        """Count the final status of a request; if its value is streamed, once the stream has ended."""
        pipe = answer.pipe if isinstance(answer, Served) else None
        if pipe is None:
            self._telemetry.on_finished(class_name, STATUS_BY_ANSWER[type(answer)])
        else:
            pipe.on_settled(lambda: self._telemetry.on_finished(class_name, _status_of(pipe)))


def _status_of(pipe: Pipe) -> FinalStatus:
    """Return the final status of a request whose streamed value was finished or abandoned."""
    if pipe.complete is None:
        return FinalStatus.ABANDONED
    return FinalStatus.SUCCESS if pipe.complete else FinalStatus.FAILURE
