"""The entry point of the router, ``python -m starlingthread``: reads the configuration and serves until a signal."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

from . import options as options_file
from .config import Config, ConfigError, read_config
from .core.event_loop import MeteredEventLoop
from .handover.channel import InheritedSockets, request_handover
from .logs import LogWriter, log, one_line
from .net.discovery import EndpointListError
from .router_process.process import RouterProcess, shared_folder

CONFIG_VARIABLE = "LB_CONFIG"


def main() -> int:
    """Run the router and return its exit code. If it cannot start, print one line to standard error and return 1."""
    early_signals = _collect_early_signals()
    try:
        config = _read_config()
    except ConfigError as error:
        return _report_error(error)
    options, options_error = _read_options()
    log_writer = LogWriter(options.log)
    if options_error:
        log.error("options-invalid", reason=options_error)
    inherited = _inherit_sockets(config)

    async def serve() -> int:
        return await RouterProcess(config, log_writer, inherited, options, early_signals).run()

    try:
        with asyncio.Runner(loop_factory=MeteredEventLoop) as runner:
            return runner.run(serve())
    except (OSError, EndpointListError) as error:
        return _report_error(error)
    finally:
        log_writer.stop()


def _report_error(error: Exception) -> int:
    print(f"starlingthread: {error}", file=sys.stderr)
    return 1


def _collect_early_signals() -> list[int]:
    """Return a list that collects SIGHUP and SIGUSR1 until the event loop handles them.

    Their default action would end a process that is just starting. Call this before the configuration is read: a reload
    that is requested after the read must not be lost, and one that is requested before it needs no further action.
    """
    early_signals: list[int] = []
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, lambda received, _: early_signals.append(received))
    return early_signals


def _read_config() -> Config:
    path = os.environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"environment variable {CONFIG_VARIABLE} is not set or empty")
    return read_config(path)


def _read_options() -> tuple[options_file.Options, str]:
    """Return the operator's options, and the error in their file (an empty text if there is none).

    With an invalid file the defaults apply: a router that is restarted after a crash must serve even if the file was
    edited since its last start.
    """
    try:
        return options_file.read(options_file.find_file()), ""
    except options_file.OptionsError as error:
        return options_file.Options(), one_line(error)


def _inherit_sockets(config: Config) -> InheritedSockets | None:
    """Return the sockets of the process that this one replaces; None if there is none or the handover fails."""
    folder = shared_folder(config)
    if folder is None:
        return None
    try:
        return request_handover(folder)
    except OSError as error:
        # This process then binds its own sockets beside those of the old process.
        log.warning("handover-failed", reason=repr(error))
        return None


if __name__ == "__main__":
    sys.exit(main())
