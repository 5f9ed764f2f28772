"""All decisions of one balancer. The types it takes and gives are in starlingthread/interface.py.

Every read a cache serves goes to the server with the least (load + expected cost) / affinity; affinity is
this balancer's own decayed count of the key there times idf, floored (docs/design.md). Times are ms.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING

from .interface import (
    NEVER_RAN, Action, Cancel, Effect, Event, Fail, FirstByte, ListKind, Maintenance, Member, MemberList,
    Note, Outcome, PeerMessage, ProbeResult, Refuse, Request, RequestClass, Result, Retuned, Send,
    ServerState, SetTimer, Settings, Timer, Watch, Withdrawn,
)
from .balance.popularity import FleetDemand
from .balance.key import KeyOwners
from .balance.load import CORES, ServerLoad, LoadEstimates
from .balance.rendezvous import MASK, Owner, Rendezvous, Candidate, mix
from .limits.concurrency import Concurrency
from .limits.shedding import LoadShedder
from .limits.origin_limit import OriginLimit
from .limits.feedback import adjust_limits
from .limits.origin_throttle import OriginThrottle
from .limits.slow_start import (
    MARGIN, WARM_LIFE, Pace, SlowStartBudget, first_tokens, slow_start_rate, warm_share,
)
from .limits.reserve import Reserve
from .limits.hedging import HedgeBudget
from .limits.speed import Speeds
from .limits.outliers import OutlierDetector
from .limits.service_time import ServiceTime

if TYPE_CHECKING:  # else only once it is on
    from .failover.zones import Zones

HALF_LIFE = 10000.0  # ms; a count halves in this time: about as long as a cache keeps what nobody asks for
FLOOR = 0.1  # affinity of a server without a count; far under one count's log(N)
OWNER_FLOOR = 1.0  # affinity of an uncounted key's first owners, halved for each rank on; under one count's
OWNERS = 3  # owners of a key by stable hash, in the fleet and again in our zone
SAMPLED = 2  # servers scored besides owners and counted ones, a way out when all of those are loaded
PRIOR = (0.8, 0.5)  # first guesses of the cached chance at an uncounted owner: in the fleet, in our zone
MAX_KEYS = 20000  # keys with counts; bounds memory, far above what one balancer sees in a cache's life
KEY_LIFE = 35000.0  # ms; a key that nobody asked for so long has no count left that matters
MAX_TURNED = 3  # servers that may fail a request before it is given up; more only adds to a crowd
LET_TRY = 0.1  # share of the hopeless sent all the same, to learn when a server has recovered
NUDGE = 0.5  # how far one observed hit or miss moves the cached chance
FETCH_SHARE = 0.15  # of the aim: first guess of an origin fetch's time
LATE_FETCH = 0.9  # of the aim; a fetch that takes longer earns nothing: the origin has too many
MAX_WAITS = 2  # times that a write waits for a full origin before it is given up
ASK_BACK_OFF = 500.0  # ms; first pause after a failed call for the list, doubled each time, jittered
MAX_ASK_DOUBLED = 1  # times that it is doubled: a refused call between two pauses is over within 6 s
COME_BACK = 0.2  # of the aim; mean of the pause that a refused client is asked for: a retry can still earn
EARLY = 5.0  # ms; a held request is answered this long before its client gives up
ASK, LOOK = 0, 1 << 60  # timer labels; the others are 1 + the id of a held request


class Server:
    """What this balancer knows of one server."""

    __slots__ = ("budget", "limit", "line", "out", "salt", "seen", "shut_at", "since", "tally",
                 "unavailable", "outliers")

    def __init__(self, line: Member, saved: float, since: float) -> None:
        self.line, self.since = line, since  # since: when it was as cold as at its start; 0: long ago
        self.budget = SlowStartBudget(saved)  # while it is cold
        self.unavailable = line.state != ServerState.READY
        self.tally, self.out = 0.0, 0  # cost and number of our attempts that are out
        self.limit = Concurrency()
        self.seen, self.outliers = ServerLoad(), OutlierDetector()
        self.shut_at = math.inf  # when we were told that it drains or is gone
        self.salt = mix(line.server + 1)


class Key:
    """Our counts of one key: per server the count, when it was last decayed, and the nudge of the chance."""

    __slots__ = ("counts", "fetcher", "owners", "used_at", "waiting")

    def __init__(self) -> None:
        self.used_at = math.inf
        self.owners = KeyOwners()
        self.counts: dict[int, tuple[float, float, float]] = {}
        self.fetcher = 0  # the request whose fetch from the origin is out
        self.waiting: list[Tracked] = []


class Tracked:
    """A request that is owed an answer, or whose attempts are still out."""

    __slots__ = ("req", "cls", "chance", "deadline", "failed_on", "cost", "tries", "out", "ran_at", "ran_by",
                 "ran_on", "missed", "ended", "bad", "looked", "streaming", "role", "wake", "waits")

    def __init__(self, req: Request, cls: RequestClass, now: float, cost: float) -> None:
        self.req, self.cls, self.cost = req, cls, cost
        self.deadline = now + req.budget
        # Server, sent at, cost there, its number among those out there, chance of a fetch; None: over.
        self.tries: list[tuple[int, float, float, int, float] | None] = []
        self.out = 0
        self.ran_at, self.ran_on, self.ran_by = -1.0, 0, -1  # the first attempt that may have run
        self.missed: list[int] = []
        self.ended = self.streaming = self.looked = False  # looked at: it may be on a dead connection
        self.bad: list[int] = []  # servers that failed this request
        self.failed_on = -1  # the server that failed it last, and may be asked once more
        self.chance = 1.0  # that the server chosen last has the key cached
        self.wake, self.waits = 0.0, 0  # when a held request goes on, and how often it waited for the origin
        self.role = -1  # the last attempt went to an uncounted owner: 0 of the fleet's, 1 of our zone's


class Balancer:
    """One balancer: events with the time go in, actions come out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = Random(seed)
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []  # the cache servers that the list calls ready
        self.list_count = 0  # lists so far
        self.places, self.places_at = Rendezvous(settings.me, OWNERS), -1  # the list that they are from
        self.zones: Zones | None = None  # which zones are left alone; None: the operator's file has that off
        self.origin: Server | None = None
        self.prior = list(PRIOR)
        self.keys: OrderedDict[int, Key] = OrderedDict()
        self.live: dict[int, Tracked] = {}
        self.held: dict[int, Tracked] = {}
        self.slow: list[tuple[float, int]] = []  # a heap: when to look if a request is still out, and its id
        self.own, self.reserve, self.pace = LoadShedder(), Reserve(), Pace(HALF_LIFE)  # of what is served
        self.look_at = math.inf  # when the next of these looks is due
        self.in_maintenance: set[int] = set()  # servers that operators leave out
        self.work: dict[str, ServiceTime] = {}  # learned times of each class
        self.crowd, self.hedging, self.views = FleetDemand(), HedgeBudget(), LoadEstimates()
        self._tune(settings)
        self.mean_work = self.work[settings.classes[0].name].typical
        self.warm, self.warm_at = 0.0, -math.inf  # what all can do now, in quick warm servers
        self.speeds, self.fetches = Speeds(), OriginLimit()
        self.guard = OriginThrottle(min(c.aim for c in settings.classes) * FETCH_SHARE)
        self.ask_fails, self.subscribed = 0, not settings.must_ask
        self.todo: list[Action] = []

    def _tune(self, settings: Settings) -> None:
        """Take in settings, the first or new ones; what was learned of a class stays with its name."""
        self.set, classes = settings.validated(), settings.classes
        self.views.know(settings.report_fields)
        self.work = {c.name: self.work.get(c.name) or ServiceTime(c.aim * 0.1) for c in classes}
        self.through = settings.mode == "through"  # servers fetch what they lack
        self.least_worth = max(1e-6, min(c.worth for c in classes))
        self.keep_shut = 3 * max(c.deadline + c.memory_span for c in classes)

    def start(self, now: float) -> list[Action]:
        """Begin: where the list must be asked for, do so at a random moment, that a fleet is no herd."""
        self.pace.begin(now)
        if self.set.must_ask:
            self.todo.append(SetTimer(now + self.rng.uniform(0, self.set.ask_within * 0.3), ASK))
        return self._flush()

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in one event and return the actions it calls for."""
        if isinstance(event, Request):
            self._on_request(now, event)
        elif isinstance(event, Outcome):
            self._on_outcome(now, event)
        elif isinstance(event, MemberList):
            self._on_list(now, event)
        elif isinstance(event, Timer):
            self._on_timer(now, event.label)
        elif isinstance(event, Withdrawn):
            if tracked := self.live.get(event.id):
                self._close(now, tracked)
        elif isinstance(event, FirstByte):
            if tracked := self.live.get(event.id):
                tracked.streaming = True
        elif isinstance(event, ProbeResult):
            if server := self.servers.get(event.server):
                self.views.hear(now, server.seen, event.report, self.mean_work)
        elif isinstance(event, Maintenance):
            self._on_maintenance(now, event)
        elif isinstance(event, Retuned):
            self._tune(event.settings)
            self._sort_out()
        elif not isinstance(event, PeerMessage):
            raise TypeError(f"not an event: {event!r}")
        return self._flush()

    def _flush(self) -> list[Action]:
        done, self.todo = self.todo, []
        return done

    def avoided(self, now: float) -> list[int]:
        """Return the listed servers that are left out now, by operators or by choice."""
        return [n for n, s in self.servers.items()
                if not s.unavailable and (n in self.in_maintenance or s.outliers.ejected_until > now)]

    # membership

    def _on_list(self, now: float, event: MemberList) -> None:
        if event.kind == ListKind.FAILED:
            self.subscribed = not self.set.must_ask
            if self.set.must_ask:
                doubled = float(1 << min(self.ask_fails, MAX_ASK_DOUBLED))
                wait = ASK_BACK_OFF * doubled * self.rng.uniform(0.5, 1.5)
                self.ask_fails += 1
                self.todo.append(SetTimer(now + wait, ASK))
            return
        if event.kind != ListKind.CACHED:
            self.subscribed, self.ask_fails = True, 0
        if event.kind != ListKind.DELTA:
            named = {m.server for m in event.members}
            for number, server in self.servers.items():
                if number not in named:
                    server.unavailable = True
        for line in event.members:
            old = self.servers.get(line.server)
            if old is None or old.line.started != line.started:
                saving = first_tokens(self.rng.random(), self.set.balancers)
                since = max(line.started, old.since if old else 0.0)
                self.servers[line.server] = fresh = Server(line, saving, since)
                fresh.tally, fresh.out = (old.tally, old.out) if old else (0.0, 0)
            else:
                old.line, old.unavailable = line, line.state != ServerState.READY
        self._forget_gone(now)
        self._sort_out()

    def _sort_out(self) -> None:
        self.ready, self.origin = [], None
        self.list_count, self.warm_at = self.list_count + 1, -math.inf
        for server in self.servers.values():
            if self.set.mode == "aside" and server.line.kind == self.set.origin_kind:
                self.origin = server if not server.unavailable else self.origin
            elif not server.unavailable and server.line.server not in self.in_maintenance:
                self.ready.append(server)
        if self.zones:
            self.zones.listed((s.line.zone, s.line.server) for s in self.ready)
        self.crowd.know(self.set.balancers, len(self.ready), len({s.line.zone for s in self.ready}))

    def _on_maintenance(self, now: float, event: Maintenance) -> None:
        """Leave a server out, or take it back: for all we know yet it was started anew a moment ago."""
        if event.out:
            self.in_maintenance.add(event.server)
        elif event.server in self.in_maintenance:
            self.in_maintenance.remove(event.server)
            if server := self.servers.get(event.server):
                server.since, server.outliers = now, OutlierDetector()
                server.budget = SlowStartBudget(first_tokens(self.rng.random(), self.set.balancers))
        self._sort_out()

    def _forget_gone(self, now: float) -> None:
        """Forget servers that were shut for so long that no attempt there can be out. Guards memory."""
        for number, server in list(self.servers.items()):
            server.shut_at = min(server.shut_at, now) if server.unavailable else math.inf
            if now - server.shut_at > self.keep_shut and number not in self.in_maintenance:
                del self.servers[number]

    def _on_timer(self, now: float, label: int) -> None:
        if label == ASK:
            if not self.subscribed:
                self.todo.append(Watch(True))
        elif label == LOOK:
            self._look(now)
        elif (tracked := self.held.get(label - 1)) and now >= tracked.wake - 0.01:
            del self.held[tracked.req.id]
            if now >= tracked.deadline - EARLY - 0.01:
                self._give_up(now, tracked)
            else:
                self._route(now, tracked)

    # affinity

    def _key(self, now: float, number: int) -> Key:
        entry = self.keys.get(number)
        if entry is None:
            entry = self.keys[number] = Key()
            for _ in range(2):  # one in, two out at most: the table shrinks again after a crowd of keys
                oldest, old = next(iter(self.keys.items()))
                worn = len(self.keys) > MAX_KEYS or now - old.used_at > KEY_LIFE
                if not worn or old.waiting or old.fetcher:
                    break
                del self.keys[oldest]
        else:
            self.keys.move_to_end(number)
        entry.used_at = now
        return entry

    def _counted(self, now: float, entry: Key) -> dict[int, tuple[float, float]]:
        """Return each counted server's decayed count and nudge; drop what has faded or is gone."""
        found = {}
        for number, (count, at, nudge) in list(entry.counts.items()):
            count *= math.exp2((at - now) / HALF_LIFE)
            if (count < 0.1 or number not in self.servers or number in self.in_maintenance
                    or self.servers[number].unavailable):
                del entry.counts[number]
            else:
                found[number] = (count, nudge)
        return found

    def _count(self, now: float, entry: Key, server: int, add: float, nudge: float) -> None:
        count, at, old = entry.counts.get(server, (0.0, now, 0.0))
        count = max(0.0, count * math.exp2((at - now) / HALF_LIFE) + add)
        entry.counts[server] = (count, now, old + (nudge - old) * NUDGE if nudge else old)

    # score

    def _load(self, now: float, server: Server, lag: float) -> float:
        """What our own attempts there have to wait for, and what else shows there."""
        return server.tally / server.limit.width(CORES) + max(self.views.reported(now, server.seen), lag)

    def _cost(self, tracked: Tracked, server: Server) -> float:
        """What a request should take there, in ms."""
        return tracked.cost / self._speed(server)

    def _speed(self, server: Server) -> float:
        return self.speeds.of(server.line.kind)

    def _lag(self, now: float, server: Server) -> float:
        return self.views.lag(now, server.seen)

    def _owners(self, now: float, entry: Key, req: Request) -> list[Owner]:
        """Return a key's owners by weighted stable hash: every balancer with the same list names the same."""
        if self.places_at != self.list_count:
            self.places_at = self.list_count
            self.places.update(*([Candidate(s.salt, s.line.weight * self._speed(s), s.line.server)
                                  for s in self.ready if s.line.zone in zones]
                                 for zones in ({s.line.zone for s in self.ready}, {self.set.zone})))
        crowd = self.crowd if self.set.balance else None
        return entry.owners.of(now, req.key, req.is_write, self.places, crowd)

    def _crossing(self, server: Server, cls: RequestClass) -> float:
        """What leaving the zone costs, in ms: its price in worth, and a request's worth is its aim."""
        far = self.zones.cost(self.set.zone, server.line.zone) if self.zones else 0.0
        return far + self.set.price_cross_zone * cls.aim if server.line.zone != self.set.zone else 0.0

    def _miss_cost(self, now: float, cls: RequestClass) -> float:
        """What a fetch from the origin costs, in ms: its usual time, its prices, and its scarcity."""
        cost = self.guard.usual + (self.set.price_origin + 2 * self.guard.now(now)) * cls.aim
        return cost + (self._crossing(self.origin, cls) if self.origin else 0.0)

    def _choose(self, now: float, tracked: Tracked, entry: Key | None) -> Server | None:
        """Return the server with the least (load + expected cost) / affinity, of a bounded set."""
        counted = self._counted(now, entry) if entry else {}
        owners = self._owners(now, entry, tracked.req) if entry else []
        if entry and entry.owners.spread:  # back to our part of its owners alone
            counted = {owner.number: counted[owner.number] for owner in owners if owner.number in counted}
        idf = math.log(max(1.0, len(self.ready) / len(counted))) if counted else 0.0
        total = sum(count for count, _ in counted.values())
        floors: dict[int, tuple[float, int]] = {}
        saves = (total + 1) * self.crowd.sharing * self.set.price_cross_zone * tracked.cls.aim
        for number, rank, near in owners:
            # A copy more is a fetch more; it pays once not leaving the zone saves its routers as much.
            allowed = self.fetches.copies.allows(tracked.req.key, rank, near)
            if not allowed or (near and saves < self.guard.usual):
                continue
            floor = max(OWNER_FLOOR, total * idf if near else 0.0) * 0.5 ** rank
            floors.setdefault(number, (floor, int(near)))
        sampled = (self.rng.choice(self.ready).line.server for _ in range(SAMPLED if self.ready else 0))
        for number in (*counted, *sampled):
            floors.setdefault(number, (FLOOR, -1))
        miss_cost, best, least = self._miss_cost(now, tracked.cls), None, (True, math.inf)
        limit = self._limit(now, tracked)
        for number, (floor, role) in floors.items():
            server = self.servers[number]
            if server.outliers.ejected_until > now or number in tracked.bad or number in tracked.missed or (
                    server.since > 0 and not self._warm_enough(now, server, tracked)) or (
                    self.zones and not self.zones.is_open(now, server.line.zone, tracked.req.key)):
                continue
            count, nudge = counted.get(number, (0.0, 0.0))
            chance = count / (count + 1) if role < 0 else max(count / (count + 1), self.prior[role])
            chance += nudge * (1 - chance if nudge > 0 else chance)
            cost = tracked.cost + self._crossing(server, tracked.cls) + (1 - chance) * miss_cost
            # Incident i952281: a crowded zone's owners drew all and refused it while other servers idled, so
            # a server that would be late comes after every one that would not, be it by what it has from us:
            # its last answers tell only of what was sent before a crowd.
            lag = self._lag(now, server)
            wait = lag if server.limit.known else max(lag, server.tally / CORES)
            score = (not server.limit.allows(server.out) or wait + self._cost(tracked, server) > limit,
                     (self._load(now, server, lag) + cost) / max(floor, count * idf))
            if score < least:
                best, least, tracked.chance = server, score, chance
                tracked.role = role if not count else -1
        return best

    # attempts

    def _on_request(self, now: float, req: Request) -> None:
        if req.id in self.live or not 0 <= req.cls < len(self.set.classes):
            return
        cls = self.set.classes[req.cls]
        tracked = Tracked(req, cls, now, self.work[cls.name].expected(req.cost))
        self.live[req.id] = tracked
        if len(self.live) >= self.set.max_open or self._is_beyond_us(now, tracked):
            self._give_up(now, tracked)
        else:
            self._route(now, tracked)

    def _is_beyond_us(self, now: float, tracked: Tracked) -> bool:
        """Tell whether this request is one of those that our own core is too small for; worth least first."""
        shed = self.own.shed_share(now, tracked.req.waited)
        return shed > 0 and self.rng.random() < shed ** (tracked.cls.worth / self.least_worth)

    def _hopeless(self, now: float, tracked: Tracked, server: Server) -> bool:
        """Tell whether an answer would come too late to earn anything (guards against queues of those)."""
        late = self._lag(now, server) + self._cost(tracked, server) > self._limit(now, tracked)
        kept = self.reserve.kept(server.limit.width(0.0), self._fetch_chance(tracked), tracked.req.is_write)
        self.reserve.chosen(not server.limit.allows(server.out))
        return not server.limit.allows(server.out + kept) or (late and self.rng.random() > LET_TRY)

    def _limit(self, now: float, tracked: Tracked) -> float:
        return min(tracked.deadline - now, tracked.cls.aim)  # incident iddb886: full queues made all late

    def _is_origin_work(self, tracked: Tracked) -> bool:
        return self.set.mode == "aside" and (tracked.req.is_write or tracked.cls.effect != Effect.REPEATABLE)

    def _route(self, now: float, tracked: Tracked) -> None:
        """Send a request where its next attempt belongs, or give it up."""
        if self._is_origin_work(tracked):
            if not (self.origin and self._send(now, tracked, self.origin)):
                self._give_up(now, tracked)
            return
        key = tracked.req.key
        entry = self._key(now, key) if key else None
        server = None if tracked.missed else self._choose(now, tracked, entry)
        if tracked.missed or (server is None and not tracked.bad):
            self._fetch(now, tracked, entry)
        elif (server is None or self._hopeless(now, tracked, server) or len(tracked.bad) >= MAX_TURNED
                or (self.through and self._is_too_much(now, tracked))):
            self._give_up(now, tracked)
        elif self._send(now, tracked, server):
            self._watch(now, tracked, tracked.role < 0)
            if entry is not None:
                self._count(now, entry, server.line.server, 1.0, 0.0)
        else:
            self._give_up(now, tracked)

    def _send(self, now: float, tracked: Tracked, server: Server, timeout: float = 0.0) -> bool:
        """The one gate to the wire; it holds the four rules whatever the caller wants."""
        left = tracked.deadline - now
        most = 1 if tracked.req.single else self.set.max_attempts
        if tracked.ended or tracked.streaming or left <= 0 or len(tracked.tries) >= most:
            return False  # rule 1: nothing goes out for what is over
        if server.unavailable or server.line.server in self.in_maintenance:
            return False  # rule 3: drained, gone or in maintenance; we use none of the grace
        effect = tracked.cls.effect
        if tracked.out and (not self.set.second_copies or effect == Effect.UNSAFE):
            return False  # rule 2
        before = math.inf
        if effect != Effect.REPEATABLE and tracked.ran_at >= 0:  # rule 2: an earlier one may have run
            if effect == Effect.UNSAFE or not self._drops_repeat(now, tracked, server):
                return False
            before = tracked.ran_at + tracked.cls.memory_span
        if server is not self.origin and not self._warm_enough(now, server, tracked):
            return False  # rule 4
        cost = self._cost(tracked, server)
        tracked.out, server.out, server.tally = tracked.out + 1, server.out + 1, server.tally + cost
        fetch = self.fetches.sent(self._fetch_chance(tracked))
        tracked.tries.append((server.line.server, now, cost, server.out, fetch))
        if self.zones:
            self.zones.sent(now, server.line.zone, server.line.server)
        server.budget.spend(self._heavy(tracked))
        if effect == Effect.KEYED and tracked.ran_at < 0:
            tracked.ran_at, tracked.ran_on, tracked.ran_by = now, server.line.server, len(tracked.tries) - 1
        self.todo.append(Send(tracked.req.id, server.line.server, timeout, before))
        return True

    # second copies

    def _watch(self, now: float, tracked: Tracked, counted: bool) -> None:
        """Have a first attempt looked at again, if its answer might then be made up for."""
        if not self.set.second_copies or len(tracked.tries) > 1 or (
                tracked.cls.effect == Effect.UNSAFE or tracked.req.single):
            return
        due = now + self.hedging.sent(tracked.cls.aim, counted)
        if due < tracked.deadline:
            heappush(self.slow, (due, tracked.req.id))
            self._look_again()

    def _look_again(self) -> None:
        if self.slow and self.slow[0][0] < self.look_at:
            self.look_at = self.slow[0][0]
            self.todo.append(SetTimer(self.look_at, LOOK))

    def _look(self, now: float) -> None:
        """Send second copies of what should have been answered by now.

        Where all are slow, more work would only add to it.
        """
        if now < self.look_at - 0.01:
            return
        self.look_at = math.inf
        while self.slow and self.slow[0][0] <= now + 0.01:
            tracked = self.live.get(heappop(self.slow)[1])
            if tracked is None or tracked.ended or tracked.out != 1 or len(tracked.tries) > 1:
                continue
            number, sent_at, *_ = next(filter(None, tracked.tries))
            first = self.servers[number]
            if sent_at > first.outliers.answered:  # nothing sent later was: it is not the connection alone
                self.views.met(now, first.seen, max(self._lag(now, first), now - sent_at), False)
                self._suspect(now, first, Result.TIMEOUT, sent_at)
                if self.zones and first.outliers.heard_at < sent_at:
                    self.zones.owes(now, first.line.zone, number, sent_at)
            crowded = self.own.shed or self.views.mean_lag > 0.4 * tracked.cls.aim
            tracked.looked = first.outliers.heard_at > sent_at
            over = (now - sent_at) / (self._cost(tracked, first) + self.guard.usual)
            draw = self.rng.random()
            if crowded or not self.hedging.pays(sent_at, first.outliers, tracked.chance, over, draw):
                continue
            tracked.bad.append(number)
            key = tracked.req.key
            server = self._choose(now, tracked, self._key(now, key) if key else None)
            if server is not None and self._send(now, tracked, server):
                self.hedging.saved, tracked.looked = self.hedging.saved - 1, False
            else:
                tracked.bad.remove(number)
        self._look_again()

    def _drops_repeat(self, now: float, tracked: Tracked, server: Server) -> bool:
        first = self.servers[tracked.ran_on].line
        group = tracked.cls.group
        same = group == "all" or (first.zone == server.line.zone if group == "zone"
                                  else first.cell == server.line.cell)
        return same and now - tracked.ran_at < tracked.cls.memory_span

    def _warm_enough(self, now: float, server: Server, tracked: Tracked) -> bool:
        """A cold server takes the share of keys that its ramp can bear; all balancers agree on which."""
        share = warm_share(now, server.since, self.set.cold_from, self.set.cold_time)
        if share >= 1:
            return True
        share *= MARGIN
        key = tracked.req.key or tracked.req.id
        # Hashed once more: a key's owners are the servers with the greatest of its hashes, and of those none
        # would be under a share.
        if mix(mix(key ^ server.salt) ^ server.salt) >= share * MASK:
            return False
        # Guards against retries, bursts and hot keys that meet at a cold server, in any window in which it
        # could fall over.
        if now - self.warm_at > WARM_LIFE:
            self.warm_at, self.warm = now, sum(
                self._speed(s) * warm_share(now, s.since, self.set.cold_from, self.set.cold_time)
                for s in self.ready)
        rate = slow_start_rate(share * self._speed(server), self.pace.per_ms(now), self.warm, self.set)
        return server.budget.allows(now, rate, self.set.tip_after, self._heavy(tracked))

    def _heavy(self, tracked: Tracked) -> float:
        return max(1.0, tracked.cost / self.mean_work)

    def _on_outcome(self, now: float, event: Outcome) -> None:
        tracked = self.live.get(event.id)
        if tracked is None or not event.attempt < len(tracked.tries):
            return
        attempt = tracked.tries[event.attempt]
        if attempt is None:
            return
        tracked.tries[event.attempt] = None
        tracked.out -= 1
        number, sent_at, cost, out, fetch = attempt
        server, result = self.servers[number], event.result
        server.tally, server.out = max(0.0, server.tally - cost), max(0, server.out - 1)
        self.views.hear(now, server.seen, event.report, self.mean_work)
        if result in NEVER_RAN:
            # By its number: another one may have gone to the same server at the same time, and have run.
            if tracked.ran_at >= 0 and tracked.ran_by == event.attempt:
                tracked.ran_at = -1.0
        elif tracked.ran_at < 0:
            tracked.ran_at, tracked.ran_on, tracked.ran_by = sent_at, number, event.attempt
        self._learn(now, tracked, server, event, cost)
        usual = self.guard.usual if server.outliers.heard(now, sent_at, result) else math.inf
        if self.zones:
            self.zones.ended(now, server.line.zone, number, result, sent_at)
        if not self.hedging.lost(result, sent_at, server.outliers):
            adjust_limits(server.limit, self.fetches, event, out, fetch, cost, tracked.cls.aim, usual)
        self.fetches.over(fetch)
        if tracked.looked:
            self.hedging.ended(result, tracked.chance)
        if event.ended or tracked.ended:
            self._close(now, tracked)
        elif tracked.out == 0:
            self._go_on(now, tracked, server, result)

    def _learn(self, now: float, tracked: Tracked, server: Server, event: Outcome, cost: float) -> None:
        """Take from an outcome what it tells of the server, the origin, the class and the key."""
        result, sent_at = event.result, now - event.elapsed
        lag = event.elapsed - (cost if result == Result.OK else 0.0)
        # Where it has answered what was sent later, a time-out tells of one connection, no queue; nor does
        # the time at the origin.
        failed = result == Result.ERROR and (tracked.chance < 0.5 or lag > 2 * self.guard.usual)
        missed = event.note in (Note.MISS, Note.FETCH_OUT) or failed or (
            result == Result.TIMEOUT and tracked.chance < 0.5)
        at_origin = self.through and (tracked.req.is_write or missed)
        if at_origin and missed and result in (Result.OK, Result.ERROR, Result.TIMEOUT):
            self.guard.observe(now, result == Result.OK, max(0.0, lag), LATE_FETCH * tracked.cls.aim)
        if not at_origin and (
                result == Result.OK or (result == Result.TIMEOUT and sent_at > server.outliers.answered)):
            counts = server is not self.origin and server.outliers.heard_at >= sent_at
            self.views.met(now, server.seen, lag, counts)
        if result in (Result.CONNECT_FAILED, Result.RESET, Result.ERROR, Result.TIMEOUT):
            self._suspect(now, server, result, sent_at)
        elif result in (Result.OK, Result.MISS):
            server.outliers.well(sent_at)
        if server is self.origin:
            return self.guard.answered(now, result, event.elapsed)
        if result == Result.OK and (work := self.work.get(tracked.cls.name)):
            # Rendezvous are drawn anew when a kind's speed has changed.
            self.list_count += event.note == Note.HIT and self.speeds.observe(
                server.line.kind, event.elapsed / work.expected(tracked.req.cost))
            work.observe(tracked.req.cost, event.elapsed * self.speeds.of(server.line.kind))
        if result == Result.OK:
            self.pace.note(now)
            self.mean_work += (tracked.cost - self.mean_work) * 0.05
        failed = failed and at_origin  # nothing was stored there of what we counted
        if tracked.req.key and (failed or result in (Result.OK, Result.MISS)):
            hit = result == Result.OK and event.note != Note.MISS
            if tracked.role >= 0:
                self.prior[tracked.role] += (hit - self.prior[tracked.role]) * 0.05
            self._count(now, self._key(now, tracked.req.key), server.line.server,
                        -1.0 if failed else 0.0, 1.0 if hit else -1.0)

    def _suspect(self, now: float, server: Server, result: Result, sent_at: float) -> None:
        if server is not self.origin:
            server.outliers.failed(now, sent_at, result == Result.CONNECT_FAILED, self.rng.uniform(0.7, 1.3))

    def _go_on(self, now: float, tracked: Tracked, server: Server, result: Result) -> None:
        """Decide what follows an attempt that did not answer the client."""
        if result == Result.MISS:
            tracked.missed.append(server.line.server)
        elif (result not in (Result.ERROR, Result.RESET) or server.outliers.spoilt
                or tracked.failed_on == server.line.server):
            tracked.bad.append(server.line.server)
        # One broken connection or spoilt answer is no reason to go where the key is not cached.
        tracked.failed_on = server.line.server
        if server is self.origin and result in NEVER_RAN and self._is_origin_work(tracked):
            self._wait(now, tracked)
        elif server is self.origin or (result == Result.ERROR and self._fetch_chance(tracked) > 0.5):
            self._give_up(now, tracked)  # no unguarded retries at the origin
        else:
            self._route(now, tracked)

    # origin guard

    def _fetch(self, now: float, tracked: Tracked, entry: Key | None) -> None:
        """Ask the origin for what the caches lack: once for each key, the rest wait for that answer."""
        if self.set.mode != "aside" or self.origin is None:
            self._give_up(now, tracked)
        elif entry is not None and entry.fetcher not in (0, tracked.req.id) and tracked.missed:
            entry.waiting.append(tracked)
            self._hold(tracked, tracked.deadline - EARLY)
        elif self._is_too_much(now, tracked) or not self._send(now, tracked, self.origin):
            self._give_up(now, tracked)
        elif entry is not None:
            entry.fetcher = tracked.req.id
            for number in tracked.missed[:2]:
                self._count(now, entry, number, 0.0, 1.0)

    def _fetch_chance(self, tracked: Tracked) -> float:
        """How likely the server chosen would have to ask the origin for it, as far as we know."""
        chance = 1.0 if tracked.req.is_write else 1.0 - tracked.chance if tracked.req.key else 0.0
        return chance if self.through else 0.0

    def _is_too_much(self, now: float, tracked: Tracked) -> bool:
        """Tell whether the origin is better spared this fetch.

        Guards against a jam at the origin, in which its fetches hold the servers' places until they fail and
        what is cached can't be served either. What is worth least is let through last.
        """
        if self.through:
            chance, write = self._fetch_chance(tracked), tracked.req.is_write
            return not self.fetches.allows(now, chance, self.rng.random(), write)
        if self.rng.random() >= self.guard.now(now) ** (tracked.cls.worth / self.least_worth):
            return False
        self.guard.turned_away(now)
        return True

    def _wait(self, now: float, tracked: Tracked) -> None:
        """Let a write wait out a full origin, while there is time; guards against retries in step."""
        pause = 2 * self.guard.usual * (1 << tracked.waits) * self.rng.uniform(0.5, 1.5)
        tracked.waits += 1
        if tracked.waits > MAX_WAITS or now + pause + self.guard.usual > tracked.deadline:
            self._give_up(now, tracked)
        else:
            self._hold(tracked, now + pause)

    def _hold(self, tracked: Tracked, until: float) -> None:
        tracked.wake = until
        self.held[tracked.req.id] = tracked
        self.todo.append(SetTimer(until, tracked.req.id + 1))

    def _fetched(self, now: float, tracked: Tracked) -> None:
        """A fetch is over: those that waited ask the server where the value was stored."""
        entry = self.keys.get(tracked.req.key)
        if entry is None or entry.fetcher != tracked.req.id:
            return
        entry.fetcher = 0
        waiting, entry.waiting = entry.waiting, []
        for other in waiting:
            if self.held.pop(other.req.id, None) is not None:
                owner = self.servers[other.missed[0]]
                if not self._send(now, other, owner):
                    self._give_up(now, other)

    # answers

    def _give_up(self, now: float, tracked: Tracked) -> None:
        """Answer a request that is not served: refuse if the client may safely try again, else fail."""
        effect = tracked.cls.effect
        clean = tracked.out == 0 and tracked.ran_at < 0
        within = now - tracked.ran_at < tracked.cls.memory_span and tracked.cls.group == "all"
        if effect == Effect.REPEATABLE or clean or (effect == Effect.KEYED and within):
            self.todo.append(Refuse(tracked.req.id, self._come_back(tracked)))
        else:
            self.todo.append(Fail(tracked.req.id))
        self._close(now, tracked)

    def _come_back(self, tracked: Tracked) -> float:
        """Tell a refused client when to come again; spread by its id, that a crowd is not back in step."""
        spread = 0.5 + mix(tracked.req.id) / MASK
        return min(self.set.max_retry_after, COME_BACK * tracked.cls.aim * spread)

    def _close(self, now: float, tracked: Tracked) -> None:
        """The one place where a request ends; it is kept until its last attempt has come back."""
        if not tracked.ended:
            tracked.ended = True
            self.held.pop(tracked.req.id, None)
            for number, attempt in enumerate(tracked.tries):
                if attempt is not None and self.set.can_cancel and not tracked.streaming:
                    self.todo.append(Cancel(tracked.req.id, number))
        if tracked.out == 0:
            self.live.pop(tracked.req.id, None)
        self._fetched(now, tracked)
