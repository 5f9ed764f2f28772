"""The router: reads the configuration and serves until a signal. Run as ``python -m starlingthread``."""

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
    """Run the router and return its exit code; one plain line on standard error and 1 if it can't start."""
    early_signals = _collect_early_signals()
    try:
        config = _read_config()
    except ConfigError as error:
        return _fail(error)
    options, options_error = _read_options()
    log_writer = LogWriter(options.log)
    if options_error:
        log.error("options-invalid", reason=options_error)
    inherited = _inherit(config)

    async def serve() -> int:
        return await RouterProcess(config, log_writer, inherited, options, early_signals).run()

    try:
        with asyncio.Runner(loop_factory=MeteredEventLoop) as runner:
            return runner.run(serve())
    except (OSError, EndpointListError) as error:
        return _fail(error)
    finally:
        log_writer.stop()


def _fail(error: Exception) -> int:
    print(f"starlingthread: {error}", file=sys.stderr)
    return 1


def _collect_early_signals() -> list[int]:
    """Return a list that collects SIGHUP and SIGUSR1 until the event loop handles them.

    Their default action would end a process that is just starting. This must come before the configuration is read:
    a reload that is requested after that must not be lost, one that is requested before asks for nothing more.
    """
    early_signals: list[int] = []
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, lambda received, _: early_signals.append(received))
    return early_signals


def _read_config() -> Config:
    path = os.environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"{CONFIG_VARIABLE} names no file")
    return read_config(path)


def _read_options() -> tuple[options_file.Options, str]:
    """Return the operator's options, and what is wrong with their file if anything is.

    An invalid file gives the defaults: a router restarted after a crash must serve even if the file was edited
    meanwhile.
    """
    try:
        return options_file.read(options_file.find_file()), ""
    except options_file.OptionsError as error:
        return options_file.Options(), one_line(error)


def _inherit(config: Config) -> InheritedSockets | None:
    """Return the sockets of an old process, None if there is none or it can't hand over."""
    folder = shared_folder(config)
    if folder is None:
        return None
    try:
        return request_handover(folder)
    except OSError as error:
        log.warning("handover-failed", reason=repr(error))  # this process binds its sockets beside the old one then
        return None


if __name__ == "__main__":
    sys.exit(main())
