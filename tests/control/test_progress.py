"""Replication progress of the members, and of a quorum of them."""

from __future__ import annotations

from leadseam.control.progress import RESEND_AFTER, Followers, Progress
from leadseam.wire.consensus import AppendReply


def test_the_quorum_index_is_replicated_on_more_than_half() -> None:
    followers = Followers()
    followers.sync(("a", "b", "c", "d"), 1)
    for name, match in zip("abcd", (9, 7, 5, 3), strict=True):
        followers[name].matched(match)
    assert followers.quorum_match(("a", "b", "c")) == 7
    assert followers.quorum_match(("a", "b", "c", "d")) == 5


def test_a_leader_counts_as_answering_at_the_current_time() -> None:
    followers = Followers()
    followers.sync(("a", "b", "c"), 1)
    followers["b"].answered(AppendReply("b", 1, True, 0, 40, 7))
    assert followers.quorum_ack(("a", "b", "c"), "a", 100) == 40
    assert followers["b"].echo == 7


def test_former_members_are_removed_and_new_ones_start_at_the_end() -> None:
    followers = Followers()
    followers.sync(("a", "b"), 4)
    followers["a"].matched(3)
    followers.sync(("a", "c"), 8)
    assert {name: one.next_index for name, one in followers.items()} == {"a": 4, "c": 8}


def test_a_rejected_append_is_retried_earlier_but_not_before_a_match() -> None:
    progress = Progress(next_index=20)
    progress.refused(12)
    assert progress.next_index == 13
    progress.matched(12)
    progress.refused(3)
    assert progress.next_index == 13


def test_an_answer_is_awaited_until_the_resend() -> None:
    progress = Progress(next_index=1)
    assert not progress.awaits_answer(0)
    progress.sent(100)
    assert progress.awaits_answer(100 + RESEND_AFTER - 1)
    assert not progress.awaits_answer(100 + RESEND_AFTER)
    progress.matched(1)
    assert not progress.awaits_answer(100)
