"""All cache servers that lists have named: their actors, and the budget of connections to them."""

from __future__ import annotations

import asyncio

from ...core.messages import Attempt, AttemptEnded, EndpointsReceived
from ...core.pipe import ByteBudget
from ...core.router import Router
from ...core.watcher import Watcher
from ...events import AttemptResult, EndpointListKind, HealthCheckResult, ServerState
from ...settings import Settings
from .actor import ServerActor
from .connection import Probing
from .messages import Abandon, Retire, Start
from .pool import IdleRisk

RETIRE_SHARE = 0.65  # of the server's idle limit: a write that crosses its close would be a reset
LOOK_EVERY = 1000.0  # ms between looks for connections to retire
FORGET_AFTER = 2000.0  # ms after which the actor of a server that is gone is ended
PROBE_WAIT = 50.0  # ms in which a probe must be answered


class ServerFleet:
    """Owns the actors of all cache servers that lists have named, and the budget of their connections."""

    def __init__(self, settings: Settings, router: Router, watcher: Watcher, most: int, idle_close: float) -> None:
        self.router, self.watcher, self.most = router, watcher, most
        self.clock, self.counters, self.deadlines = router.clock, router.counters, router.deadlines
        self.risk = IdleRisk()
        self.apply_settings(settings, idle_close)
        self.in_maintenance: set[int] = set()  # servers that operators leave out
        self.budget = ByteBudget(0)  # for values that come in pieces
        self.actors: dict[int, ServerActor] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self._look()

    def apply_settings(self, settings: Settings, idle_close: float) -> None:
        """Take in settings, the first or new ones."""
        self.grace, self.connect_timeout = settings.drain_grace, settings.connect_timeout
        self.report_fields = settings.load_report_fields
        self.retire_after = idle_close * RETIRE_SHARE

    def set_maintenance(self, server: int, out: bool) -> None:
        """Write nothing new to a server from now on, or write to it again."""
        if not out:
            self.in_maintenance.discard(server)
            return
        self.in_maintenance.add(server)
        self.close_idle(server)

    def _look(self) -> None:
        now = self.clock.now()
        for number, actor in list(self.actors.items()):
            actor.mailbox.must_put(Retire(self.retire_after))
            unused = not actor.opening.jobs and not actor.pool.in_use
            if actor.gone_at is not None and now - actor.gone_at > FORGET_AFTER and unused:
                self._end(number)
        self.deadlines.set(now + LOOK_EVERY, self._look)

    def _end(self, number: int) -> None:
        self.actors.pop(number).close()
        self.tasks.pop(number).cancel()

    def apply_endpoint_list(self, listing: EndpointsReceived, now: float) -> None:
        """Take in a list: who is new, who has moved, who drains or is gone."""
        event = listing.event
        if event.kind == EndpointListKind.FAILED:
            return
        shut = {m.server: m.state for m in event.endpoints if m.state != ServerState.READY}
        if event.kind != EndpointListKind.DELTA:
            named = {m.server for m in event.endpoints}
            shut.update({n: ServerState.GONE for n in self.actors if n not in named})
        for number, address in listing.addresses.items():
            actor = self.actors.get(number)
            if actor is None:
                actor = self.actors[number] = ServerActor(self, number, address)
                self._run(actor)
            elif actor.pool.address != address:
                actor.pool.address = address
                actor.mailbox.must_put(Retire(0.0))
        for number, actor in self.actors.items():
            if number in shut:
                if actor.shut_at is None:
                    actor.shut_at = now
                    actor.mailbox.must_put(Retire(0.0))  # nothing new goes there: give descriptors back
                if shut[number] == ServerState.GONE:
                    actor.gone_at = now if actor.gone_at is None else actor.gone_at
            elif number in listing.addresses:
                actor.shut_at = actor.gone_at = None

    def _run(self, actor: ServerActor) -> None:
        def died(_: BaseException) -> None:
            # Guards against attempts that nobody would end: each gets its outcome, then all starts anew.
            self.counters.increment("servers.actor_died")
            for job in [*actor.opening.jobs, *actor.pool.busy]:
                actor.report(job, AttemptResult.RESET)
            actor.close()
            if self.actors.get(actor.number) is actor:
                self._run(actor)

        self.tasks[actor.number] = self.watcher.start(actor.run(), "server", died)

    def start(self, attempt: Attempt) -> None:
        """Make an attempt."""
        actor = self.actors.get(attempt.server)
        if actor is None or not actor.mailbox.put(Start(attempt)):
            self.router.mailbox.must_put(AttemptEnded(attempt, AttemptResult.CONNECT_FAILED))

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt."""
        if (actor := self.actors.get(attempt.server)) is not None:
            actor.mailbox.must_put(Abandon(attempt))

    def check_health(self, server: int) -> None:
        """Check a server."""
        job, actor = Probing(self.clock.now()), self.actors.get(server)
        if actor is None:
            self.router.mailbox.must_put(HealthCheckResult(server, AttemptResult.CONNECT_FAILED, 0.0))
            return

        def late(actor: ServerActor = actor) -> None:
            actor.report(job, AttemptResult.TIMEOUT)
            actor.mailbox.must_put(Abandon(job))

        job.limit = self.deadlines.set(self.clock.now() + self.connect_timeout + PROBE_WAIT, late)
        actor.mailbox.must_put(Start(job))

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        if (actor := self.actors.get(server)) is not None:
            actor.mailbox.must_put(Retire(0.0))

    def allow_connection(self) -> bool:
        """Tell whether one more connection may be opened; close the one idle longest if need be."""
        if sum(a.pool.open for a in self.actors.values()) < self.most:
            return True
        idle = [(a.pool.idle[0].idle_since, n) for n, a in self.actors.items() if a.pool.idle]
        if not idle:
            return False
        pool = self.actors[min(idle)[1]].pool
        pool.discard(pool.idle[0])
        return True

    def set_connection_limit(self, most: int) -> None:
        """Hold so many connections at most; close those idle longest that are too many."""
        self.most = most
        over = sum(a.pool.open for a in self.actors.values()) - most
        idle = sorted(
            ((c.idle_since, a.number, c) for a in self.actors.values() for c in a.pool.idle),
            key=lambda entry: entry[:2],
        )
        for _, number, connection in idle[: max(0, over)]:
            self.actors[number].pool.discard(connection)

    def close(self) -> None:
        """Close everything."""
        for number in list(self.actors):
            self._end(number)
