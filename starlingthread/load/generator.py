"""The load generator of one process: starts operations by an open-loop schedule or in a closed loop."""

from __future__ import annotations

import asyncio

import numpy as np

from ..experiment.randomness import UniformDraws, random_streams
from ..experiment.records import Ledger, Operation
from ..experiment.scenario import Scenario
from .bad_clients import BadClients
from .frontend import FrontendBalancer
from .greedy_clients import GreedyClients
from .idle_clients import IdleClients
from .operations import OperationRunner, PendingOperation, now_ms
from .traffic import Arrivals

SCHEDULE_POLL_PERIOD_S = 0.001  # interval between checks for operations that are due
GREEDY_SEED_OFFSET = 70_000  # keeps the draws of greedy clients apart from those of the traffic
CONNECT_BATCH_SIZE = 50  # number of connections opened concurrently before the run


class LoadGenerator:
    """The clients of one process.

    In the open loop an operation starts when it is due, whether or not earlier operations have ended. If
    ``traffic.in_flight`` is above 0, a closed loop keeps that number of operations in flight.
    """

    def __init__(
        self,
        scenario: Scenario,
        worker: int,
        arrivals: Arrivals,
        routers: list[tuple[str, int]],
        rng: np.random.Generator,
        ledger: Ledger,
    ) -> None:
        self.frontend = FrontendBalancer(len(routers), worker)
        random_draws = UniformDraws(rng)
        self.runner = OperationRunner(scenario, routers, self.frontend, random_draws, ledger, self._on_operation_ended)
        self.bad_clients = BadClients(self.frontend, self.runner.pool, random_draws)
        self.idle_clients = IdleClients(routers, random_draws)
        greedy_draws = UniformDraws(random_streams(scenario.seed + GREEDY_SEED_OFFSET, worker + 1)[worker])
        self.greedy_clients = GreedyClients(scenario, worker, routers, greedy_draws, ledger)
        self.done = asyncio.Event()
        self._scenario = scenario
        self._worker = worker
        self._processes = scenario.machine.load_processes
        share = slice(worker, None, self._processes)
        self._due_ms: list[float] = arrivals.due_ms[share].tolist()
        self._class_indexes: list[int] = arrivals.class_index[share].tolist()
        self._operation_keys: list[int] = arrivals.key[share].tolist()
        self._ledger = ledger
        self._loop = asyncio.get_running_loop()
        self._started_at_ms = 0.0
        self._started_count = 0
        self._in_flight = 0
        self._is_run_over = False

    async def open_initial_connections(self) -> None:
        """Open the connections that clients keep open, in batches."""
        routers = len(self.runner.pool.addresses)
        count = self._scenario.traffic.connections // self._processes
        for first in range(0, count, CONNECT_BATCH_SIZE):
            batch = range(first, min(first + CONNECT_BATCH_SIZE, count))
            for connection in await asyncio.gather(*(self.runner.pool.connect(number % routers) for number in batch)):
                if connection is not None:
                    self.runner.pool.release(connection)

    def begin(self, started_at_ms: float) -> None:
        """Start the schedule at a time of the monotonic clock, in ms."""
        self._started_at_ms = started_at_ms
        concurrency = self._scenario.traffic.in_flight
        if not concurrency:
            self._start_due_operations()
            return
        delay_s = max(0.0, (started_at_ms - now_ms()) / 1000.0)
        for _ in range(max(1, concurrency // self._processes)):
            self._loop.call_later(delay_s, self._start_next_operation)

    def stop(self) -> None:
        """Cancel the tasks in progress and close the connections."""
        self.runner.stop()
        self.bad_clients.stop()
        self.idle_clients.stop()
        self.greedy_clients.stop()

    @property
    def _is_exhausted(self) -> bool:
        return self._started_count >= len(self._due_ms)

    def _start_due_operations(self) -> None:
        """Start the operations that are due in the open loop, and schedule the next check."""
        now = now_ms()
        while not self._is_exhausted and self._started_at_ms + self._due_ms[self._started_count] <= now:
            self._start_operation(self._started_count, self._started_at_ms + self._due_ms[self._started_count], now)
        if not self._is_exhausted:
            self._loop.call_later(SCHEDULE_POLL_PERIOD_S, self._start_due_operations)
        elif not self._in_flight:
            self.done.set()

    def _start_next_operation(self) -> None:
        """Start the next operation of the closed loop, unless the run is over."""
        now = now_ms()
        if now >= self._started_at_ms + self._scenario.length_s * 1000.0 or self._is_run_over:
            self._is_run_over = True
            if not self._in_flight:
                self.done.set()
            return
        self._start_operation(self._started_count % len(self._due_ms), now, now)

    def _start_operation(self, arrival_index: int, due_at: float, now: float) -> None:
        number = self._started_count * self._processes + self._worker
        self._started_count += 1
        class_index = self._class_indexes[arrival_index]
        record = Operation(number, class_index, due_at, now - due_at)
        self._ledger.operations.append(record)
        self._in_flight += 1
        request_class = self._scenario.traffic.classes[class_index]
        self.runner.start(PendingOperation(record, request_class, self._operation_keys[arrival_index]))

    def _on_operation_ended(self) -> None:
        self._in_flight -= 1
        if self._scenario.traffic.in_flight:
            self._loop.call_soon(self._start_next_operation)
        elif self._is_exhausted and not self._in_flight:
            self.done.set()
