"""What is known of a server, a key and a request."""

from __future__ import annotations

import math

from ..balance.key import KeyOwners
from ..balance.load import ServerLoad
from ..balance.rendezvous import mix
from ..interface import Member, Request, RequestClass, ServerState
from ..limits.concurrency import Concurrency
from ..limits.outliers import OutlierDetector
from ..limits.slow_start import SlowStartBudget


class Server:
    """What this balancer knows of one server."""

    __slots__ = (
        "budget",
        "limit",
        "line",
        "out",
        "outliers",
        "salt",
        "seen",
        "shut_at",
        "since",
        "tally",
        "unavailable",
    )

    def __init__(self, line: Member, tokens: float, since: float) -> None:
        self.line, self.since = line, since  # since: when it was as cold as at its start; 0: long ago
        self.budget = SlowStartBudget(tokens)  # while it is cold
        self.unavailable = line.state != ServerState.READY
        self.tally, self.out = 0.0, 0  # cost and number of our attempts that are out
        self.limit, self.seen, self.outliers = Concurrency(), ServerLoad(), OutlierDetector()
        self.shut_at = math.inf  # when we were told that it drains or is gone
        self.salt = mix(line.server + 1)


class Key:
    """Our counts of one key: per server the count, when it was last decayed, and the nudge of the chance."""

    __slots__ = ("counts", "fetcher", "owners", "used_at", "waiting")

    def __init__(self) -> None:
        self.used_at, self.owners = math.inf, KeyOwners()
        self.counts: dict[int, tuple[float, float, float]] = {}
        self.fetcher = 0  # the request whose fetch from the origin is out
        self.waiting: list[Tracked] = []


class Tracked:
    """A request that is owed an answer, or whose attempts are still out."""

    __slots__ = (
        "req",
        "cls",
        "chance",
        "deadline",
        "failed_on",
        "cost",
        "tries",
        "out",
        "ran_at",
        "ran_by",
        "ran_on",
        "missed",
        "ended",
        "bad",
        "looked",
        "streaming",
        "role",
        "wake",
        "waits",
    )

    def __init__(self, req: Request, cls: RequestClass, now: float, cost: float) -> None:
        self.req, self.cls, self.cost, self.deadline = req, cls, cost, now + req.budget
        # Server, sent at, cost there, its number among those out there, chance of a fetch; None: over.
        self.tries: list[tuple[int, float, float, int, float] | None] = []
        self.out = 0
        self.ran_at, self.ran_on, self.ran_by = -1.0, 0, -1  # the first attempt that may have run
        self.ended = self.streaming = self.looked = False  # looked at: it may be on a dead connection
        self.missed: list[int] = []
        self.bad: list[int] = []  # servers that failed this request
        self.failed_on = -1  # the server that failed it last, and may be asked once more
        self.chance = 1.0  # that the server chosen last has the key cached
        self.wake, self.waits = 0.0, 0  # when a held request goes on, and how often it waited for the origin
        self.role = -1  # the last attempt went to an uncounted owner: 0 of the fleet's, 1 of our zone's
