"""Operations of clients: each is attempted once and, where its class allows, retried with backoff."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

from ..experiment.randomness import UniformDraws
from ..experiment.records import ClientAttempt, Ledger, Operation
from ..experiment.scenario import CLIENT_DESCRIPTOR_SHARE, RequestClass, Scenario
from .connection import CONNECT_TIMEOUT_S, Answer, ClientConnection, ConnectionPool
from .front import NO_ROUTER, Front
from .requests import MAX_QUOTED, encode_request, record_answer, request_id
from .tasks import TaskSet

LISTEN_PAST_DEADLINE_MS = 150.0  # for which a client still listens, so that a late answer is seen
MIN_BUDGET_MS = 10.0  # with less left a client does not retry
MIN_SEND_BUDGET_MS = 1.0  # with less left when the connection is open, nothing is sent
NO_OPERATION = -1


def now_ms() -> float:
    """Return the machine's monotonic time in ms."""
    return time.monotonic() * 1000.0


class PendingOperation:
    """An operation that has not ended, with the state of its attempts."""

    __slots__ = ("attempts", "connection", "is_resent", "key", "record", "spec", "timer")

    def __init__(self, record: Operation, spec: RequestClass, key: int) -> None:
        self.record = record
        self.spec = spec
        self.key = key
        self.attempts: list[ClientAttempt] = []
        self.connection: ClientConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_resent = False  # the last attempt, once more on a new connection

    def may_retry(self, outcome: str) -> bool:
        """Return whether a retry after an attempt's outcome can do no harm."""
        if self.spec.effect == "repeatable" or outcome in ("busy", "refused"):
            return True
        is_key_remembered = now_ms() - self.attempts[0].sent_at < self.spec.idempotency_window_ms
        return self.spec.effect == "by_key" and is_key_remembered


class WaitingAttempt:
    """An attempt that waits for a connection."""

    __slots__ = ("attempt", "operation", "timer")

    def __init__(self, operation: PendingOperation, attempt: ClientAttempt) -> None:
        self.operation = operation
        self.attempt = attempt
        self.timer: asyncio.TimerHandle | None = None


