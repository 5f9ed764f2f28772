"""The router's open requests: exactly one final status per request, and at most one final answer."""

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
    """The requests that are owed an answer or have an attempt in flight, with their attempts."""

    def __init__(self, deadlines: Deadlines, counters: Counters, telemetry: Telemetry) -> None:
        self._deadlines = deadlines
        self._counters = counters
        self._telemetry = telemetry
        self._last_id = 0
        self.requests: dict[int, PendingRequest] = {}
        self.attempts: dict[int, list[Attempt]] = {}  # by request, in order of their numbers

    def add(self, request: PendingRequest) -> None:
        """Give a request its id and keep it until remove_if_done()."""
        self._last_id += 1
        request.id = self._last_id
        self.requests[request.id] = request
        self.attempts[request.id] = []
        self._counters.increment("requests.received")

    def finish(self, request: PendingRequest, answer: Answer) -> None:
        """Give a request its final answer: the one place that does. Ignored if it is finished."""
        if request.finished:
            return
        self._close(request)
        self._counters.increment(f"answers.{type(answer).__name__.lower()}")
        self._count_status(request.request_class.name, answer)
        request.requester.answer(request, answer)
        self.remove_if_done(request)

    def cancel(self, request: PendingRequest) -> None:
        """Finish a request whose client has disconnected, without an answer."""
        self._close(request)
        self._counters.increment("requests.cancelled")
        self._telemetry.on_finished(request.request_class.name, FinalStatus.ABANDONED)

    def remove_if_done(self, request: PendingRequest) -> None:
        """Forget a request that is finished and has no attempt in flight."""
        if request.finished and request.attempts_in_flight == 0:
            self.requests.pop(request.id, None)
            self.attempts.pop(request.id, None)

    def _close(self, request: PendingRequest) -> None:
        request.finished = True
        self._deadlines.clear(request.deadline_timer)
        if request.body is not None:
            request.body.abandon()

    def _count_status(self, class_name: str, answer: Answer) -> None:
        """Count the final status of a request; that of a streamed value once it is known."""
        pipe = answer.pipe if isinstance(answer, Served) else None
        if pipe is None:
            self._telemetry.on_finished(class_name, STATUS_BY_ANSWER[type(answer)])
        else:
            pipe.on_settled(lambda: self._telemetry.on_finished(class_name, _status_of(pipe)))


def _status_of(pipe: Pipe) -> FinalStatus:
    """Return the final status of a request whose streamed value is settled."""
    if pipe.complete is None:
        return FinalStatus.ABANDONED
    return FinalStatus.SUCCESS if pipe.complete else FinalStatus.FAILURE
