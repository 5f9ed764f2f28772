"""Structured log lines of an event name and its fields, written by a thread so that no answer waits for log output."""

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
    """Make the import of a module fail, unless the module is already loaded."""
    if name in sys.modules:
        yield
        return
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]


# structlog imports rich if it is installed: 6 MB of memory for a module that the router does not use.
with _import_blocked("rich"):
    import structlog

LOGGER_NAME = "starlingthread"
MAX_QUEUED_LINES = 1000  # Further lines are dropped.
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
    """Return the text of an exception as a single line."""
    return " ".join(str(error).split())


def _render_text(logger: Any, method: str, event: Any) -> str:
    """Render a human-readable line of time, level, event and fields, followed by the traceback if there is one."""
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
    """Queues log records for the writer thread; drops them while that thread is blocked and the queue is full."""

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is: the writer thread renders it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record; drop it if the queue is full."""
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(record)


class LogWriter:
    """Owns the writer thread. Format and level can be changed while it runs."""

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
        """Change format and level; the change takes effect at once."""
        self._stream_handler.setFormatter(_formatter(options.format))
        self._logger.setLevel(options.level.upper())

    def stop(self) -> None:
        """Write the queued lines and stop the thread."""
        self._listener.stop()
