"""Membership changes, computed one at a time."""

from __future__ import annotations

from leadseam.control.membership import (
    MAX_VOTERS,
    MIN_VOTERS,
    MembershipChange,
    Reason,
    VoterBounds,
    add_learner,
    next_change,
)
from leadseam.control.raft_log import Membership

FIVE = ("a#1", "b#1", "c#1", "d#1", "e#1")
TWO_LOSSES = VoterBounds(2)


def change(
    voters: tuple[str, ...],
    learners: tuple[str, ...] = (),
    *,
    gone: tuple[str, ...] = (),
    caught_up: tuple[str, ...] = (),
) -> MembershipChange | None:
    return next_change(
        Membership(voters, learners),
        gone=gone,
        caught_up=caught_up,
        bounds=TWO_LOSSES,
    )


def test_a_complete_group_is_not_changed() -> None:
    assert change(FIVE) is None


def test_silence_alone_does_not_shrink_a_group_below_its_minimum() -> None:
    assert change(FIVE, gone=("a#1", "b#1")) is None
    assert change(FIVE[1:], gone=("b#1",)) is None


def test_a_voter_that_is_gone_and_not_needed_leaves() -> None:
    assert change((*FIVE, "f#1"), gone=("a#1",)) == MembershipChange(
        Membership(("b#1", "c#1", "d#1", "e#1", "f#1")), "a#1", Reason.SURPLUS
    )


def test_the_longest_silent_voter_is_removed_first() -> None:
    seven = (*FIVE, "f#1", "g#1")
    first = change(seven, gone=("c#1", "a#1"))
    assert first is not None
    assert first.member == "c#1"
    second = change(first.membership.voters, gone=("a#1",))
    assert second is not None
    assert second.member == "a#1"
    assert change(second.membership.voters, gone=("b#1",)) is None


def test_a_learner_is_promoted_while_no_voter_is_gone() -> None:
    assert change(FIVE, ("f#1",), caught_up=("f#1",)) == MembershipChange(
        Membership((*FIVE, "f#1")), "f#1", Reason.CAUGHT_UP
    )
    assert change(FIVE, ("f#1",)) is None


def test_a_voter_that_is_gone_is_removed_before_a_learner_is_promoted() -> None:
    first = change(FIVE, ("f#1",), gone=("b#1",), caught_up=("f#1",))
    assert first == MembershipChange(
        Membership(("a#1", "c#1", "d#1", "e#1"), ("f#1",)), "b#1", Reason.MAKES_ROOM
    )
    assert first is not None
    second = change(first.membership.voters, ("f#1",), caught_up=("f#1",))
    assert second is not None
    assert second.membership == Membership(("a#1", "c#1", "d#1", "e#1", "f#1"))


def test_a_group_that_lacks_voters_gains_one_before_another_leaves() -> None:
    four = FIVE[:4]
    added = change(four, ("f#1",), gone=("d#1",), caught_up=("f#1",))
    assert added is not None
    assert added.reason is Reason.CAUGHT_UP


def test_a_new_disk_takes_the_place_of_the_old_one_not_of_a_box_that_is_cut_off() -> (
    None
):
    assert change(
        FIVE, ("e#2",), gone=("b#1",), caught_up=("e#2",)
    ) == MembershipChange(Membership(FIVE[:4], ("e#2",)), "e#1", Reason.DISK_REPLACED)


def test_a_learner_of_a_full_group_waits_until_a_voter_is_gone() -> None:
    seven = tuple(f"{name}#1" for name in "abcdefg")
    assert len(seven) == MAX_VOTERS
    assert change(seven, ("h#1",), caught_up=("h#1",)) is None
    leaves = change(seven, ("h#1",), gone=("a#1",), caught_up=("h#1",))
    assert leaves is not None
    assert (leaves.member, leaves.reason) == ("a#1", Reason.MAKES_ROOM)


def test_an_even_group_shrinks_to_the_odd_number_that_tolerates_as_many_losses() -> (
    None
):
    one_loss = VoterBounds(1)
    four = Membership(("a#1", "b#1", "c#1", "d#1"))
    shrunk = next_change(four, gone=("d#1",), caught_up=(), bounds=one_loss)
    assert shrunk is not None
    assert shrunk.membership == Membership(("a#1", "b#1", "c#1"))
    assert (
        next_change(shrunk.membership, gone=("c#1",), caught_up=(), bounds=one_loss)
        is None
    )


def test_a_learner_that_is_gone_is_dropped() -> None:
    assert change(FIVE, ("f#1", "g#1"), gone=("f#1",)) == MembershipChange(
        Membership(FIVE, ("g#1",)), "f#1", Reason.GONE
    )


def test_a_request_to_join_with_a_new_disk_replaces_the_earlier_learner() -> None:
    group = Membership(FIVE, ("f#1",))
    assert add_learner(group, "f#1") is None
    assert add_learner(group, "a#1") is None
    assert add_learner(group, "f#2") == MembershipChange(
        Membership(FIVE, ("f#2",)), "f#2", Reason.ASKED
    )


def test_no_group_shrinks_below_three() -> None:
    assert [
        VoterBounds(tolerated_losses).min_voters for tolerated_losses in range(4)
    ] == [
        MIN_VOTERS,
        3,
        5,
        7,
    ]
