"""The failover's side of the router: its datagrams, its timer, and a line in the log at each change of the plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.deadlines import Deadline
from ..core.router import Router
from ..logs import log
from ..options import Failover, Members
from .members import BadKeyError, MemberActor, read_keys
from .peers import PeerActor

if TYPE_CHECKING:  # else only once it is on: who does without it pays nothing for it
    from ..failover.zones import ZoneFailover

VERSION = 0xA2  # first byte of its datagrams, as in failover/wire.py
TICK = 100.0  # ms


class FailoverActor:
    """Owns what the module knows of zones while the operator's file has it on."""

    def __init__(self, router: Router, peers: PeerActor, members: MemberActor, me: int) -> None:
        self.router, self.peers, self.members, self.me = router, peers, members, me
        self.zones: ZoneFailover | None = None
        self.refused: dict[str, int] = {}  # datagrams that changed nothing, by why
        self._keys: tuple[bytes, ...] = ()
        self._names: tuple[str, ...] = ()
        self._tells = False
        self._due: Deadline | None = None

    def apply_settings(self, own: Failover, members: Members, names: tuple[str, ...], allowed: bool) -> None:
        """Turn it on or off, or go over to other regions or keys; what is no good leaves all as it was.

        names: all zones that the configuration names; allowed: whether routers may send messages to one another.
        """
        if not own.enabled:
            self.stop()
            return
        from ..failover.topology import Topology, TopologyError
        from ..failover.zones import ZoneFailover

        try:
            topology, keys = Topology(names, own.regions), read_keys(members)
            if unknown := sorted(set(own.drained_zones) - set(names)):
                raise TopologyError(f"closed: no zone {unknown[0]!r} in the configuration")
        except (TopologyError, BadKeyError) as error:
            log.error("failover-failed", why=str(error))
            return
        if topology.unknown:
            log.warning("failover-unknown-zones", zones=",".join(topology.unknown))
        self._tells, self._keys, self._names = allowed and len(self.peers.peers) > 1, keys, names
        if not self._tells:
            log.warning("failover-alone", why="messages between routers are not allowed, or there are no others")
        if self.zones is None:
            self.zones = ZoneFailover(self.me, self.members.alive())
            self.zones.set_servers((s.endpoint.zone, s.endpoint.server) for s in self.router.balancer.fleet.ready)
            self.members.on_change = self._know
            self.router.balancer.fleet.zones = self.zones
            self._set()
        self.zones.set_members(self.members.alive())
        self.zones.topology, self.zones.region_round_trip_ms = topology, own.region_round_trip_ms
        self.zones.drained = frozenset(names.index(zone) for zone in own.drained_zones)
        if self._tells:
            self.peers.handlers[VERSION] = self._received
        else:
            self.peers.handlers.pop(VERSION, None)

    def stop(self) -> None:
        """Say and hear no more; the module goes on without."""
        self.router.deadlines.clear(self._due)
        self.peers.handlers.pop(VERSION, None)
        self.zones, self.router.balancer.fleet.zones, self._due = None, None, None

    def snapshot(self) -> dict[str, object]:
        """Return what operators read; nothing while it is off."""
        if self.zones is None:
            return {}
        shares = self.zones.closed_shares(self.router.clock.now())
        return {
            "zones_open": {self._name(zone): round(share, 3) for zone, share in sorted(shares.items())},
            "failover_refused": sum(self.refused.values()),
        }

    def _name(self, zone: int) -> str:
        return self._names[zone] if 0 <= zone < len(self._names) else str(zone)

    def _know(self) -> None:
        if self.zones is not None:
            self.zones.set_members(self.members.alive())

    def _received(self, sender: int, data: bytes) -> None:
        from ..failover.wire import decode
        from ..membership.wire import WireError

        if self.zones is None:
            return
        try:
            words = decode(data, self._keys, sender, len(self._names))
        except WireError as error:
            self.refused[str(error)] = self.refused.get(str(error), 0) + 1
            return
        self.zones.receive_votes(self.router.clock.now(), words)
        self._tell()

    def _set(self) -> None:
        self._due = self.router.deadlines.set(self.router.clock.now() + TICK, self._tick)

    def _tick(self) -> None:
        if self.zones is not None:
            self.zones.tick(self.router.clock.now())
            self._tell()
            self._set()

    def _tell(self) -> None:
        """Tell all others what we have to say, and the log what has changed."""
        from ..failover.wire import MOST_WORDS, encode

        assert self.zones is not None
        words, self.zones.outgoing_votes = self.zones.outgoing_votes, []
        while words and self._tells:
            self.peers.send(None, encode(self.me, words[:MOST_WORDS], self._keys[0]))
            words = words[MOST_WORDS:]
        for change in self.zones.take_changes():
            log.warning(
                "zone-lost" if change.lost else "zone-back",
                zone=self._name(change.zone),
                lost=change.lost_votes,
                words=change.votes,
            )
