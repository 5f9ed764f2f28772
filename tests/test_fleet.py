"""Many routers together: what each one does is harmless, and an overload or an idle server shows in the sum only."""

from __future__ import annotations

from bisect import insort
from collections import Counter
from itertools import accumulate
from random import Random

from starlingthread import Balancer
from starlingthread.actions import Send
from starlingthread.events import AttemptResult, CacheStatus, Endpoint, EndpointList, EndpointListKind, Outcome, Request
from starlingthread.settings import Idempotency, RequestClass, Settings

ROUTERS, SERVERS, KEYS = 40, 60, 3000
TIMES = (50.0, 75.0)  # ms that a machine of each kind takes on average
POPULARITY = list(accumulate(1 / rank for rank in range(5, KEYS + 5)))
WINDOW = 2000.0  # ms in which a server in slow start may be overloaded
SETTINGS = Settings(
    classes=(RequestClass("read", Idempotency.IDEMPOTENT, latency_objective=1200.0, deadline=4000.0),),
    router_count=ROUTERS,
    max_attempts=4,
    drain_grace=400.0,
    initial_capacity_share=0.15,
    slow_start_duration=22000.0,
    overload_window=WINDOW,
)


class Fleet:
    """Many routers under one clock, servers of two kinds, and clients with a skewed choice of keys."""

    def __init__(self, settings: Settings = SETTINGS, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.now, self.last_id = 1e6, 0
        self.routers = [
            Balancer(settings._replace(router_index=number, zone=number % 3), seed * 1000 + number)
            for number in range(ROUTERS)
        ]
        self.sends: list[tuple[float, int]] = []
        self.rejected = 0
        self.out: list[tuple[float, int, Balancer, Outcome]] = []
        self.kinds = {1000 + n * 7919: n // 3 % 2 for n in range(SERVERS)}
        for router in self.routers:
            router.start(self.now)
        self.list_to_all(
            [Endpoint(server, zone=n % 3, kind=kind) for n, (server, kind) in enumerate(self.kinds.items())]
        )

    def list_to_all(self, members: list[Endpoint]) -> None:
        self.members = members
        for router in self.routers:
            router.handle(self.now, EndpointList(EndpointListKind.FULL, 1, tuple(members)))

    def restart(self, servers: list[int]) -> None:
        """Let some servers start anew, now."""
        self.list_to_all([m._replace(started=self.now) if m.server in servers else m for m in self.members])

    def play(self, span: float, per_second: float = 900.0) -> None:
        """Let clients ask for a while; their requests are spread over all routers."""
        until = self.now + span
        while True:
            self.now += self.rng.expovariate(per_second / 1000.0)
            while self.out and self.out[0][0] <= self.now:
                at, _, router, outcome = self.out.pop(0)
                router.handle(at, outcome)
            if self.now >= until:
                return
            self.last_id += 1
            key = self.rng.choices(range(1, KEYS + 1), cum_weights=POPULARITY)[0]
            router = self.rng.choice(self.routers)
            key = key * 0x9E3779B97F4A7C15 % 2**64
            actions = router.handle(self.now, Request(self.last_id, 0, 4000.0, key=key))
            sent = [a for a in actions if isinstance(a, Send)]
            self.rejected += not sent
            for send in sent:
                self.sends.append((self.now, send.server))
                took = TIMES[self.kinds[send.server]] * self.rng.expovariate(1.0)
                insort(
                    self.out,
                    (
                        self.now + took,
                        self.last_id,
                        router,
                        Outcome(send.id, 0, send.server, AttemptResult.OK, took, True, CacheStatus.HIT),
                    ),
                )


def test_servers_in_slow_start_get_what_they_can_take_from_all_routers_together() -> None:
    """Their share of keys was drawn by the same hash as the owners, whose hashes are the greatest: none passed."""
    fleet = Fleet()
    fleet.play(5000.0)
    restarted = [m.server for m in fleet.members[: SERVERS // 3]]
    fleet.restart(restarted)
    began = fleet.now
    fleet.play(8000.0)
    to_restarted = [(at, server) for at, server in fleet.sends if at >= began and server in restarted]
    # Slow start lets them do 0.15 to 0.46 of their work, 0.3 on average. Keys with counts elsewhere stay there.
    usual = len([s for s in fleet.sends if s[0] >= began]) / SERVERS * len(restarted)
    assert 0.3 * usual / 5 < len(to_restarted) < 0.3 * usual
    assert len({server for _, server in to_restarted}) == len(restarted)


def test_routers_notified_of_a_restart_at_once_do_not_all_send_at_once() -> None:
    """Each allowed itself one request a window, which is many for the fleet: a hot key is requested everywhere."""
    fleet = Fleet()
    fleet.play(5000.0)
    restarted = [m.server for m in fleet.members]
    fleet.restart(restarted)
    began = fleet.now
    fleet.play(6000.0, per_second=1800.0)
    windows = Counter((int((at - began) / WINDOW), server) for at, server in fleet.sends if at >= began)
    fair = 1800.0 * WINDOW / 1000.0 / SERVERS
    # A server with a load of 0.6 while warm is overloaded when it gets over 4 x 0.15 of that, or 1.0 of it.
    assert max(count for (window, _), count in windows.items() if window == 0) < 1.0 * fair


def test_faster_machines_get_more_though_the_list_gives_all_the_same_weight() -> None:
    """Half the keys lived on machines a third slower, which were full while the others were half idle."""
    fleet = Fleet()
    fleet.play(6000.0)
    began = fleet.now
    fleet.play(6000.0)
    to_kind = Counter(fleet.kinds[server] for at, server in fleet.sends if at >= began)
    assert 0.5 < to_kind[1] / to_kind[0] < 0.85


def test_routers_agree_on_the_speed_of_kinds() -> None:
    """A router with other estimates picks other owners, and each such owner is one more replica to fetch."""
    fleet = Fleet()
    fleet.play(15000.0)
    assert all(router.load.machine_speeds.speed(0) > 0.9 for router in fleet.routers)
    speeds = sorted(router.load.machine_speeds.speed(1) for router in fleet.routers)
    assert speeds[35] / speeds[4] < 1.5 and 0.6 < speeds[ROUTERS // 2] < 0.75
