"""Operations of clients: each is attempted once and, if its request class allows, retried with backoff."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

from ..experiment.randomness import UniformDraws
from ..experiment.records import ClientAttempt, Ledger, Operation
from ..experiment.scenario import CLIENT_DESCRIPTOR_SHARE, RequestClass, Scenario
from .connection import CONNECT_TIMEOUT_S, Answer, ClientConnection, ConnectionPool
from .frontend import NO_ROUTER, FrontendBalancer
from .requests import MAX_QUOTED_BYTES, encode_request, record_answer, request_id
from .tasks import TaskSet

LISTEN_PAST_DEADLINE_MS = 150.0  # clients listen this long after the deadline, so that late answers are recorded
MIN_BUDGET_MS = 10.0  # no attempt is started if less than this is left before the deadline
MIN_SEND_BUDGET_MS = 1.0  # no request is sent if less than this is left when its connection is open
NO_OPERATION = -1


def now_ms() -> float:
    """Return the machine's monotonic time in ms."""
    return time.monotonic() * 1000.0


class PendingOperation:
    """An operation that has not ended, with the state of its attempts."""

    __slots__ = ("attempts", "connection", "is_resent", "key", "record", "request_class", "timer")

    def __init__(self, record: Operation, request_class: RequestClass, key: int) -> None:
        self.record = record
        self.request_class = request_class
        self.key = key
        self.attempts: list[ClientAttempt] = []
        self.connection: ClientConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_resent = False  # whether the last attempt was sent a second time, on a new connection

    def may_retry(self, outcome: str) -> bool:
        """Return whether a retry is safe: the operation is repeatable, was not executed, or is deduplicated by key."""
        if self.request_class.effect == "repeatable" or outcome in ("busy", "refused"):
            return True
        is_within_window = now_ms() - self.attempts[0].sent_at < self.request_class.idempotency_window_ms
        return self.request_class.effect == "by_key" and is_within_window


class WaitingAttempt:
    """An attempt that waits for a connection."""

    __slots__ = ("attempt", "operation", "timer")

    def __init__(self, operation: PendingOperation, attempt: ClientAttempt) -> None:
        self.operation = operation
        self.attempt = attempt
        self.timer: asyncio.TimerHandle | None = None


