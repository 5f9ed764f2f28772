"""Structured log lines: an event's name and its fields, written by a thread that never holds up an answer."""

from __future__ import annotations

import contextlib
import logging
import queue
import sys
from collections.abc import Iterator
from logging.handlers import QueueHandler, QueueListener
from typing import Any, TextIO

from .options import LogOptions


@contextlib.contextmanager
def _hidden(name: str) -> Iterator[None]:
    """Guards the router's memory: structlog loads rich where it is installed, 6 MB that nothing here uses."""
    if name in sys.modules:
        yield
        return
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]


with _hidden("rich"):
    import structlog

MOST_WAITING = 1000  # lines; past that they are dropped, not kept

structlog.configure(
    processors=[
        structlog.stdlib.filter_by_level,
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="%Y-%m-%d %H:%M:%S.%f", utc=False),
        structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
    ],
    logger_factory=structlog.stdlib.LoggerFactory(),
    wrapper_class=structlog.stdlib.BoundLogger,
    cache_logger_on_first_use=True,
)
log: structlog.stdlib.BoundLogger = structlog.stdlib.get_logger("starlingthread")

_logfmt = structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], bool_as_flag=False)
_fields = structlog.processors.LogfmtRenderer(bool_as_flag=False)


def _text(logger: Any, method: str, event: Any) -> str:
    """Render a line for eyes: time, level, event, fields."""
    when, level, name = event.pop("timestamp", ""), event.pop("level", ""), event.pop("event", "")
    trace = event.pop("exception", "")
    line = f"{when} {level.upper()} {name} {_fields(logger, method, event)}".rstrip()
    return f"{line}\n{trace}" if trace else line


def _formatter(how: str) -> logging.Formatter:
    render: Any = {"logfmt": _logfmt, "json": structlog.processors.JSONRenderer(default=str), "text": _text}[how]
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.processors.TimeStamper(fmt="%Y-%m-%d %H:%M:%S.%f", utc=False),
        ],
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            render,
        ],
    )


class DroppingHandler(QueueHandler):
    """Hands log lines to the thread that writes them; when that one is stuck they are dropped, not kept."""

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave all rendering to the thread that writes."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Leave a line, or drop it."""
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(record)


class LogWriter:
    """Owns the thread that writes. Format and level may change while it runs."""

    def __init__(self, options: LogOptions, stream: TextIO = sys.stderr) -> None:
        lines: queue.Queue[object] = queue.Queue(MOST_WAITING)
        self._handler = logging.StreamHandler(stream)
        self._listener = QueueListener(lines, self._handler)
        self._own = logging.getLogger("starlingthread")
        for logger in (self._own, logging.getLogger("asyncio")):
            logger.handlers[:] = [DroppingHandler(lines)]
            logger.propagate = False
        self.apply_options(options)
        self._listener.start()

    def apply_options(self, options: LogOptions) -> None:
        """Change format and level, at once."""
        self._handler.setFormatter(_formatter(options.format))
        self._own.setLevel(options.level.upper())

    def stop(self) -> None:
        """Write what waits and end the thread."""
        self._listener.stop()
