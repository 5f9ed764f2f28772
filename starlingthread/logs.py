"""Structured log lines: an event's name and its fields, written by a thread so that no answer waits for the output."""

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
def _import_blocked(name: str) -> Iterator[None]:
    """Make the import of a module fail, unless it is loaded already."""
    if name in sys.modules:
        yield
        return
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]


# structlog loads rich where it is installed: 6 MB of the router's memory that nothing here uses.
with _import_blocked("rich"):
    import structlog

LOGGER_NAME = "starlingthread"
MAX_QUEUED_LINES = 1000  # lines; further ones are dropped
TIME_FORMAT = "%Y-%m-%d %H:%M:%S.%f"

structlog.configure(
    processors=[
        structlog.stdlib.filter_by_level,
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt=TIME_FORMAT, utc=False),
        structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
    ],
    logger_factory=structlog.stdlib.LoggerFactory(),
    wrapper_class=structlog.stdlib.BoundLogger,
    cache_logger_on_first_use=True,
)
log: structlog.stdlib.BoundLogger = structlog.stdlib.get_logger(LOGGER_NAME)

_render_logfmt = structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], bool_as_flag=False)
_render_fields = structlog.processors.LogfmtRenderer(bool_as_flag=False)


def one_line(error: BaseException) -> str:
    """Return an exception's text as one line."""
    return " ".join(str(error).split())


def _render_text(logger: Any, method: str, event: Any) -> str:
    """Render a line for humans: time, level, event, fields; then the traceback, if there is one."""
    timestamp = event.pop("timestamp", "")
    level = event.pop("level", "")
    name = event.pop("event", "")
    traceback = event.pop("exception", "")
    line = f"{timestamp} {level.upper()} {name} {_render_fields(logger, method, event)}".rstrip()
    return f"{line}\n{traceback}" if traceback else line


_RENDERERS: dict[str, Any] = {
    "text": _render_text,
    "logfmt": _render_logfmt,
    "json": structlog.processors.JSONRenderer(default=str),
}


def _formatter(log_format: str) -> logging.Formatter:
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.processors.TimeStamper(fmt=TIME_FORMAT, utc=False),
        ],
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            _RENDERERS[log_format],
        ],
    )


class DroppingHandler(QueueHandler):
    """Queues log records for the writing thread; drops them while that thread is blocked and the queue full."""

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave all rendering to the writing thread."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop it."""
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(record)


class LogWriter:
    """Owns the writing thread. Format and level may change while it runs."""

    def __init__(self, options: LogOptions, stream: TextIO = sys.stderr) -> None:
        records: queue.Queue[object] = queue.Queue(MAX_QUEUED_LINES)
        self._stream_handler = logging.StreamHandler(stream)
        self._listener = QueueListener(records, self._stream_handler)
        self._logger = logging.getLogger(LOGGER_NAME)
        for logger in (self._logger, logging.getLogger("asyncio")):
            logger.handlers[:] = [DroppingHandler(records)]
            logger.propagate = False
        self.apply_options(options)
        self._listener.start()

    def apply_options(self, options: LogOptions) -> None:
        """Change format and level, at once."""
        self._stream_handler.setFormatter(_formatter(options.format))
        self._logger.setLevel(options.level.upper())

    def stop(self) -> None:
        """Write the queued lines and end the thread."""
        self._listener.stop()
