"""The zone failover actor: its datagrams, timer and settings, and a log line for each change of the failover plan."""

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

if TYPE_CHECKING:  # these modules are imported at run time only when failover is enabled, to avoid their cost otherwise
    from ..failover.plan import PlanChange
    from ..failover.zones import ZoneFailover
    from ..membership.datagram import RejectReason

VERSION = 0xA2  # first byte of a failover datagram; equals VERSION in failover/codec.py
TICK_INTERVAL_MS = 100.0


class FailoverActor:
    """Runs the decision module's zone failover while the operator's options file enables it."""

    def __init__(self, router: Router, peers: PeerActor, members: MembershipActor, router_index: int) -> None:
        self.router = router
        self.peers = peers
        self.members = members
        self.router_index = router_index
        self.zone_failover: ZoneFailover | None = None
        self.rejected: Counter[RejectReason] = Counter()  # number of rejected datagrams by reason
        self._keys: tuple[bytes, ...] = ()
        self._zone_names: tuple[str, ...] = ()
        self._exchanges_votes = False
        self._timer = Timer(router.deadlines, self._tick)

    def apply_settings(
        self,
        options: FailoverOptions,
        membership_options: MembershipOptions,
        zone_names: tuple[str, ...],
        peer_messages_allowed: bool,
    ) -> None:
        """Start, stop or reconfigure the failover; with invalid options, keep the current state.

        zone_names: all zones of the configuration.
        peer_messages_allowed: whether the platform permits messages between routers.
        """
        if not options.enabled:
            self.stop()
            return
        from ..failover.topology import Topology, TopologyError

        try:
            topology = Topology(zone_names, options.regions)
            keys = read_peer_keys(membership_options)
            _check_drained_zones(options, zone_names)
        except (TopologyError, PeerKeyError) as error:
            log.error("failover-failed", reason=str(error))
            return
        if topology.unknown_zones:
            log.warning("failover-unknown-zones", zones=",".join(topology.unknown_zones))
        self._keys = keys
        self._zone_names = zone_names
        zone_failover = self.zone_failover or self._start()
        zone_failover.set_members(self.members.alive_members())
        zone_failover.topology = topology
        zone_failover.region_round_trip_ms = options.region_round_trip_ms
        zone_failover.drained = frozenset(zone_names.index(zone) for zone in options.drained_zones)
        self._set_vote_exchange(peer_messages_allowed and len(self.peers.addresses) > 1)

    def _start(self) -> ZoneFailover:
        from ..failover.zones import ZoneFailover

        fleet = self.router.balancer.fleet
        self.zone_failover = ZoneFailover(self.router_index, self.members.alive_members())
        self.zone_failover.set_servers((server.endpoint.zone, server.endpoint.server) for server in fleet.ready)
        self.members.on_change = self._on_members_changed
        fleet.zones = self.zone_failover
        self._restart_timer()
        return self.zone_failover

    def _set_vote_exchange(self, enabled: bool) -> None:
        self._exchanges_votes = enabled
        if enabled:
            self.peers.handlers[VERSION] = self._on_datagram
        else:
            log.warning(
                "failover-uncoordinated",
                reason="messages between routers are not allowed, or no other router is configured",
            )
            self.peers.handlers.pop(VERSION, None)

    def stop(self) -> None:
        """Stop sending and receiving votes; the decision module continues without failover."""
        self._timer.cancel()
        self.peers.handlers.pop(VERSION, None)
        self.zone_failover = None
        self.router.balancer.fleet.zones = None

    def snapshot(self) -> dict[str, object]:
        """Return the telemetry fields of the failover; empty while it is disabled."""
        if self.zone_failover is None:
            return {}
        shares = self.zone_failover.open_shares(self.router.clock.now())
        return {
            "zones_open": {self._zone_name(zone): round(share, 3) for zone, share in sorted(shares.items())},
            "failover_refused": self.rejected.total(),
        }

    def _zone_name(self, zone: int) -> str:
        return self._zone_names[zone] if 0 <= zone < len(self._zone_names) else str(zone)

    def _on_members_changed(self) -> None:
        if self.zone_failover is not None:
            self.zone_failover.set_members(self.members.alive_members())

    def _on_datagram(self, sender: int, data: bytes) -> None:
        from ..failover.codec import decode
        from ..membership.datagram import DatagramError

        if self.zone_failover is None:
            return
        try:
            votes = decode(data, self._keys, sender, len(self._zone_names))
        except DatagramError as error:
            self.rejected[error.reason] += 1
            return
        self.zone_failover.receive_votes(self.router.clock.now(), votes)
        self._publish(self.zone_failover)

    def _restart_timer(self) -> None:
        self._timer.restart(self.router.clock.now() + TICK_INTERVAL_MS)

    def _tick(self) -> None:
        if self.zone_failover is not None:
            self.zone_failover.tick(self.router.clock.now())
            self._publish(self.zone_failover)
            self._restart_timer()

    def _publish(self, zone_failover: ZoneFailover) -> None:
        """Send the outgoing votes to all other routers, and log the changes of the failover plan."""
        from ..failover.codec import MAX_VOTES, encode

        votes = zone_failover.take_outgoing_votes()
        if self._exchanges_votes:
            for start in range(0, len(votes), MAX_VOTES):
                self.peers.send(None, encode(self.router_index, votes[start : start + MAX_VOTES], self._keys[0]))
        for change in zone_failover.take_changes():
            self._log_change(change)

    def _log_change(self, change: PlanChange) -> None:
        log.warning(
            "zone-lost" if change.lost else "zone-recovered",
            zone=self._zone_name(change.zone),
            lost_votes=change.lost_votes,
            votes=change.votes,
        )


def _check_drained_zones(options: FailoverOptions, zone_names: tuple[str, ...]) -> None:
    """Raise a TopologyError if the operator's options file drains a zone that is not in the configuration."""
    from ..failover.topology import TopologyError

    unknown = sorted(set(options.drained_zones) - set(zone_names))
    if unknown:
        raise TopologyError(f"drained_zones: no zone {unknown[0]!r} in the configuration")
