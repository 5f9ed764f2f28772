"""What one member believes of the others, and the order in which it probes them."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from .messages import MemberState, MemberUpdate

DEAD_PROBE_INTERVAL_PERIODS = 8  # probe periods; lets the halves of a healed partition find each other


class StateChange(NamedTuple):
    """The believed state of a member has changed."""

    member: int
    state: MemberState


class MemberRecord:
    """The belief about one member."""

    __slots__ = ("incarnation", "state", "state_since")

    def __init__(self) -> None:
        self.state = MemberState.ALIVE
        self.incarnation = 0
        self.state_since = 0.0  # ms

    def is_superseded_by(self, update: MemberUpdate) -> bool:
        """Tell whether an update takes precedence: by incarnation, then by state.

        This is a total order, so members that have received the same updates, in any order and any number of times,
        hold the same beliefs.
        """
        return (update.incarnation, update.state) > (self.incarnation, self.state)


class ProbeSchedule:
    """Draws probe targets in shuffled rounds, so that each living member is probed once a round."""

    __slots__ = ("_own_id", "_period", "_rng", "_round")

    def __init__(self, own_id: int, rng: Random) -> None:
        self._own_id = own_id
        self._rng = rng
        self._period = 0
        self._round: list[int] = []

    def next_target(self, records: list[MemberRecord]) -> int | None:
        """Return the member to probe in the next period, now and then a dead one; None if there is no other."""
        self._period += 1
        others = [number for number in range(len(records)) if number != self._own_id]
        dead = [number for number in others if records[number].state == MemberState.DEAD]
        if dead and self._period % DEAD_PROBE_INTERVAL_PERIODS == 0:
            return self._rng.choice(dead)
        while self._round:
            target = self._round.pop()
            if records[target].state != MemberState.DEAD:
                return target
        self._round = [number for number in others if records[number].state != MemberState.DEAD]
        self._rng.shuffle(self._round)
        if self._round:
            return self._round.pop()
        return self._rng.choice(dead) if dead else None
