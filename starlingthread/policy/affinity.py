"""The affinity counts: how often we asked each server for a key lately, and which servers own it."""

from __future__ import annotations

import math
from collections import OrderedDict

from ..balance.rendezvous import Candidate, Owner, Rendezvous
from ..events import Request
from ..state.records import Key
from .load import HALF_LIFE, LoadEstimate

OWNERS = 3  # owners of a key by stable hash, in the fleet and again in our zone
PRIOR = (0.8, 0.5)  # first guesses of the cached chance at an uncounted owner: in the fleet, in our zone
MAX_KEYS = 20000  # keys with counts; bounds memory, far above what one balancer sees in a cache's life
KEY_LIFE = 35000.0  # ms; a key that nobody asked for so long has no count left that matters
NUDGE = 0.5  # how far one observed hit or miss moves the cached chance


class Affinity:
    """This balancer's own decaying counts, and the owners of what it has not counted."""

    def __init__(self, load: LoadEstimate) -> None:
        self.fleet, self.load = load.fleet, load
        self.keys: OrderedDict[int, Key] = OrderedDict()
        self.owners, self.drawn_at = (
            Rendezvous(self.fleet.settings.router_index, OWNERS),
            -1,
        )  # the list that they are from
        self.prior = list(PRIOR)

    def entry(self, now: float, number: int) -> Key:
        entry = self.keys.get(number)
        if entry is None:
            entry = self.keys[number] = Key()
            for _ in range(2):  # one in, two out at most: the table shrinks again after a crowd of keys
                oldest, old = next(iter(self.keys.items()))
                worn = len(self.keys) > MAX_KEYS or now - old.used_at > KEY_LIFE
                if not worn or old.waiting or old.fetching_request:
                    break
                del self.keys[oldest]
        else:
            self.keys.move_to_end(number)
        entry.used_at = now
        return entry

    def counted(self, now: float, entry: Key) -> dict[int, tuple[float, float]]:
        """Return each counted server's decayed count and nudge; drop what has faded or is gone."""
        found, servers, left_out = {}, self.fleet.servers, self.fleet.in_maintenance
        for number, (count, at, nudge) in list(entry.counts.items()):
            count *= math.exp2((at - now) / HALF_LIFE)
            if count < 0.1 or number not in servers or number in left_out or servers[number].unavailable:
                del entry.counts[number]
            else:
                found[number] = (count, nudge)
        return found

    def count(self, now: float, entry: Key, server: int, add: float, nudge: float) -> None:
        """Add to a server's count, and move its cached chance up (1), down (-1) or not (0)."""
        count, at, old = entry.counts.get(server, (0.0, now, 0.0))
        count = max(0.0, count * math.exp2((at - now) / HALF_LIFE) + add)
        entry.counts[server] = (count, now, old + (nudge - old) * NUDGE if nudge else old)

    def owners_of(self, now: float, entry: Key, req: Request) -> list[Owner]:
        """Return a key's owners by weighted stable hash: every balancer with the same list names the same."""
        fleet, version = self.fleet, self.fleet.list_version + self.load.speed_steps
        if self.drawn_at != version:
            self.drawn_at = version
            self.owners.update(
                *(
                    [
                        Candidate(s.salt, s.endpoint.weight * self.load.speed(s), s.endpoint.server)
                        for s in fleet.ready
                        if s.endpoint.zone in zones
                    ]
                    for zones in ({s.endpoint.zone for s in fleet.ready}, {fleet.settings.zone})
                )
            )
        demand = fleet.demand if fleet.settings.hot_keys else None
        return entry.owners.owners(now, req.key, req.is_write, self.owners, demand)
