"""The active configuration, and its reload from the files while the router serves."""

from __future__ import annotations

from .. import options as options_file
from ..config import Config, ConfigError, read_config
from ..core.counters import Counters
from ..logs import LogWriter, log, one_line
from .actors import RouterActors

# Fields that a reload leaves unchanged: bound sockets, limits, and the shape that a reloaded file must have.
NEEDS_RESTART = ("name", "listen", "management", "sockets", "memory", "cores", "peer_listen", "shape")


class ActiveConfiguration:
    """The platform's configuration and the operator's options, merged. SIGHUP reloads both.

    The two files are reloaded independently; one that cannot be read or is invalid changes nothing.
    """

    def __init__(
        self,
        config: Config,
        options: options_file.Options,
        actors: RouterActors,
        counters: Counters,
        log_writer: LogWriter,
    ) -> None:
        self.config = config
        self.options = options
        self._actors = actors
        self._counters = counters
        self._log_writer = log_writer

    def reload(self) -> None:
        """Read both files again, apply what can change at run time, and log which changes need a restart."""
        self._reload_options()
        try:
            new = read_config(self.config.path, self.config.shape)
        except ConfigError as error:
            self._counters.increment("reloads.failed")
            self._actors.router.telemetry.reconfig_failed += 1
            log.error("reload-failed", reason=one_line(error))
            self._apply_options_alone()
            return
        self._counters.increment("reloads.succeeded")
        self._actors.router.telemetry.reconfig_ok += 1
        self._apply_config(new)

    def apply_membership(self) -> None:
        """Apply the current membership options, at startup or after a pause."""
        self._actors.apply_membership(self.config, self.options)

    def apply_failover(self) -> None:
        """Apply the current failover options, at startup or after a pause."""
        self._actors.apply_failover(self.config, self.options)

    def _apply_config(self, new: Config) -> None:
        new = new._replace(settings=self.options.apply_to(new.settings))
        self._actors.apply_config(new, self.options)
        unchanged = [name for name in NEEDS_RESTART if getattr(new, name) != getattr(self.config, name)]
        self.config = new._replace(**{name: getattr(self.config, name) for name in unchanged})
        log.info(
            "reloaded",
            discovery=f"{new.discovery[0]}:{new.discovery[1]}",
            **{"needs-restart": ",".join(unchanged) or "nothing"},
        )

    def _reload_options(self) -> None:
        try:
            new = options_file.read(options_file.find_file())
        except options_file.OptionsError as error:
            self._counters.increment("reloads.options_invalid")
            log.error("options-invalid", reason=one_line(error))
            return
        self.options = new
        self._log_writer.apply_options(new.log)

    def _apply_options_alone(self) -> None:
        """Apply the options to the current platform settings, which stay in effect."""
        self.config = self.config._replace(settings=self.options.apply_to(self.config.settings))
        self._actors.apply_options(self.config, self.options)
