"""The next change of the control group's members, one at a time. No I/O.

Every box that runs should vote, and none that is gone: a voter that is gone counts for
the quorum and never answers, so that the group bears one loss less. Silence does not
tell a box that is gone from one that is cut off. A silent voter therefore leaves only
where that costs no loss that the group has to bear: for a newcomer that has caught up,
or while there are more voters than `Bounds.floor`. One that was only cut off asks to
join again, with its disk, and votes again within a second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from leadseam.control.raft_log import Membership, same_box

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

MAX_VOTERS = 7
"""Voters at the most; further boxes hold the log and do not vote."""
LEAST_FLOOR = 3
"""Voters below which no group shrinks, whatever losses it is meant to bear: with two,
either one stops it."""


class Reason(StrEnum):
    """Why a member comes or goes."""

    ASKED = "asked to join"
    CAUGHT_UP = "caught up"
    DISK_REPLACED = "its box has another disk"
    MAKES_ROOM = "gone, and a newcomer has caught up"
    SURPLUS = "gone, and not needed"
    GONE = "gone before it had caught up"


@dataclass(frozen=True, slots=True)
class Step:
    """One change of the group.

    Args:
        membership: The group after it.
        member: The identity that comes or goes.
        reason: Why.
    """

    membership: Membership
    member: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far the group may shrink and grow by itself.

    Args:
        tolerated_losses: Boxes, with their disks, that may be lost at the same time.
    """

    tolerated_losses: int

    @property
    def floor(self) -> int:
        """Voters below which a silent one stays unless a newcomer takes its place."""
        return max(2 * self.tolerated_losses + 1, LEAST_FLOOR)


def joined(membership: Membership, newcomer: str) -> Step | None:
    """Return the step that takes in a box that asks, or None if it is a member."""
    if newcomer in membership.everyone:
        return None
    kept = tuple(name for name in membership.learners if not same_box(name, newcomer))
    changed = Membership(membership.voters, (*kept, newcomer))
    return Step(changed, newcomer, Reason.ASKED)


def next_step(
    membership: Membership,
    *,
    gone: Sequence[str],
    caught_up: Collection[str],
    bounds: Bounds,
) -> Step | None:
    """Return the next step towards the group that is wanted, or None if it is there.

    Args:
        membership: The group as it is.
        gone: Members taken for gone, the one that has been so for longest first.
        caught_up: Learners that have the log and answer.
        bounds: How far the group may shrink and grow.
    """
    voters = membership.voters
    gone_voters = [name for name in gone if name in voters]
    for learner in membership.learners:
        if learner in caught_up:
            step = _towards_voting(membership, learner, gone_voters, bounds)
            if step is not None:
                return step
    if gone_voters and len(voters) > bounds.floor:
        return _without(membership, gone_voters[0], Reason.SURPLUS)
    for name in gone:
        if name in membership.learners:
            return _without(membership, name, Reason.GONE)
    return None


def _towards_voting(
    membership: Membership, learner: str, gone_voters: Sequence[str], bounds: Bounds
) -> Step | None:
    """Return the step that lets a learner vote, or first makes room for it.

    Room comes first, so that a voter that is gone counts no longer than it has to; but
    a group that lacks voters takes the learner in before anyone else leaves.
    """
    voters = membership.voters
    for name in voters:
        if same_box(name, learner):
            return _without(membership, name, Reason.DISK_REPLACED)
    if gone_voters and len(voters) >= bounds.floor:
        return _without(membership, gone_voters[0], Reason.MAKES_ROOM)
    if len(voters) >= MAX_VOTERS:
        return None
    others = tuple(name for name in membership.learners if name != learner)
    return Step(Membership((*voters, learner), others), learner, Reason.CAUGHT_UP)


def _without(membership: Membership, gone: str, reason: Reason) -> Step:
    changed = Membership(
        tuple(name for name in membership.voters if name != gone),
        tuple(name for name in membership.learners if name != gone),
    )
    return Step(changed, gone, reason)