def _max_connections(scenario: Scenario) -> int:
    """Return the limit of connections from the clients of one process to one router."""
    limit = scenario.traffic.max_connections or int(scenario.routers.sockets * CLIENT_DESCRIPTOR_SHARE)
    return max(1, limit // scenario.machine.load_processes)


class OperationRunner:
    """Executes operations on connections to the routers."""

    def __init__(
        self,
        scenario: Scenario,
        addresses: list[tuple[str, int]],
        frontend: FrontendBalancer,
        random_draws: UniformDraws,
        ledger: Ledger,
        on_ended: Callable[[], None],
    ) -> None:
        self.pool = ConnectionPool(addresses, self, _max_connections(scenario))
        self._waiting: list[deque[WaitingAttempt]] = [deque() for _ in addresses]
        # Share of requests whose client disconnects before the answer.
        self.disconnect_share = scenario.traffic.abandon_share
        self.out_of_connections_count = 0  # attempts that failed because the connection pool was full
        self._seed = scenario.seed
        self._traffic = scenario.traffic
        self._write_value = b"s" * scenario.traffic.write_bytes
        self._frontend = frontend
        self._random_draws = random_draws
        self._ledger = ledger
        self._on_ended = on_ended
        self._in_flight: dict[ClientConnection, PendingOperation] = {}
        self._tasks = TaskSet()
        self._loop = asyncio.get_running_loop()

    def start(self, operation: PendingOperation) -> None:
        """Start an operation with its first attempt."""
        self._start_attempt(operation, NO_ROUTER)

    def stop(self) -> None:
        """Cancel the connections that are being opened and close the idle ones."""
        self._tasks.cancel()
        self.pool.close_idle()

    # sending

    def _start_attempt(self, operation: PendingOperation, last_router: int) -> None:
        """Send the next attempt, to another router than the last; end the operation if too little time is left."""
        now = now_ms()
        record = operation.record
        remaining_ms = record.due_at + operation.request_class.deadline_ms - now
        router = self._frontend.next_router(last_router)
        if remaining_ms < MIN_BUDGET_MS or router == NO_ROUTER:
            self._end_operation(operation)
            return
        retry_index = len(operation.attempts)
        reserves_retry_time = retry_index < self._traffic.retries and operation.request_class.effect != "once"
        budget_ms = remaining_ms * self._traffic.attempt_time_share if reserves_retry_time else remaining_ms
        attempt = ClientAttempt(
            request_id(record.number, retry_index, self._seed),
            record.number,
            record.class_index,
            operation.key,
            router,
            now,
            budget_ms,
            retry_index,
        )
        operation.attempts.append(attempt)
        operation.is_resent = False
        self._ledger.attempts.append(attempt)
        self._send(operation, attempt)

    def _send(self, operation: PendingOperation, attempt: ClientAttempt) -> None:
        connection = self.pool.take(attempt.router)
        if connection is not None:
            self._write(connection, operation, attempt)
        elif self.pool.is_full:
            self.out_of_connections_count += 1
            self._finish_attempt(operation, attempt, "refused")
        elif self.pool.may_connect(attempt.router):
            self._tasks.start(self._connect_and_write(operation, attempt))
        else:
            self._wait_for_connection(operation, attempt)

    def _wait_for_connection(self, operation: PendingOperation, attempt: ClientAttempt) -> None:
        """Queue an attempt until a connection is released, for at most the connect time-out."""
        delay_s = min(CONNECT_TIMEOUT_S, (attempt.sent_at + attempt.budget_ms - now_ms()) / 1000.0)
        waiting = WaitingAttempt(operation, attempt)
        waiting.timer = self._loop.call_later(max(0.0, delay_s), self._on_wait_timeout, waiting)
        self._waiting[attempt.router].append(waiting)

    def _on_wait_timeout(self, waiting: WaitingAttempt) -> None:
        self._waiting[waiting.attempt.router].remove(waiting)
        self._finish_attempt(waiting.operation, waiting.attempt, "refused")

    def _send_waiting_attempts(self, router: int) -> None:
        """Send queued attempts, the longest waiting first, while there are connections for them.

        An attempt that has expired leaves its connection idle, for the next attempt in the queue.
        """
        queue = self._waiting[router]
        while queue and (self.pool.has_idle(router) or self.pool.may_connect(router)):
            waiting = queue.popleft()
            if waiting.timer is not None:
                waiting.timer.cancel()
            self._send(waiting.operation, waiting.attempt)
            if not self.pool.has_idle(router):
                return  # a connection being opened is only counted in the next iteration of the event loop

    async def _connect_and_write(self, operation: PendingOperation, attempt: ClientAttempt) -> None:
        connection = await self.pool.connect(attempt.router)
        if connection is None or connection.is_closed:
            self._loop.call_soon(self._send_waiting_attempts, attempt.router)
            # If the request was sent before, the router ended with it in flight and may have executed it.
            self._finish_attempt(operation, attempt, "eof" if operation.is_resent else "refused")
        elif not self._write(connection, operation, attempt):
            self._send_waiting_attempts(attempt.router)

    def _write(self, connection: ClientConnection, operation: PendingOperation, attempt: ClientAttempt) -> bool:
        """Send an attempt and return True; if it has expired, release the connection and return False."""
        now = now_ms()
        remaining_ms = attempt.sent_at + attempt.budget_ms - now
        if remaining_ms < MIN_SEND_BUDGET_MS:
            self.pool.release(connection)
            self._finish_attempt(operation, attempt, "refused")
            return False
        budget_ms = int(remaining_ms)
        request = encode_request(
            operation.request_class, operation.record, operation.key, attempt, budget_ms, self._write_value
        )
        operation.connection = connection
        self._in_flight[connection] = operation
        connection.send(request)
        attempt.sent_at = now
        attempt.budget_ms = float(budget_ms)
        self._start_timer(operation, attempt)
        return True

    def _start_timer(self, operation: PendingOperation, attempt: ClientAttempt) -> None:
        """Limit how long the client listens: until shortly after the deadline, or until an early disconnect."""
        listen_ms = attempt.budget_ms + LISTEN_PAST_DEADLINE_MS
        outcome = "none"
        if self.disconnect_share > 0 and self._random_draws.next() < self.disconnect_share:
            listen_ms = self._random_draws.next() * min(operation.request_class.latency_objective_ms, attempt.budget_ms)
            outcome = "left"
        operation.timer = self._loop.call_later(listen_ms / 1000.0, self._stop_listening, operation, attempt, outcome)

    def _release(self, connection: ClientConnection) -> None:
        self.pool.release(connection)
        self._send_waiting_attempts(connection.router)

    # events of connections

    def on_answer(self, connection: ClientConnection, answer: Answer) -> None:
        """Record the answer to the request in flight."""
        operation = self._take_in_flight(connection)
        attempt = operation.attempts[-1]
        attempt.answered_at = now_ms()
        record_answer(attempt, answer)
        if answer.trailing_data:
            connection.abort()
        elif not connection.is_closed:
            self._release(connection)
        self._finish_attempt(operation, attempt, attempt.outcome)

    def on_unsolicited(self, connection: ClientConnection, data: bytes) -> None:
        """Record bytes received while no request was in flight."""
        now = now_ms()
        attempt = ClientAttempt("", NO_OPERATION, 0, 0, connection.router, now, 0.0, outcome="other", answered_at=now)
        attempt.protocol_error = f"unasked: {data[:MAX_QUOTED_BYTES]!r}"
        self._ledger.attempts.append(attempt)
        connection.abort()

    def on_closed(self, connection: ClientConnection) -> None:
        """Resend the request in flight once if no answer has begun; otherwise record the end of its connection."""
        self.pool.on_closed(connection)
        if connection not in self._in_flight:
            self._send_waiting_attempts(connection.router)
            return
        operation = self._take_in_flight(connection)
        attempt = operation.attempts[-1]
        if connection.has_partial_answer:
            attempt.protocol_error = "stopped in the middle of an answer"
            self._finish_attempt(operation, attempt, "eof")
            self._send_waiting_attempts(connection.router)
        elif operation.is_resent:
            self._finish_attempt(operation, attempt, "eof")
            self._send_waiting_attempts(connection.router)
        else:
            # The router closed the idle connection while the request was on its way. As the router did not read
            # the request, it is sent once more on a new connection.
            operation.is_resent = True
            self._tasks.start(self._connect_and_write(operation, attempt))

    def _stop_listening(self, operation: PendingOperation, attempt: ClientAttempt, outcome: str) -> None:
        """Close the connection of an attempt whose client stops listening, and record the outcome."""
        connection = operation.connection
        operation.connection = None
        if connection is not None:
            del self._in_flight[connection]
            connection.abort()
        self._finish_attempt(operation, attempt, outcome)

    def _take_in_flight(self, connection: ClientConnection) -> PendingOperation:
        """Remove and return the operation in flight on a connection, and cancel its timer."""
        operation = self._in_flight.pop(connection)
        operation.connection = None
        if operation.timer is not None:
            operation.timer.cancel()
        return operation

    # outcomes

    def _finish_attempt(self, operation: PendingOperation, attempt: ClientAttempt, outcome: str) -> None:
        """Record an attempt's outcome; then retry if the request class allows it, or end the operation."""
        attempt.outcome = outcome
        record = operation.record
        record.attempts = len(operation.attempts)
        if outcome in ("value", "receipt"):
            record.result = "served"
            record.done_at = attempt.answered_at
        elif outcome == "left":
            record.result = "left"
        else:
            record.result = "refused" if outcome == "busy" else "failed"
            if operation.may_retry(outcome) and len(operation.attempts) <= self._traffic.retries:
                backoff_ms = self._backoff_ms(operation, attempt)
                self._loop.call_later(backoff_ms / 1000.0, self._start_attempt, operation, attempt.router)
                return
        self._end_operation(operation)

    def _backoff_ms(self, operation: PendingOperation, attempt: ClientAttempt) -> float:
        """Return the exponential backoff with jitter, or a longer Retry-After if the client honours it."""
        jitter = 0.5 + self._random_draws.next()
        backoff_ms = self._traffic.backoff_ms * 2.0 ** (len(operation.attempts) - 1) * jitter
        if attempt.retry_after_ms and self._random_draws.next() < self._traffic.retry_after_share:
            return max(backoff_ms, attempt.retry_after_ms)
        return backoff_ms

    def _end_operation(self, operation: PendingOperation) -> None:
        record = operation.record
        if record.result == "none":
            record.result = "failed"
        record.done_at = record.done_at or now_ms()
        self._on_ended()
