"""The membership's side of the router: its datagrams, its timer, and a line in the log at each change."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from ..core.deadlines import Deadline
from ..core.router import Router
from ..logs import log
from ..options import Members
from .peers import PeerActor

if TYPE_CHECKING:  # else only once it is on: who does without it pays nothing for it
    from ..membership.swim import Membership

VERSION = 0xA1  # first byte of the membership's datagrams, as in membership/wire.py
LEAST_KEY = 16  # bytes
MOST_KEY = 64  # bytes, what BLAKE2b takes
NAMES = ("member-up", "member-suspected", "member-down")  # by membership.wire.State


class BadKeyError(Exception):
    """A file holds no key; the text says which and why."""


def read_keys(own: Members) -> tuple[bytes, ...]:
    """Return the keys that the operator's file names, the one in use first. Raise a BadKeyError."""
    keys = []
    for name in filter(None, (own.key_file, own.old_key_file)):
        try:
            key = Path(name).read_bytes().strip()
        except OSError as error:
            raise BadKeyError(f"{name}: {error.strerror}") from None
        if not LEAST_KEY <= len(key) <= MOST_KEY:
            raise BadKeyError(f"{name}: expected {LEAST_KEY} to {MOST_KEY} bytes, found {len(key)}")
        keys.append(key)
    return tuple(keys) or (b"",)


class MemberActor:
    """Owns the membership while the operator's file has it on."""

    def __init__(self, router: Router, peers: PeerActor, me: int) -> None:
        self.router, self.peers, self.me = router, peers, me
        self.membership: Membership | None = None
        self._own = Members()
        self._due: Deadline | None = None
        self.on_change: Callable[[], None] = lambda: None  # called when somebody is held dead or alive again

    def alive(self) -> list[int]:
        """Return the routers that live, as far as we know; all, while the membership is off."""
        return self.membership.alive() if self.membership is not None else list(range(len(self.peers.peers)))

    def apply_settings(self, own: Members, allowed: bool) -> None:
        """Turn it on or off, or go over to other keys; a key that is no good leaves all as it was."""
        count, wanted = len(self.peers.peers), own.enabled
        if wanted and (not allowed or count < 2):
            log.warning(
                "members-off",
                why="messages between routers are not allowed"
                if not allowed
                else "the configuration names no other routers",
            )
            wanted = False
        try:
            keys = read_keys(own) if wanted else ()
        except BadKeyError as error:
            log.error("members-failed", why=str(error))
            return
        old, self._own = self._own, own
        if not wanted:
            self.stop()
            return
        from ..membership.swim import Membership

        if self.membership is None or self.membership.members != count or old.period_ms != own.period_ms:
            self.stop()
            self.membership = Membership(
                self.me, count, keys, self.router.balancer.fleet.rng.randrange(1 << 30), self.peers.send, own.period_ms
            )
            self.membership.start(self.router.clock.now())
            self.peers.handlers[VERSION] = self._received
            self._set()
        else:
            self.membership.keys = keys

    def stop(self) -> None:
        """Tell the others that we go, and say and hear no more."""
        if self.membership is not None:
            self.membership.leave()
        self.pause()

    def pause(self) -> None:
        """Say and hear no more: another process of ours does."""
        self.router.deadlines.clear(self._due)
        self.peers.handlers.pop(VERSION, None)
        self.membership, self._due = None, None

    def snapshot(self) -> dict[str, object]:
        """Return what operators read; nothing while it is off."""
        if self.membership is None:
            return {}
        return {
            "members_alive": len(self.membership.alive()),
            "members": self.membership.members,
            "member_doubt": self.membership.doubt,
            "member_refused": sum(self.membership.refused.values()),
        }

    def _received(self, sender: int, data: bytes) -> None:
        if self.membership is not None:
            self.membership.receive(self.router.clock.now(), sender, data)
            self._told()

    def _tick(self) -> None:
        if self.membership is not None:
            self.membership.tick(self.router.clock.now())
            self._told()

    def _set(self) -> None:
        if self.membership is not None:
            self.router.deadlines.clear(self._due)
            self._due = self.router.deadlines.set(self.membership.due, self._tick)

    def _told(self) -> None:
        assert self.membership is not None
        changes, self.membership.changes = self.membership.changes, []
        alive = len(self.membership.alive())
        if changes:
            self.on_change()
        for change in changes:
            log.info(NAMES[change.state], router=change.member, alive=alive, of=self.membership.members)
        self._set()
