"""The load generator of one process: begins operations by an open-loop schedule, or in a closed loop."""

from __future__ import annotations

import asyncio

import numpy as np

from ..experiment.randomness import UniformDraws
from ..experiment.records import Ledger, Operation
from ..experiment.scenario import Scenario
from .bad_clients import BadClients
from .front import Front
from .idle_clients import IdleClients
from .operations import OperationRunner, PendingOperation, now_ms
from .traffic import Arrivals

TICK_S = 0.001  # between looks at what is due
CONNECT_BATCH = 50  # connections that are opened at once before the run


class LoadGenerator:
    """The clients of one process.

    In the open loop an operation begins when it is due, whatever became of those before it; with
    ``traffic.in_flight`` above 0 a closed loop keeps so many operations in flight.
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
        self.front = Front(len(routers), worker)
        chances = UniformDraws(rng)
        self.runner = OperationRunner(scenario, routers, self.front, chances, ledger, self._operation_ended)
        self.bad_clients = BadClients(self.front, self.runner.pool, chances)
        self.idle_clients = IdleClients(routers, chances)
        self.done = asyncio.Event()
        self._scenario = scenario
        self._worker = worker
        self._processes = scenario.machine.load_processes
        share = slice(worker, None, self._processes)
        self._due: list[float] = arrivals.due_ms[share].tolist()
        self._classes: list[int] = arrivals.class_index[share].tolist()
        self._keys: list[int] = arrivals.key[share].tolist()
        self._ledger = ledger
        self._loop = asyncio.get_running_loop()
        self._started_at = 0.0
        self._begun = 0
        self._in_flight = 0
        self._is_over = False

    async def connect_ahead(self) -> None:
        """Open the connections that clients keep, a few at a time."""
        routers = len(self.runner.pool.addresses)
        count = self._scenario.traffic.connections // self._processes
        for first in range(0, count, CONNECT_BATCH):
            batch = range(first, min(first + CONNECT_BATCH, count))
            for connection in await asyncio.gather(*(self.runner.pool.connect(n % routers) for n in batch)):
                if connection is not None:
                    self.runner.pool.release(connection)

    def begin(self, started_at: float) -> None:
        """Start the schedule at a time of the monotonic clock (ms)."""
        self._started_at = started_at
        concurrency = self._scenario.traffic.in_flight
        if not concurrency:
            self._begin_due()
            return
        delay = max(0.0, (started_at - now_ms()) / 1000.0)
        for _ in range(max(1, concurrency // self._processes)):
            self._loop.call_later(delay, self._begin_next)

    def stop(self) -> None:
        """Cancel what is in progress and close the connections."""
        self.runner.stop()
        self.bad_clients.stop()
        self.idle_clients.stop()

    @property
    def _is_exhausted(self) -> bool:
        return self._begun >= len(self._due)

    def _begin_due(self) -> None:
        """In the open loop: begin what is due, and look again a tick later."""
        now = now_ms()
        while not self._is_exhausted and self._started_at + self._due[self._begun] <= now:
            self._begin_operation(self._begun, self._started_at + self._due[self._begun], now)
        if not self._is_exhausted:
            self._loop.call_later(TICK_S, self._begin_due)
        elif not self._in_flight:
            self.done.set()

    def _begin_next(self) -> None:
        """In the closed loop: begin the next operation, unless the run is over."""
        now = now_ms()
        if now >= self._started_at + self._scenario.length_s * 1000.0 or self._is_over:
            self._is_over = True
            if not self._in_flight:
                self.done.set()
            return
        self._begin_operation(self._begun % len(self._due), now, now)

    def _begin_operation(self, arrival: int, due_at: float, now: float) -> None:
        number = self._begun * self._processes + self._worker
        self._begun += 1
        class_index = self._classes[arrival]
        record = Operation(number, class_index, due_at, now - due_at)
        self._ledger.operations.append(record)
        self._in_flight += 1
        spec = self._scenario.traffic.classes[class_index]
        self.runner.start(PendingOperation(record, spec, self._keys[arrival]))

    def _operation_ended(self) -> None:
        self._in_flight -= 1
        if self._scenario.traffic.in_flight:
            self._loop.call_soon(self._begin_next)
        elif self._is_exhausted and not self._in_flight:
            self.done.set()
