"""What speaks against a request, and what does not."""

from __future__ import annotations

import pytest

from leadseam.crashes.suspects import (
    MAX_UNDECIDED,
    SIGN_OF_LIFE,
    UNDECIDED_LIMIT,
    Findings,
    Presence,
    Suspect,
    Suspects,
)
from tests.crashes.samples import DEADLY, GOOD, make_row, upstream


@pytest.fixture
def suspects() -> Suspects:
    """An entry where an attempt at the first upstream broke at 0 ms."""
    suspects = Suspects()
    assert suspects.record_break(DEADLY, upstream(1), 0, early=True)
    return suspects


def test_a_break_and_the_end_of_its_upstream_count(suspects: Suspects) -> None:
    assert suspects.table.count(DEADLY.fingerprint) == 0
    assert suspects.ended(upstream(1), 5).rows == (make_row(1),)
    assert suspects.table.count(DEADLY.fingerprint) == 1
    assert not suspects.undecided


def test_an_end_without_a_break_counts_against_nobody(suspects: Suspects) -> None:
    assert suspects.ended(upstream(2), 5) == Findings()


def test_an_upstream_that_answers_later_has_not_ended(suspects: Suspects) -> None:
    suspects.answered(upstream(1), SIGN_OF_LIFE - 1)
    assert suspects.undecided
    suspects.answered(upstream(1), SIGN_OF_LIFE)
    assert suspects.ended(upstream(1), SIGN_OF_LIFE) == Findings()


def test_an_upstream_that_has_announced_its_end_is_no_evidence(
    suspects: Suspects,
) -> None:
    assert suspects.review(lambda _: Presence.LEAVES, 5) == Findings()
    assert not suspects.undecided


def test_an_upstream_that_is_not_heard_any_more_has_ended(suspects: Suspects) -> None:
    assert suspects.review(lambda _: Presence.SERVES, UNDECIDED_LIMIT) == Findings()
    assert suspects.undecided
    news = suspects.review(lambda _: Presence.GONE, UNDECIDED_LIMIT)
    assert news == Findings(rows=(make_row(1),))


def test_what_stays_undecided_is_forgotten(suspects: Suspects) -> None:
    suspects.review(lambda _: Presence.SERVES, UNDECIDED_LIMIT + 1)
    assert not suspects.undecided


def test_all_that_ran_there_is_suspected_and_an_answer_acquits(
    suspects: Suspects,
) -> None:
    suspects.record_break(GOOD, upstream(1), 1, early=True)
    assert len(suspects.ended(upstream(1), 5).rows) == 2
    assert suspects.acquit(GOOD, 9) == make_row(1, suspect=GOOD, void=(1,))
    assert suspects.table.count(GOOD.fingerprint) == 0
    assert suspects.table.count(DEADLY.fingerprint) == 1


def test_an_answer_acquits_of_ends_that_are_not_known_yet(suspects: Suspects) -> None:
    suspects.record_break(GOOD, upstream(1), 1, early=True)
    suspects.acquit(GOOD, 2)
    assert suspects.ended(upstream(1), 5).rows == (make_row(1),)


def test_a_third_break_is_a_trial(suspects: Suspects) -> None:
    suspects.merge_reports([make_row(7)], 0)
    assert not suspects.would_be_convicted(DEADLY)
    suspects.record_break(DEADLY, upstream(2), 1, early=True)
    assert suspects.would_be_convicted(DEADLY)
    assert not suspects.would_be_convicted(GOOD)
    suspects.answered(upstream(2), 1 + SIGN_OF_LIFE)
    assert not suspects.would_be_convicted(DEADLY)


def test_what_others_have_seen_convicts_once(suspects: Suspects) -> None:
    assert suspects.merge_reports([make_row(2, 3)], 0) == ()
    assert suspects.merge_reports([make_row(3, 4)], 0) == (DEADLY.fingerprint,)
    assert suspects.merge_reports([make_row(5)], 0) == ()


def test_breaks_are_bounded() -> None:
    suspects = Suspects()
    for number in range(2 * MAX_UNDECIDED):
        suspects.record_break(
            Suspect(str(number), "bank", 7), upstream(1), 0, early=True
        )
    assert len(suspects.ended(upstream(1), 1).rows) <= MAX_UNDECIDED
