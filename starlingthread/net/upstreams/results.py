"""Results of exchanges: derives them from the answers and reports them to the router."""

from __future__ import annotations

from ...core.messages import Attempt, AttemptEnded, PendingRequest
from ...core.pipe import Pipe
from ...events import AttemptResult, CacheStatus, HealthCheckResult
from ...settings import Idempotency
from .. import meta
from .connection import Connection, Exchange, PendingHealthCheck
from .context import UpstreamContext

CACHE_STATUS_BY_FLAGS = {"h1": CacheStatus.HIT, "h0": CacheStatus.MISS, "h0 Z": CacheStatus.FETCH_IN_FLIGHT}


def attempt_result(connection: Connection, attempt: Attempt, answer: meta.ServerAnswer) -> AttemptResult:
    """Return the result of an attempt from the answer that arrived on its connection.

    An answer that does not match the request counts as a reset of the connection. ERROR and FULL are returned only if
    the server reported them itself.
    """
    kind = answer.kind
    if kind in (meta.AnswerKind.VALUE, meta.AnswerKind.RECEIPT):
        return AttemptResult.OK if _answers_request(attempt, answer) else AttemptResult.RESET
    if kind == meta.AnswerKind.BUSY:
        # FULL lets the router send a request again. Soon after the previous answer a 'busy' may be a stray line that
        # proves nothing about the request, and some must not be executed twice.
        may_be_stray = _must_run_once(attempt.request) and connection.busy_may_be_stray
        return AttemptResult.RESET if may_be_stray else AttemptResult.FULL
    return AttemptResult.ERROR if kind == meta.AnswerKind.FAILED else AttemptResult.RESET


def _must_run_once(request: PendingRequest) -> bool:
    """Whether a request must not be executed twice: a write, or a read of a class that says so."""
    return request.is_write or request.request_class.idempotency != Idempotency.IDEMPOTENT


def _answers_request(attempt: Attempt, answer: meta.ServerAnswer) -> bool:
    """Whether a value or receipt carries the request's id and is of the kind that the request expects."""
    command = attempt.request.payload
    if not isinstance(command, meta.Command) or command.request_id != answer.request_id:
        return False
    return attempt.request.is_write == (answer.kind == meta.AnswerKind.RECEIPT)


class ResultReporter:
    """Reports the results of one server's exchanges to the router, which drops those of abandoned attempts."""

    def __init__(self, context: UpstreamContext, server: int) -> None:
        self._context = context
        self._server = server

    def report(
        self,
        exchange: Exchange,
        result: AttemptResult,
        answer: meta.ServerAnswer | None = None,
        pipe: Pipe | None = None,
    ) -> None:
        """Report the result of an exchange, with the answer and the pipe of its streamed value if there are any."""
        if isinstance(exchange, PendingHealthCheck):
            self._report_health_check(exchange, result)
        else:
            self._report_attempt(exchange, result, answer, pipe)

    def _report_health_check(self, check: PendingHealthCheck, result: AttemptResult) -> None:
        self._context.deadlines.clear(check.timeout_timer)
        load_report = self._load_report(check.load)
        elapsed = self._context.clock.now() - check.sent_at
        self._context.router.mailbox.force_put(HealthCheckResult(self._server, result, elapsed, load_report))

    def _report_attempt(
        self, attempt: Attempt, result: AttemptResult, answer: meta.ServerAnswer | None, pipe: Pipe | None
    ) -> None:
        cache_status = CacheStatus.NONE
        load_report: tuple[float, ...] = ()
        if answer is not None:
            cache_status = CACHE_STATUS_BY_FLAGS.get(answer.cache_flags, CacheStatus.NONE)
            load_report = self._load_report(answer.load)
        message = AttemptEnded(attempt, result, cache_status, load_report, answer, pipe)
        self._context.router.mailbox.force_put(message)

    def _load_report(self, load: dict[str, float] | None) -> tuple[float, ...]:
        """Return the configured fields of a load report; () if any is missing, because a missing field is not zero."""
        fields = self._context.settings.load_report_fields
        return tuple(load[f] for f in fields) if load and all(f in load for f in fields) else ()
