"""The operations that operators can request of a running router: readiness, telemetry, maintenance of cache servers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..core.maintenance import MaintenanceSet
from ..events import Maintenance
from .actors import RouterActors

# The period at which changes by another process are polled. It is well below the grace period of a drain.
MAINTENANCE_POLL_MS = 100.0


class OperatorControl:
    """The :class:`~starlingthread.net.management.RouterControl` of a router."""

    def __init__(self, actors: RouterActors, shared_folder: Path | None, is_serving: Callable[[], bool]) -> None:
        self._actors = actors
        self._is_serving = is_serving
        self._maintenance = MaintenanceSet(shared_folder, self._on_maintenance)

    def ready(self) -> bool:
        """Return whether this process accepts clients and has an endpoint list to serve them with."""
        return self._actors.has_endpoints() and self._is_serving()

    def snapshot(self) -> dict[str, object]:
        """Return the telemetry, as it is sent to operators in JSON."""
        router = self._actors.router
        excluded = len(router.balancer.excluded_servers(router.clock.now()))
        return {
            **router.telemetry.snapshot(self._actors.discovery.endpoint_count, excluded),
            **self._actors.members.snapshot(),
            **self._actors.failover.snapshot(),
        }

    def exclude(self, name: str) -> bool:
        """Put a cache server in maintenance; return False if the name is unknown."""
        return self._set_maintenance(name, True)

    def include(self, name: str) -> bool:
        """End a cache server's maintenance; return False if the name is unknown."""
        return self._set_maintenance(name, False)

    def poll_maintenance(self) -> None:
        """Apply the maintenance changes that another process of this router has stored, now and periodically."""
        self._maintenance.reload_if_changed()
        router = self._actors.router
        router.deadlines.set(router.clock.now() + MAINTENANCE_POLL_MS, self.poll_maintenance)

    def _set_maintenance(self, name: str, in_maintenance: bool) -> bool:
        is_listed = self._actors.discovery.server_id(name) is not None
        if not is_listed and name not in self._maintenance.names:
            return False
        self._maintenance.set_maintenance(name, in_maintenance)
        return True

    def _on_maintenance(self, name: str, in_maintenance: bool) -> None:
        """Stop or resume sending requests to a server, in its actor and in the decision module."""
        server = self._actors.discovery.parser.ids.assign(name)
        self._actors.fleet.set_maintenance(server, in_maintenance)
        self._actors.router.mailbox.force_put(Maintenance(server, in_maintenance))
