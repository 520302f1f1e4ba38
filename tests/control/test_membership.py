"""Steps of the group, one at a time, as values."""

from __future__ import annotations

from leadseam.control.membership import (
    LEAST_FLOOR,
    MAX_VOTERS,
    Bounds,
    Reason,
    Step,
    joined,
    next_step,
)
from leadseam.control.raft_log import Membership

FIVE = ("a#1", "b#1", "c#1", "d#1", "e#1")
TWO_LOSSES = Bounds(2)


def step(
    voters: tuple[str, ...],
    learners: tuple[str, ...] = (),
    *,
    gone: tuple[str, ...] = (),
    caught_up: tuple[str, ...] = (),
) -> Step | None:
    return next_step(
        Membership(voters, learners),
        gone=gone,
        caught_up=caught_up,
        bounds=TWO_LOSSES,
    )


def test_a_whole_group_stays_as_it_is() -> None:
    assert step(FIVE) is None


def test_silence_alone_shrinks_no_group_below_what_it_has_to_bear() -> None:
    assert step(FIVE, gone=("a#1", "b#1")) is None
    assert step(FIVE[1:], gone=("b#1",)) is None


def test_a_voter_that_is_gone_and_not_needed_leaves() -> None:
    assert step((*FIVE, "f#1"), gone=("a#1",)) == Step(
        Membership(("b#1", "c#1", "d#1", "e#1", "f#1")), "a#1", Reason.SURPLUS
    )


def test_the_one_silent_for_longest_leaves_first() -> None:
    seven = (*FIVE, "f#1", "g#1")
    first = step(seven, gone=("c#1", "a#1"))
    assert first is not None
    assert first.member == "c#1"
    second = step(first.membership.voters, gone=("a#1",))
    assert second is not None
    assert second.member == "a#1"
    assert step(second.membership.voters, gone=("b#1",)) is None


def test_a_newcomer_is_added_while_nobody_is_found_gone() -> None:
    assert step(FIVE, ("f#1",), caught_up=("f#1",)) == Step(
        Membership((*FIVE, "f#1")), "f#1", Reason.CAUGHT_UP
    )
    assert step(FIVE, ("f#1",)) is None


def test_a_newcomer_takes_the_place_of_one_that_is_gone_room_first() -> None:
    first = step(FIVE, ("f#1",), gone=("b#1",), caught_up=("f#1",))
    assert first == Step(
        Membership(("a#1", "c#1", "d#1", "e#1"), ("f#1",)), "b#1", Reason.MAKES_ROOM
    )
    assert first is not None
    second = step(first.membership.voters, ("f#1",), caught_up=("f#1",))
    assert second is not None
    assert second.membership == Membership(("a#1", "c#1", "d#1", "e#1", "f#1"))


def test_a_group_that_lacks_voters_gains_one_before_another_leaves() -> None:
    four = FIVE[:4]
    added = step(four, ("f#1",), gone=("d#1",), caught_up=("f#1",))
    assert added is not None
    assert added.reason is Reason.CAUGHT_UP


def test_a_new_disk_takes_the_place_of_the_old_one_not_of_a_box_that_is_cut_off() -> (
    None
):
    assert step(FIVE, ("e#2",), gone=("b#1",), caught_up=("e#2",)) == Step(
        Membership(FIVE[:4], ("e#2",)), "e#1", Reason.DISK_REPLACED
    )


def test_a_full_group_lets_a_newcomer_wait_until_somebody_is_gone() -> None:
    seven = tuple(f"{name}#1" for name in "abcdefg")
    assert len(seven) == MAX_VOTERS
    assert step(seven, ("h#1",), caught_up=("h#1",)) is None
    leaves = step(seven, ("h#1",), gone=("a#1",), caught_up=("h#1",))
    assert leaves is not None
    assert (leaves.member, leaves.reason) == ("a#1", Reason.MAKES_ROOM)


def test_an_even_group_shrinks_to_the_odd_number_that_bears_as_much() -> None:
    one_loss = Bounds(1)
    four = Membership(("a#1", "b#1", "c#1", "d#1"))
    shrunk = next_step(four, gone=("d#1",), caught_up=(), bounds=one_loss)
    assert shrunk is not None
    assert shrunk.membership == Membership(("a#1", "b#1", "c#1"))
    assert (
        next_step(shrunk.membership, gone=("c#1",), caught_up=(), bounds=one_loss)
        is None
    )


def test_a_learner_that_is_gone_is_dropped() -> None:
    assert step(FIVE, ("f#1", "g#1"), gone=("f#1",)) == Step(
        Membership(FIVE, ("g#1",)), "f#1", Reason.GONE
    )


def test_a_box_that_asks_replaces_its_earlier_request() -> None:
    group = Membership(FIVE, ("f#1",))
    assert joined(group, "f#1") is None
    assert joined(group, "a#1") is None
    assert joined(group, "f#2") == Step(Membership(FIVE, ("f#2",)), "f#2", Reason.ASKED)


def test_no_group_shrinks_below_three() -> None:
    assert [Bounds(tolerated_losses).floor for tolerated_losses in range(4)] == [
        LEAST_FLOOR,
        3,
        5,
        7,
    ]
