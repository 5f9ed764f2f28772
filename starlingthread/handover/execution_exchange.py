"""Exchanges between the processes of an upgrade which requests may have been executed, while both serve clients.

A request that must not run twice may reach one process and come again at the other. Each process sends what it knows
once, and then each change as it happens, over the channel of the handover.
"""

from __future__ import annotations

import asyncio

import msgspec

from ..core.clock import Clock
from ..logs import log
from ..state.executions import PAST_EXECUTION, ExecutionHistory, PossibleExecution
from .channel import ExecutionRecord, HandoverStatus

# Records in one line, which keeps it below the limit of a line.
MAX_RECORDS_PER_LINE = 40
# A process that does not read, as it hangs, gets no more records once this much waits for it.
MAX_UNSENT_BYTES = 8 << 20


class ExecutionExchange:
    """The observer of this process's history, which passes its changes on and applies those of other processes."""

    def __init__(self, history: ExecutionHistory, clock: Clock) -> None:
        self._history = history
        self._clock = clock
        self._channels: set[asyncio.StreamWriter] = set()
        self._executed: list[ExecutionRecord] = []
        self._disproved: list[ExecutionRecord] = []
        self._is_flush_scheduled = False
        history.observer = self

    def attach(self, channel: asyncio.StreamWriter) -> None:
        """Send all that is known on a channel, and each change from now on."""
        self._flush()
        records = [self._record(identity, execution) for identity, execution in self._history.snapshot()]
        self._send((channel,), records, [])
        channel.write(msgspec.json.encode(HandoverStatus(executions_complete=True)) + b"\n")
        self._channels.add(channel)

    def detach(self, channel: asyncio.StreamWriter) -> None:
        """Send no more on a channel."""
        self._channels.discard(channel)

    def apply(self, status: HandoverStatus, source: asyncio.StreamWriter | None) -> None:
        """Apply the changes of another process, and pass them on to all but their source."""
        for record in status.executed:
            self._history.merge(record.identity, record.server, self._sent_at(record))
        for record in status.disproved:
            self._history.merge_disproved(record.identity, record.server, self._sent_at(record))
        if status.executed or status.disproved:
            self._send(tuple(self._channels - {source}), status.executed, status.disproved)

    def on_execution(self, identity: int, execution: PossibleExecution) -> None:
        """Send that a request may have been executed."""
        if self._channels:
            self._executed.append(self._record(identity, execution))
            self._schedule_flush()

    def on_execution_disproved(self, identity: int, execution: PossibleExecution) -> None:
        """Send that an attempt was never executed."""
        if self._channels:
            self._flush()  # the record of the attempt precedes it
            self._disproved.append(self._record(identity, execution))
            self._schedule_flush()

    def _record(self, identity: int, execution: PossibleExecution) -> ExecutionRecord:
        if execution == PAST_EXECUTION:
            return ExecutionRecord(identity, execution.server, None)
        # The clocks of two processes differ by a constant; the event loop's time is that of the system.
        return ExecutionRecord(identity, execution.server, self._clock.to_loop_time(execution.sent_at))

    def _sent_at(self, record: ExecutionRecord) -> float:
        return PAST_EXECUTION.sent_at if record.sent_at_s is None else self._clock.from_loop_time(record.sent_at_s)

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        executed, self._executed = self._executed, []
        disproved, self._disproved = self._disproved, []
        self._send(tuple(self._channels), executed, disproved)

    def _send(
        self,
        channels: tuple[asyncio.StreamWriter, ...],
        executed: list[ExecutionRecord],
        disproved: list[ExecutionRecord],
    ) -> None:
        lines = [HandoverStatus(executed=batch) for batch in _batches(executed)]
        lines += [HandoverStatus(disproved=batch) for batch in _batches(disproved)]
        data = b"".join(msgspec.json.encode(line) + b"\n" for line in lines)
        for channel in channels if data else ():
            if channel.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                log.warning("handover-executions-dropped", reason="the other process does not read")
                self.detach(channel)
            else:
                channel.write(data)


def _batches(records: list[ExecutionRecord]) -> list[list[ExecutionRecord]]:
    return [records[start : start + MAX_RECORDS_PER_LINE] for start in range(0, len(records), MAX_RECORDS_PER_LINE)]
