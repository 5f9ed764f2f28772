"""The actor of the membership: its datagrams, timer and settings, and a log line for each state change."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..core.router import Router
from ..logs import log
from ..options import MembershipOptions
from .peer_keys import PeerKeyError, read_peer_keys
from .peers import PeerActor
from .timer import Timer

if TYPE_CHECKING:  # imported at run time only once the membership is enabled, so that it costs nothing otherwise
    from ..membership.swim import Membership

VERSION = 0xA1  # first byte of the membership's datagrams, as in membership/codec.py
LOG_EVENTS = ("member-up", "member-suspected", "member-down")  # by membership.messages.MemberState


class MembershipActor:
    """Owns the membership while it is enabled in the operator's file."""

    def __init__(self, router: Router, peers: PeerActor, router_index: int) -> None:
        self.router = router
        self.peers = peers
        self.router_index = router_index
        self.membership: Membership | None = None
        self.on_change: Callable[[], None] = lambda: None  # called when a member's state has changed
        self._options = MembershipOptions()
        self._timer = Timer(router.deadlines, self._tick)

    def alive_members(self) -> list[int]:
        """Return the routers that are not believed dead; all of them while the membership is disabled."""
        if self.membership is None:
            return list(range(len(self.peers.peers)))
        return self.membership.alive_members()

    def apply_settings(self, options: MembershipOptions, allowed: bool) -> None:
        """Start, stop or reconfigure the membership; with an invalid key everything stays as it was.

        allowed: whether the platform permits messages between routers.
        """
        enabled = options.enabled and self._can_run(allowed)
        try:
            keys = read_peer_keys(options) if enabled else ()
        except PeerKeyError as error:
            log.error("membership-failed", reason=str(error))
            return
        previous, self._options = self._options, options
        if not enabled:
            self.stop()
        elif self.membership is None or self._must_restart(previous):
            self.stop()
            self._start(keys)
        else:
            self.membership.keys = keys

    def _can_run(self, allowed: bool) -> bool:
        if not allowed:
            log.warning("membership-disabled", reason="messages between routers are not allowed")
            return False
        if len(self.peers.peers) < 2:
            log.warning("membership-disabled", reason="the configuration names no other routers")
            return False
        return True

    def _must_restart(self, previous: MembershipOptions) -> bool:
        assert self.membership is not None
        return self.membership.member_count != len(self.peers.peers) or previous.period_ms != self._options.period_ms

    def _start(self, keys: tuple[bytes, ...]) -> None:
        from ..membership.swim import Membership

        self.membership = Membership(
            self.router_index,
            len(self.peers.peers),
            keys,
            self.router.balancer.fleet.rng.randrange(1 << 30),
            self.peers.send,
            self._options.period_ms,
        )
        self.membership.start(self.router.clock.now())
        self.peers.handlers[VERSION] = self._on_datagram
        self._timer.restart(self.membership.next_tick_at)

    def stop(self) -> None:
        """Leave the membership: announce it to the others, then neither send nor receive."""
        if self.membership is not None:
            self.membership.leave()
        self.pause()

    def pause(self) -> None:
        """Neither send nor receive, without an announcement: another process takes over the membership."""
        self._timer.cancel()
        self.peers.handlers.pop(VERSION, None)
        self.membership = None

    def snapshot(self) -> dict[str, object]:
        """Return the figures for operators; none while the membership is disabled."""
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
        """Report the state changes, and set the timer for the next tick."""
        changes = membership.take_changes()
        alive = len(membership.alive_members())
        if changes:
            self.on_change()
        for change in changes:
            log.info(LOG_EVENTS[change.state], router=change.member, alive=alive, total=membership.member_count)
        self._timer.restart(membership.next_tick_at)
