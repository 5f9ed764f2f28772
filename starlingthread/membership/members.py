"""One member's view of the states of the others, and the order in which it probes them."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from .messages import MemberState, MemberUpdate

# Probes of dead members let the two sides of a partition rejoin once it has healed.
DEAD_PROBE_INTERVAL_PERIODS = 8


class StateChange(NamedTuple):
    """A change of a member's state in this member's view."""

    member: int
    state: MemberState


class MemberRecord:
    """The state of one member in this member's view."""

    __slots__ = ("incarnation", "state", "state_since")

    def __init__(self) -> None:
        self.state = MemberState.ALIVE
        self.incarnation = 0
        self.state_since = 0.0  # ms

    def is_superseded_by(self, update: MemberUpdate) -> bool:
        """Return whether an update takes precedence: by incarnation, then by state.

        This is a total order, so members that have received the same updates, in any order and any number of times,
        agree on all states.
        """
        return (update.incarnation, update.state) > (self.incarnation, self.state)


class ProbeSchedule:
    """Selects probe targets in shuffled rounds, so that each member that is not dead is probed once a round."""

    __slots__ = ("_own_id", "_period_number", "_rng", "_remaining_targets")

    def __init__(self, own_id: int, rng: Random) -> None:
        self._own_id = own_id
        self._rng = rng
        self._period_number = 0
        self._remaining_targets: list[int] = []

    def next_target(self, records: list[MemberRecord]) -> int | None:
        """Return the member to probe in the next period; None if there is no other member.

        Every DEAD_PROBE_INTERVAL_PERIODS periods this is a dead member, if there is one.
        """
        self._period_number += 1
        others = [member for member in range(len(records)) if member != self._own_id]
        dead = [member for member in others if records[member].state == MemberState.DEAD]
        if dead and self._period_number % DEAD_PROBE_INTERVAL_PERIODS == 0:
            return self._rng.choice(dead)
        while self._remaining_targets:
            target = self._remaining_targets.pop()
            if records[target].state != MemberState.DEAD:
                return target
        self._remaining_targets = [member for member in others if records[member].state != MemberState.DEAD]
        self._rng.shuffle(self._remaining_targets)
        if self._remaining_targets:
            return self._remaining_targets.pop()
        return self._rng.choice(dead) if dead else None
