"""The group membership actor: its datagrams, timer and settings, and a log line for each change of a member's state."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..core.router import Router
from ..logs import log
from ..options import MembershipOptions
from .peer_keys import PeerKeyError, read_peer_keys
from .peers import PeerActor
from .timer import Timer

if TYPE_CHECKING:  # the module is imported at run time only when membership is enabled, to avoid its cost otherwise
    from ..membership.swim import Membership

VERSION = 0xA1  # first byte of a membership datagram; equals VERSION in membership/codec.py
LOG_EVENTS = ("member-up", "member-suspected", "member-down")  # event names, indexed by membership.messages.MemberState


class MembershipActor:
    """Runs the group membership protocol while the operator's options file enables it."""

    def __init__(self, router: Router, peers: PeerActor, router_index: int) -> None:
        self.router = router
        self.peers = peers
        self.router_index = router_index
        self.membership: Membership | None = None
        self.on_change: Callable[[], None] = lambda: None  # callback after a member's state has changed
        self._options = MembershipOptions()
        self._timer = Timer(router.deadlines, self._tick)

    def alive_members(self) -> list[int]:
        """Return the indexes of routers not considered dead; those of all routers while membership is disabled."""
        if self.membership is None:
            return list(range(len(self.peers.addresses)))
        return self.membership.alive_members()

    def apply_settings(self, options: MembershipOptions, peer_messages_allowed: bool) -> None:
        """Start, stop or reconfigure the membership; with an invalid key, keep the current state.

        peer_messages_allowed: whether the platform permits messages between routers.
        """
        enabled = options.enabled and self._can_run(peer_messages_allowed)
        try:
            keys = read_peer_keys(options) if enabled else ()
        except PeerKeyError as error:
            log.error("membership-failed", reason=str(error))
            return
        previous_options, self._options = self._options, options
        if not enabled:
            self.stop()
        elif self.membership is None or self._must_restart(previous_options):
            self.stop()
            self._start(keys)
        else:
            self.membership.keys = keys

    def _can_run(self, peer_messages_allowed: bool) -> bool:
        if not peer_messages_allowed:
            log.warning("membership-disabled", reason="messages between routers are not allowed")
            return False
        if len(self.peers.addresses) < 2:
            log.warning("membership-disabled", reason="the configuration names no other routers")
            return False
        return True

    def _must_restart(self, previous_options: MembershipOptions) -> bool:
        assert self.membership is not None
        return (
            self.membership.member_count != len(self.peers.addresses)
            or previous_options.period_ms != self._options.period_ms
        )

    def _start(self, keys: tuple[bytes, ...]) -> None:
        from ..membership.swim import Membership

        self.membership = Membership(
            self.router_index,
            len(self.peers.addresses),
            keys,
            self.router.balancer.fleet.rng.randrange(1 << 30),
            self.peers.send,
            self._options.period_ms,
        )
        self.membership.start(self.router.clock.now())
        self.peers.handlers[VERSION] = self._on_datagram
        self._timer.restart(self.membership.next_tick_at)

    def stop(self) -> None:
        """Leave the group: announce it to the other members, then stop sending and receiving."""
        if self.membership is not None:
            self.membership.leave()
        self.pause()

    def pause(self) -> None:
        """Stop sending and receiving without announcing it, as another process continues this router's membership."""
        self._timer.cancel()
        self.peers.handlers.pop(VERSION, None)
        self.membership = None

    def snapshot(self) -> dict[str, object]:
        """Return the telemetry fields of the membership; empty while it is disabled."""
        if self.membership is None:
            return {}
        return {
            "members_alive": len(self.membership.alive_members()),
            "members": self.membership.member_count,
            "member_doubt": self.membership.local_health.score,
            "member_refused": self.membership.rejected.total(),
        }

    def _on_datagram(self, sender: int, data: bytes) -> None:
        if self.membership is not None:
            self.membership.receive(self.router.clock.now(), sender, data)
            self._publish(self.membership)

    def _tick(self) -> None:
        if self.membership is not None:
            self.membership.tick(self.router.clock.now())
            self._publish(self.membership)

    def _publish(self, membership: Membership) -> None:
        """Report and log the state changes of members, and set the timer for the next tick."""
        changes = membership.take_changes()
        alive = len(membership.alive_members())
        if changes:
            self.on_change()
        for change in changes:
            log.info(LOG_EVENTS[change.state], router=change.member, alive=alive, total=membership.member_count)
        self._timer.restart(membership.next_tick_at)
