"""The actor of the zone failover: its datagrams, timer and settings, and a log line for each change of the plan."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..core.router import Router
from ..logs import log
from ..options import FailoverOptions, MembershipOptions
from .members import MembershipActor
from .peer_keys import PeerKeyError, read_peer_keys
from .peers import PeerActor
from .timer import Timer

if TYPE_CHECKING:  # imported at run time only once the failover is enabled, so that it costs nothing otherwise
    from ..failover.plan import PlanChange
    from ..failover.zones import ZoneFailover
    from ..membership.datagram import RejectReason

VERSION = 0xA2  # first byte of the failover's datagrams, as in failover/codec.py
TICK_INTERVAL = 100.0  # ms


class FailoverActor:
    """Owns the zone failover of the decision module while it is enabled in the operator's file."""

    def __init__(self, router: Router, peers: PeerActor, members: MembershipActor, router_index: int) -> None:
        self.router = router
        self.peers = peers
        self.members = members
        self.router_index = router_index
        self.zones: ZoneFailover | None = None
        self.rejected: Counter[RejectReason] = Counter()  # datagrams that changed nothing
        self._keys: tuple[bytes, ...] = ()
        self._zone_names: tuple[str, ...] = ()
        self._exchanges_votes = False
        self._timer = Timer(router.deadlines, self._tick)

    def apply_settings(
        self, options: FailoverOptions, members: MembershipOptions, zone_names: tuple[str, ...], allowed: bool
    ) -> None:
        """Start, stop or reconfigure the failover; with invalid options everything stays as it was.

        zone_names: all zones of the configuration; allowed: whether the platform permits messages between routers.
        """
        if not options.enabled:
            self.stop()
            return
        from ..failover.topology import Topology, TopologyError

        try:
            topology = Topology(zone_names, options.regions)
            keys = read_peer_keys(members)
            _check_drained_zones(options, zone_names)
        except (TopologyError, PeerKeyError) as error:
            log.error("failover-failed", reason=str(error))
            return
        if topology.unknown_zones:
            log.warning("failover-unknown-zones", zones=",".join(topology.unknown_zones))
        self._keys = keys
        self._zone_names = zone_names
        zones = self.zones or self._start()
        zones.set_members(self.members.alive_members())
        zones.topology = topology
        zones.region_round_trip_ms = options.region_round_trip_ms
        zones.drained = frozenset(zone_names.index(zone) for zone in options.drained_zones)
        self._set_vote_exchange(allowed and len(self.peers.peers) > 1)

    def _start(self) -> ZoneFailover:
        from ..failover.zones import ZoneFailover

        fleet = self.router.balancer.fleet
        self.zones = ZoneFailover(self.router_index, self.members.alive_members())
        self.zones.set_servers((server.endpoint.zone, server.endpoint.server) for server in fleet.ready)
        self.members.on_change = self._on_members_changed
        fleet.zones = self.zones
        self._restart_timer()
        return self.zones

    def _set_vote_exchange(self, enabled: bool) -> None:
        self._exchanges_votes = enabled
        if enabled:
            self.peers.handlers[VERSION] = self._on_datagram
        else:
            log.warning(
                "failover-uncoordinated", reason="messages between routers are not allowed, or there are no others"
            )
            self.peers.handlers.pop(VERSION, None)

    def stop(self) -> None:
        """Neither send nor receive votes; the decision module goes on without the failover."""
        self._timer.cancel()
        self.peers.handlers.pop(VERSION, None)
        self.zones = None
        self.router.balancer.fleet.zones = None

    def snapshot(self) -> dict[str, object]:
        """Return the figures for operators; none while the failover is disabled."""
        if self.zones is None:
            return {}
        shares = self.zones.open_shares(self.router.clock.now())
        return {
            "zones_open": {self._zone_name(zone): round(share, 3) for zone, share in sorted(shares.items())},
            "failover_refused": self.rejected.total(),
        }

    def _zone_name(self, zone: int) -> str:
        return self._zone_names[zone] if 0 <= zone < len(self._zone_names) else str(zone)

    def _on_members_changed(self) -> None:
        if self.zones is not None:
            self.zones.set_members(self.members.alive_members())

    def _on_datagram(self, sender: int, data: bytes) -> None:
        from ..failover.codec import decode
        from ..membership.datagram import DatagramError

        if self.zones is None:
            return
        try:
            votes = decode(data, self._keys, sender, len(self._zone_names))
        except DatagramError as error:
            self.rejected[error.reason] += 1
            return
        self.zones.receive_votes(self.router.clock.now(), votes)
        self._publish(self.zones)

    def _restart_timer(self) -> None:
        self._timer.restart(self.router.clock.now() + TICK_INTERVAL)

    def _tick(self) -> None:
        if self.zones is not None:
            self.zones.tick(self.router.clock.now())
            self._publish(self.zones)
            self._restart_timer()

    def _publish(self, zones: ZoneFailover) -> None:
        """Send the outgoing votes to all other routers, and log the changes of the plan."""
        from ..failover.codec import MAX_VOTES, encode

        votes = zones.take_outgoing_votes()
        if self._exchanges_votes:
            for start in range(0, len(votes), MAX_VOTES):
                self.peers.send(None, encode(self.router_index, votes[start : start + MAX_VOTES], self._keys[0]))
        for change in zones.take_changes():
            self._log_change(change)

    def _log_change(self, change: PlanChange) -> None:
        log.warning(
            "zone-lost" if change.lost else "zone-recovered",
            zone=self._zone_name(change.zone),
            lost_votes=change.lost_votes,
            votes=change.votes,
        )


def _check_drained_zones(options: FailoverOptions, zone_names: tuple[str, ...]) -> None:
    """Raise a TopologyError if the operator's file drains a zone that the configuration does not name."""
    from ..failover.topology import TopologyError

    unknown = sorted(set(options.drained_zones) - set(zone_names))
    if unknown:
        raise TopologyError(f"drained_zones: no zone {unknown[0]!r} in the configuration")
