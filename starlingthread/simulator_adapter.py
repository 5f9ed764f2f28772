"""Hosts decision modules for the simulator: decodes its events, passes them on, and encodes the resulting actions.

Run as ``python -m starlingthread.simhost``; standard output carries only replies in the wire format.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from typing import BinaryIO

from .actions import Action
from .policy import Balancer
from .settings import Settings
from .settings_json import SettingsError, parse_settings
from .simulator_wire import (
    LENGTH_FIELD_BYTES,
    Batch,
    EventCode,
    Reply,
    WireError,
    decode_event,
    decode_header,
    decode_start,
)

BalancerFactory = Callable[[Settings, int], Balancer]


class SimulatorAdapter:
    """The instances of the decision module in this process, by their numbers; they share no state."""

    def __init__(self, factory: BalancerFactory = Balancer) -> None:
        self._factory = factory
        self.instances: dict[int, Balancer] = {}

    def answer(self, body: bytes) -> bytes:
        """Return the reply to one batch, given without its length field; raise WireError or SettingsError."""
        batch = Batch(body)
        reply = Reply()
        for offset in batch.offsets():
            self._process_record(batch, offset, reply)
        return reply.frame(batch.number)

    def _process_record(self, batch: Batch, offset: int, reply: Reply) -> None:
        code, instance = decode_header(batch, offset)
        if code == EventCode.STOP:
            self.instances.pop(instance, None)
        elif code == EventCode.START:
            start = decode_start(batch, offset)
            settings = parse_settings(start.settings)
            self._add_actions(instance, reply, lambda: self._start(instance, settings, start.seed, batch.now))
        else:
            event = decode_event(batch, offset)
            if instance not in self.instances:
                raise batch.error(f"instance {instance} was never started")
            balancer = self.instances[instance]
            self._add_actions(instance, reply, lambda: balancer.handle(batch.now, event))

    def _start(self, instance: int, settings: Settings, seed: int, now: float) -> list[Action]:
        self.instances[instance] = self._factory(settings, seed)
        return self.instances[instance].start(now)

    def _add_actions(self, instance: int, reply: Reply, decide: Callable[[], list[Action]]) -> None:
        """Add the actions of a decision to the reply; the wire format requires that any exception is reported."""
        try:
            for action in decide():
                reply.add(instance, action)
        except Exception as error:
            reply.add_exception(instance, f"{type(error).__name__}: {error}")


def _read(stream: BinaryIO, size: int) -> bytes:
    """Read size bytes; return fewer only at the end of the input."""
    data = stream.read(size)
    while data and len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(stdin: BinaryIO, stdout: BinaryIO, adapter: SimulatorAdapter) -> None:
    """Answer batches until the input ends; raise WireError or SettingsError if a batch is invalid."""
    while length := _read(stdin, LENGTH_FIELD_BYTES):
        if len(length) < LENGTH_FIELD_BYTES:
            raise WireError(f"the input ends inside a length field, after {len(length)} bytes")
        size = int.from_bytes(length, "little")
        body = _read(stdin, size)
        if len(body) < size:
            raise WireError(f"the input ends inside a batch: {len(body)} of {size} bytes")
        stdout.write(adapter.answer(body))
        stdout.flush()


def main() -> int:
    """Serve batches from standard input; return 0 at its end, or 1 after an error, with one line on standard error."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer, SimulatorAdapter())
    except (WireError, SettingsError) as error:
        print(f"starlingthread: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
