"""Replication progress of the members, and of a quorum of them."""

from __future__ import annotations

from leadseam.control.progress import RESEND_AFTER, Followers, Progress
from leadseam.wire.consensus import AppendReply


def test_more_than_half_hold_what_a_quorum_holds() -> None:
    followers = Followers()
    followers.sync(("a", "b", "c", "d"), 1)
    for name, match in zip("abcd", (9, 7, 5, 3), strict=True):
        followers[name].matched(match)
    assert followers.quorum_match(("a", "b", "c")) == 7
    assert followers.quorum_match(("a", "b", "c", "d")) == 5


def test_a_leader_answers_itself_now() -> None:
    followers = Followers()
    followers.sync(("a", "b", "c"), 1)
    followers["b"].answered(AppendReply("b", 1, True, 0, 40, 7))
    assert followers.quorum_ack(("a", "b", "c"), "a", 100) == 40
    assert followers["b"].echo == 7


def test_members_that_left_are_forgotten_and_new_ones_begin_at_the_end() -> None:
    followers = Followers()
    followers.sync(("a", "b"), 4)
    followers["a"].matched(3)
    followers.sync(("a", "c"), 8)
    assert {name: one.next_index for name, one in followers.items()} == {"a": 4, "c": 8}


def test_what_does_not_fit_is_tried_further_back_but_not_behind_a_match() -> None:
    progress = Progress(next_index=20)
    progress.refused(12)
    assert progress.next_index == 13
    progress.matched(12)
    progress.refused(3)
    assert progress.next_index == 13


def test_an_answer_is_awaited_for_a_while() -> None:
    progress = Progress(next_index=1)
    assert not progress.awaits_answer(0)
    progress.sent(100)
    assert progress.awaits_answer(100 + RESEND_AFTER - 1)
    assert not progress.awaits_answer(100 + RESEND_AFTER)
    progress.matched(1)
    assert not progress.awaits_answer(100)