def _max_connections(scenario: Scenario) -> int:
    """Return how many connections the clients of one process may have to one router."""
    limit = scenario.traffic.max_connections or int(scenario.routers.sockets * CLIENT_DESCRIPTOR_SHARE)
    return max(1, limit // scenario.machine.load_processes)


class OperationRunner:
    """Carries out operations on connections to the routers."""

    def __init__(
        self,
        scenario: Scenario,
        addresses: list[tuple[str, int]],
        front: Front,
        chances: UniformDraws,
        ledger: Ledger,
        on_ended: Callable[[], None],
    ) -> None:
        self.pool = ConnectionPool(addresses, self, _max_connections(scenario))
        self._waiting: list[deque[WaitingAttempt]] = [deque() for _ in addresses]
        self.leave_share = scenario.traffic.abandon_share  # share of requests whose client leaves before the answer
        self.exhausted_count = 0  # attempts for which no connection could be opened any more
        self._seed = scenario.seed
        self._traffic = scenario.traffic
        self._value = b"s" * scenario.traffic.write_bytes
        self._front = front
        self._chances = chances
        self._ledger = ledger
        self._on_ended = on_ended
        self._in_flight: dict[ClientConnection, PendingOperation] = {}
        self._tasks = TaskSet()
        self._loop = asyncio.get_running_loop()

    def start(self, operation: PendingOperation) -> None:
        """Begin an operation with its first attempt."""
        self._attempt(operation, NO_ROUTER)

    def stop(self) -> None:
        """Give up what is being opened and close the idle connections."""
        self._tasks.cancel()
        self.pool.close_idle()

    # sending

    def _attempt(self, operation: PendingOperation, last_router: int) -> None:
        """Send the next attempt to another router than the last one, or end the operation if its time is over."""
        now = now_ms()
        record = operation.record
        remaining = record.due_at + operation.spec.deadline_ms - now
        router = self._front.next_router(last_router)
        if remaining < MIN_BUDGET_MS or router == NO_ROUTER:
            self._end(operation)
            return
        retry_index = len(operation.attempts)
        keeps_reserve = retry_index < self._traffic.retries and operation.spec.effect != "once"
        budget = remaining * self._traffic.attempt_time_share if keeps_reserve else remaining
        attempt = ClientAttempt(
            request_id(record.number, retry_index, self._seed),
            record.number,
            record.class_index,
            operation.key,
            router,
            now,
            budget,
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
            self.exhausted_count += 1
            self._finish_attempt(operation, attempt, "refused")
        elif self.pool.may_connect(attempt.router):
            self._tasks.start(self._connect_and_write(operation, attempt))
        else:
            self._wait_for_connection(operation, attempt)

    def _wait_for_connection(self, operation: PendingOperation, attempt: ClientAttempt) -> None:
        """Queue an attempt until another one gives a connection back, for no longer than for one to open."""
        delay = min(CONNECT_TIMEOUT_S, (attempt.sent_at + attempt.budget_ms - now_ms()) / 1000.0)
        waiting = WaitingAttempt(operation, attempt)
        waiting.timer = self._loop.call_later(max(0.0, delay), self._stop_waiting, waiting)
        self._waiting[attempt.router].append(waiting)

    def _stop_waiting(self, waiting: WaitingAttempt) -> None:
        self._waiting[waiting.attempt.router].remove(waiting)
        self._finish_attempt(waiting.operation, waiting.attempt, "refused")

    def _continue_waiting(self, router: int) -> None:
        """Send the attempts that have waited longest for a connection, as far as there are some.

        One whose time is over leaves its connection idle, for the next one in the queue.
        """
        queue = self._waiting[router]
        while queue and (self.pool.has_idle(router) or self.pool.may_connect(router)):
            waiting = queue.popleft()
            if waiting.timer is not None:
                waiting.timer.cancel()
            self._send(waiting.operation, waiting.attempt)
            if not self.pool.has_idle(router):
                return  # a connection that is being opened counts as open a turn later only

    async def _connect_and_write(self, operation: PendingOperation, attempt: ClientAttempt) -> None:
        connection = await self.pool.connect(attempt.router)
        if connection is None or connection.is_closed:
            self._loop.call_soon(self._continue_waiting, attempt.router)
            # Sent once before: then the router died with it, and it may have run.
            self._finish_attempt(operation, attempt, "eof" if operation.is_resent else "refused")
        elif not self._write(connection, operation, attempt):
            self._continue_waiting(attempt.router)

    def _write(self, connection: ClientConnection, operation: PendingOperation, attempt: ClientAttempt) -> bool:
        """Send an attempt and return True; if its time is over, put the connection back and return False."""
        now = now_ms()
        remaining = attempt.sent_at + attempt.budget_ms - now
        if remaining < MIN_SEND_BUDGET_MS:
            self.pool.release(connection)
            self._finish_attempt(operation, attempt, "refused")
            return False
        budget = int(remaining)
        request = encode_request(operation.spec, operation.record, operation.key, attempt, budget, self._value)
        operation.connection = connection
        self._in_flight[connection] = operation
        connection.send(request)
        attempt.sent_at = now
        attempt.budget_ms = float(budget)
        self._start_timer(operation, attempt)
        return True

    def _start_timer(self, operation: PendingOperation, attempt: ClientAttempt) -> None:
        """Limit how long the client listens: until the deadline and a bit longer, or until it leaves early."""
        listen_ms = attempt.budget_ms + LISTEN_PAST_DEADLINE_MS
        outcome = "none"
        if self.leave_share > 0 and self._chances.next() < self.leave_share:
            listen_ms = self._chances.next() * min(operation.spec.latency_objective_ms, attempt.budget_ms)
            outcome = "left"
        operation.timer = self._loop.call_later(listen_ms / 1000.0, self._give_up, operation, attempt, outcome)

    def _release(self, connection: ClientConnection) -> None:
        self.pool.release(connection)
        self._continue_waiting(connection.router)

    # events of connections

    def on_answer(self, connection: ClientConnection, answer: Answer) -> None:
        """Record the answer to the request in flight."""
        operation = self._take_in_flight(connection)
        attempt = operation.attempts[-1]
        attempt.answered_at = now_ms()
        record_answer(attempt, answer)
        if answer.surplus:
            connection.abort()
        elif not connection.is_closed:
            self._release(connection)
        self._finish_attempt(operation, attempt, attempt.outcome)

    def on_unsolicited(self, connection: ClientConnection, data: bytes) -> None:
        """Record bytes that came where nothing was asked."""
        now = now_ms()
        attempt = ClientAttempt("", NO_OPERATION, 0, 0, connection.router, now, 0.0, outcome="other", answered_at=now)
        attempt.protocol_error = f"unasked: {data[:MAX_QUOTED]!r}"
        self._ledger.attempts.append(attempt)
        connection.abort()

    def on_closed(self, connection: ClientConnection) -> None:
        """Resend a request that crossed the router's close, else record the end of its connection."""
        self.pool.on_closed(connection)
        if connection not in self._in_flight:
            self._continue_waiting(connection.router)
            return
        operation = self._take_in_flight(connection)
        attempt = operation.attempts[-1]
        if connection.has_partial_answer:
            attempt.protocol_error = "stopped in the middle of an answer"
            self._finish_attempt(operation, attempt, "eof")
            self._continue_waiting(connection.router)
        elif operation.is_resent:
            self._finish_attempt(operation, attempt, "eof")
            self._continue_waiting(connection.router)
        else:
            # Our request crossed its close between requests: as nobody read it, it is sent once more, on a new one.
            operation.is_resent = True
            self._tasks.start(self._connect_and_write(operation, attempt))

    def _give_up(self, operation: PendingOperation, attempt: ClientAttempt, outcome: str) -> None:
        """Close the connection of an attempt whose client listens no longer."""
        connection = operation.connection
        operation.connection = None
        if connection is not None:
            del self._in_flight[connection]
            connection.abort()
        self._finish_attempt(operation, attempt, outcome)

    def _take_in_flight(self, connection: ClientConnection) -> PendingOperation:
        """Return the operation in flight on a connection, which waits for nothing any more."""
        operation = self._in_flight.pop(connection)
        operation.connection = None
        if operation.timer is not None:
            operation.timer.cancel()
        return operation

    # outcomes

    def _finish_attempt(self, operation: PendingOperation, attempt: ClientAttempt, outcome: str) -> None:
        """Record an attempt's outcome; then retry, if its class allows it, or end the operation."""
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
                delay = self._backoff_ms(operation, attempt)
                self._loop.call_later(delay / 1000.0, self._attempt, operation, attempt.router)
                return
        self._end(operation)

    def _backoff_ms(self, operation: PendingOperation, attempt: ClientAttempt) -> float:
        """Return the exponential backoff with jitter, or the router's Retry-After where the client honours it."""
        jitter = 0.5 + self._chances.next()
        backoff = self._traffic.backoff_ms * 2.0 ** (len(operation.attempts) - 1) * jitter
        if attempt.retry_after_ms and self._chances.next() < self._traffic.retry_after_share:
            return max(backoff, attempt.retry_after_ms)
        return backoff

    def _end(self, operation: PendingOperation) -> None:
        record = operation.record
        if record.result == "none":
            record.result = "failed"
        record.done_at = record.done_at or now_ms()
        self._on_ended()
