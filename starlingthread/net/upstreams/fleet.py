"""The actors of all cache servers that endpoint lists have named, and the limit on connections to these servers."""

from __future__ import annotations

import asyncio

from ...core.messages import Attempt, AttemptEnded, EndpointsReceived
from ...core.pipe import ByteBudget
from ...core.router import Router
from ...core.task_supervisor import TaskSupervisor
from ...events import AttemptResult, EndpointList, EndpointListKind, HealthCheckResult, ServerState
from ...logs import log
from ...settings import Settings
from .actor import ServerActor
from .connection import Connection, PendingHealthCheck
from .context import UpstreamContext, UpstreamSettings
from .messages import AbandonExchange, CloseIdle, StartExchange

HOUSEKEEPING_INTERVAL_MS = 1000.0
REMOVED_SERVER_TTL_MS = 2000.0  # minimum time from the removal of a server until its unused actor is ended
# The timeout of a health check is the connect timeout plus this time.
HEALTH_CHECK_ANSWER_TIMEOUT_MS = 50.0


class ServerFleet:
    """Owns the actors of all cache servers that endpoint lists have named, and enforces the connection limit."""

    def __init__(
        self, settings: Settings, router: Router, supervisor: TaskSupervisor, max_connections: int, idle_timeout: float
    ) -> None:
        self.context = UpstreamContext(
            router=router,
            supervisor=supervisor,
            clock=router.clock,
            counters=router.counters,
            deadlines=router.deadlines,
            settings=UpstreamSettings.create(settings, idle_timeout),
            may_open_connection=self._may_open_connection,
        )
        self.max_connections = max_connections
        self.actors: dict[int, ServerActor] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._run_housekeeping()

    def apply_settings(self, settings: Settings, idle_timeout: float) -> None:
        """Apply changed settings; idle_timeout is the servers' idle limit in milliseconds."""
        self.context.settings = UpstreamSettings.create(settings, idle_timeout)

    def set_value_budget(self, budget: ByteBudget, buffers: ByteBudget) -> None:
        """Set the budgets for streamed values and for all else, which are shared with the client connections."""
        self.context.value_budget = budget
        self.context.buffers = buffers

    def set_maintenance(self, server: int, in_maintenance: bool) -> None:
        """Put a server into maintenance, in which no new exchange is written to it, or end its maintenance."""
        if not in_maintenance:
            self.context.in_maintenance.discard(server)
            return
        self.context.in_maintenance.add(server)
        self.close_idle(server)

    def close(self) -> None:
        """End all actors and close their connections."""
        for number in list(self.actors):
            self._end_actor(number)

    # Attempts and health checks

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; AttemptEnded follows unless the attempt is abandoned."""
        actor = self.actors.get(attempt.server)
        if actor is None or not actor.mailbox.put(StartExchange(attempt)):
            self.context.router.mailbox.force_put(AttemptEnded(attempt, AttemptResult.CONNECT_FAILED))

    def abandon(self, attempt: Attempt) -> None:
        """Stop an attempt whose outcome the router has decided already."""
        actor = self.actors.get(attempt.server)
        if actor is not None:
            actor.post(AbandonExchange(attempt))

    def check_health(self, server: int) -> None:
        """Start a health check; HealthCheckResult follows."""
        actor = self.actors.get(server)
        if actor is None:
            result = HealthCheckResult(server, AttemptResult.CONNECT_FAILED, 0.0)
            self.context.router.mailbox.force_put(result)
            return
        now = self.context.clock.now()
        check = PendingHealthCheck(now)
        timeout = self.context.settings.connect_timeout + HEALTH_CHECK_ANSWER_TIMEOUT_MS

        def on_timeout() -> None:
            actor.reporter.report(check, AttemptResult.TIMEOUT)
            actor.post(AbandonExchange(check))

        check.timeout_timer = self.context.deadlines.set(now + timeout, on_timeout)
        actor.post(StartExchange(check))

    # Endpoint lists and actors

    def apply_endpoint_list(self, listing: EndpointsReceived, now: float) -> None:
        """Apply an endpoint list or changes to it: new, moved, draining and removed servers."""
        if listing.event.kind == EndpointListKind.FAILED:
            return
        unavailable = self._unavailable_servers(listing.event)
        started = {endpoint.server: endpoint.started for endpoint in listing.event.endpoints}
        for number, address in listing.addresses.items():
            self._apply_address(number, address, started.get(number, 0.0))
        for number, actor in self.actors.items():
            if number in unavailable:
                self._mark_unavailable(actor, unavailable[number], now)
            elif number in listing.addresses:
                actor.draining_since = None
                actor.removed_at = None

    def _unavailable_servers(self, event: EndpointList) -> dict[int, ServerState]:
        """Return the servers that are draining or removed; a full list removes every server that it does not name."""
        states: dict[int, ServerState] = {e.server: e.state for e in event.endpoints if e.state != ServerState.READY}
        if event.kind != EndpointListKind.DELTA:
            named = {e.server for e in event.endpoints}
            states.update({number: ServerState.GONE for number in self.actors if number not in named})
        return states

    def _apply_address(self, number: int, address: tuple[str, int], started: float) -> None:
        """Create the actor of a new server, or tell a known one that another process has taken the server's place.

        started: clock ms at which the server's process started; 0: long ago
        """
        actor = self.actors.get(number)
        if actor is None:
            actor = ServerActor(self.context, number, address)
            actor.pool.started = started
            self.actors[number] = actor
            self._run_actor(actor)
        elif actor.pool.address != address or started > actor.pool.started:
            self.context.counters.increment("servers.replaced")
            log.info("server-replaced", server=f"{address[0]}:{address[1]}", started=started)
            actor.pool.replace_server(address, started)
            actor.post(CloseIdle(0.0))

    def _mark_unavailable(self, actor: ServerActor, state: ServerState, now: float) -> None:
        if actor.draining_since is None:
            actor.draining_since = now
            actor.post(CloseIdle(0.0))  # no new request is sent to the server: free the descriptors
        if state == ServerState.GONE and actor.removed_at is None:
            actor.removed_at = now

    def _run_actor(self, actor: ServerActor) -> None:
        def on_crash(_: BaseException) -> None:
            # Without the actor no attempt would ever end: report a result for each, then restart the actor.
            self.context.counters.increment("servers.actor_died")
            for exchange in [*actor.opener.pending, *actor.pool.busy]:
                actor.reporter.report(exchange, AttemptResult.RESET)
            actor.close()
            if self.actors.get(actor.number) is actor:
                self._run_actor(actor)

        self._tasks[actor.number] = self.context.supervisor.start(actor.run(), "server", on_crash)

    def _end_actor(self, number: int) -> None:
        self.actors.pop(number).close()
        self._tasks.pop(number).cancel()

    def _run_housekeeping(self) -> None:
        """Close connections idle for too long, end unused actors of removed servers, and schedule the next run."""
        now = self.context.clock.now()
        for number, actor in list(self.actors.items()):
            actor.post(CloseIdle(self.context.settings.max_idle))
            is_unused = not actor.opener.pending and not actor.pool.in_use
            if actor.removed_at is not None and now - actor.removed_at > REMOVED_SERVER_TTL_MS and is_unused:
                self._end_actor(number)
        self.context.deadlines.set(now + HOUSEKEEPING_INTERVAL_MS, self._run_housekeeping)

    # Connection limit

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        actor = self.actors.get(server)
        if actor is not None:
            actor.post(CloseIdle(0.0))

    def set_connection_limit(self, max_connections: int) -> None:
        """Set the limit on open connections; close idle ones above it, the longest idle first."""
        self.max_connections = max_connections
        excess = self._open_connections() - max_connections
        for number, connection in self._idle_longest_first()[: max(0, excess)]:
            self.actors[number].pool.close_connection(connection)

    def _open_connections(self) -> int:
        return sum(actor.pool.open_count for actor in self.actors.values())

    def _idle_longest_first(self) -> list[tuple[int, Connection]]:
        """Return the idle connections with their servers' numbers, the longest idle first."""
        idle = [(number, c) for number, actor in self.actors.items() for c in actor.pool.idle]
        return sorted(idle, key=lambda entry: (entry[1].idle_since, entry[0]))

    def _may_open_connection(self) -> bool:
        """Whether one more connection may be opened; at the limit the longest idle one is closed first."""
        if self._open_connections() < self.max_connections:
            return True
        oldest = [(actor.pool.idle[0].idle_since, number) for number, actor in self.actors.items() if actor.pool.idle]
        if not oldest:
            return False
        pool = self.actors[min(oldest)[1]].pool
        pool.close_connection(pool.idle[0])
        return True
