"""The attempts of the router's requests: their start, their deadlines, their outcomes and their cancellation.

Each attempt has exactly one outcome, which only :meth:`Attempts.on_ended` records. Each request has at most one final
answer, which only :meth:`RequestTable.finish` gives.
"""

from __future__ import annotations

from collections.abc import Callable

from ..actions import Cancel, Send
from ..events import AttemptResult, Outcome
from .clock import Clock
from .core_load import CoreLoad
from .counters import Counters
from .deadlines import Deadlines
from .mailbox import Mailbox
from .messages import Attempt, AttemptEnded, Message, PendingRequest, Served
from .ports import CacheServers
from .request_table import RequestTable


class Attempts:
    """Starts attempts at the cache servers and reports one outcome of each to the decision module."""

    def __init__(
        self,
        table: RequestTable,
        core_load: CoreLoad,
        mailbox: Mailbox[Message],
        clock: Clock,
        deadlines: Deadlines,
        counters: Counters,
        decide: Callable[[Outcome], None],
    ) -> None:
        """Create an empty set of attempts.

        ``decide`` passes an outcome to the decision module and executes the resulting actions.
        """
        self.fleet: CacheServers
        # The attempts of each request, by request id and in order of their numbers.
        self.by_request = table.attempts
        self._table = table
        self._core_load = core_load
        self._mailbox = mailbox
        self._clock = clock
        self._deadlines = deadlines
        self._counters = counters
        self._decide = decide

    def start(self, action: Send, max_attempts: int) -> None:
        """Start an attempt; it ends as not sent if its request has ended or has no attempts left."""
        request = self._table.requests.get(action.id)
        if request is None:
            self._counters.increment("attempts.unknown_request")
            return
        attempt = self._add(request, action)
        if request.finished or request.cancelled or request.attempts_started > max_attempts:
            self._mailbox.force_put(AttemptEnded(attempt, AttemptResult.NOT_SENT))
            return
        if not request.requester.may_start_attempt():
            self._counters.increment("attempts.requester_unseen")
            self._mailbox.force_put(AttemptEnded(attempt, AttemptResult.NOT_SENT))
            return
        self._counters.increment("attempts.started")
        self._set_deadline(attempt, attempt.deadline)
        self.fleet.start(attempt)

    def _add(self, request: PendingRequest, action: Send) -> Attempt:
        now = self._clock.now()
        deadline = min(now + action.timeout, request.deadline) if action.timeout else request.deadline
        idle_time = self._core_load.idle_time()
        attempt = Attempt(
            request, request.attempts_started, action.server, now, idle_time, deadline, action.write_deadline
        )
        self.by_request[request.id].append(attempt)
        request.attempts_started += 1
        request.attempts_in_flight += 1
        return attempt

    def on_body_received(self, request: PendingRequest, now: float) -> None:
        """Restart the deadlines of a request's pending attempts once the last byte of its value has been received."""
        for attempt in self.by_request.get(request.id, ()):
            if attempt.pending:
                attempt.sent_at = now
                attempt.idle_time_at_start = self._core_load.idle_time()
                self._set_deadline(attempt, request.deadline)

    def time_out(self, request: PendingRequest) -> None:
        """Time out a request's pending attempts at its deadline, whatever is still received of its value."""
        for attempt in self.by_request.get(request.id, ()):
            if attempt.pending:
                self._set_deadline(attempt, request.deadline)

    def _set_deadline(self, attempt: Attempt, deadline: float) -> None:
        self._deadlines.clear(attempt.timeout_timer)
        attempt.deadline = deadline
        attempt.timeout_timer = self._deadlines.set(deadline, lambda: self._on_timeout(attempt))

    def _on_timeout(self, attempt: Attempt) -> None:
        if attempt.request.is_receiving and attempt.request.deadline > attempt.deadline:
            self._set_deadline(attempt, attempt.request.deadline)
            return
        self.on_ended(AttemptEnded(attempt, AttemptResult.TIMEOUT), abandon=True)

    def on_ended(self, message: AttemptEnded, abandon: bool = False) -> None:
        """Record the outcome of an attempt and discard any later one; ``abandon`` also stops the attempt."""
        attempt = message.attempt
        if not attempt.pending:
            self._discard_late_outcome(message)
            return
        attempt.pending = False
        self._deadlines.clear(attempt.timeout_timer)
        if abandon:
            self.fleet.abandon(attempt)
        self._counters.increment(f"attempts.{message.result.name.lower()}")
        request = attempt.request
        request.attempts_in_flight -= 1
        if message.result == AttemptResult.OK:
            if message.pipe is not None and request.finished:
                message.pipe.abandon()
            self._table.finish(request, Served(message.payload, message.pipe))
        self._decide(self._outcome(message))
        self._table.remove_if_done(request)

    def _discard_late_outcome(self, message: AttemptEnded) -> None:
        self._counters.increment("attempts.late_outcomes")
        if message.pipe is not None:
            message.pipe.abandon()

    def _outcome(self, message: AttemptEnded) -> Outcome:
        attempt = message.attempt
        elapsed = self._clock.now() - attempt.sent_at
        return Outcome(
            attempt.request.id,
            attempt.number,
            attempt.server,
            message.result,
            elapsed,
            attempt.request.finished,
            message.cache_status,
            message.load_report,
            self._core_load.own_delay(elapsed, attempt.idle_time_at_start),
        )

    def cancel(self, action: Cancel) -> None:
        """Cancel an attempt at once; its outcome follows as a message. An attempt that has ended is ignored."""
        attempts = self.by_request.get(action.id, [])
        if action.attempt >= len(attempts):
            return
        attempt = attempts[action.attempt]
        if attempt.pending:
            self.fleet.abandon(attempt)
            self._mailbox.force_put(AttemptEnded(attempt, AttemptResult.CANCELLED))
