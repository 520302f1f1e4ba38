"""The next membership change of the control group, one at a time. No I/O.

Every running box should be a voter, and no box that is gone: such a voter still counts
for the quorum but never answers, so the group tolerates one loss less. Silence alone
cannot distinguish a box that is gone from one that is partitioned. A silent voter is
therefore removed only where the group still tolerates the required losses: in exchange
for a learner that has caught up, or while there are more voters than
`VoterBounds.min_voters`. A box that was only partitioned asks to join again, with its
disk, and is a voter again within a second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from leadseam.control.raft_log import Membership, same_box

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

MAX_VOTERS = 7
"""Maximum number of voters; further boxes stay learners."""
MIN_VOTERS = 3
"""Number of voters below which no group shrinks, however few losses it has to tolerate:
in a group of two, the loss of either one stops it."""


class Reason(StrEnum):
    """Reason for a membership change."""

    ASKED = "asked to join"
    CAUGHT_UP = "caught up"
    DISK_REPLACED = "its box has another disk"
    MAKES_ROOM = "gone, and a newcomer has caught up"
    SURPLUS = "gone, and not needed"
    GONE = "gone before it had caught up"


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """One change of the group's membership.

    Args:
        membership: Membership after the change.
        member: Identity that is added, promoted or removed.
        reason: Reason for the change.
    """

    membership: Membership
    member: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class VoterBounds:
    """Limits within which the group may shrink on its own.

    Args:
        tolerated_losses: Number of boxes, with their disks, that the group has to
            survive losing at the same time.
    """

    tolerated_losses: int

    @property
    def min_voters(self) -> int:
        """Number of voters below which a silent one is removed only for a learner."""
        return max(2 * self.tolerated_losses + 1, MIN_VOTERS)


def add_learner(membership: Membership, newcomer: str) -> MembershipChange | None:
    """Return the change that adds a box as a learner, or None if it is a member."""
    if newcomer in membership.everyone:
        return None
    kept = tuple(name for name in membership.learners if not same_box(name, newcomer))
    changed = Membership(membership.voters, (*kept, newcomer))
    return MembershipChange(changed, newcomer, Reason.ASKED)


def next_change(
    membership: Membership,
    *,
    gone: Sequence[str],
    caught_up: Collection[str],
    bounds: VoterBounds,
) -> MembershipChange | None:
    """Return the next change towards the desired group, or None if none is needed.

    Args:
        membership: Current membership.
        gone: Members that are considered gone, the longest silent first.
        caught_up: Learners whose log is close to the leader's.
        bounds: Limits within which the group may shrink.
    """
    voters = membership.voters
    gone_voters = [name for name in gone if name in voters]
    for learner in membership.learners:
        if learner in caught_up:
            change = _promote(membership, learner, gone_voters, bounds)
            if change is not None:
                return change
    if gone_voters and len(voters) > bounds.min_voters:
        return _remove(membership, gone_voters[0], Reason.SURPLUS)
    for name in gone:
        if name in membership.learners:
            return _remove(membership, name, Reason.GONE)
    return None


def _promote(
    membership: Membership,
    learner: str,
    gone_voters: Sequence[str],
    bounds: VoterBounds,
) -> MembershipChange | None:
    """Return the change that promotes a learner, or first removes a voter for it.

    The removal comes first, so that a voter that is gone counts no longer than
    necessary; but a group that lacks voters promotes the learner before it removes
    anyone.
    """
    voters = membership.voters
    for name in voters:
        if same_box(name, learner):
            return _remove(membership, name, Reason.DISK_REPLACED)
    if gone_voters and len(voters) >= bounds.min_voters:
        return _remove(membership, gone_voters[0], Reason.MAKES_ROOM)
    if len(voters) >= MAX_VOTERS:
        return None
    others = tuple(name for name in membership.learners if name != learner)
    return MembershipChange(
        Membership((*voters, learner), others), learner, Reason.CAUGHT_UP
    )


def _remove(membership: Membership, gone: str, reason: Reason) -> MembershipChange:
    changed = Membership(
        tuple(name for name in membership.voters if name != gone),
        tuple(name for name in membership.learners if name != gone),
    )
    return MembershipChange(changed, gone, reason)
