"""`Suspects`: what counts as evidence against a request, and what does not."""

from __future__ import annotations

import pytest

from leadseam.crashes.suspects import (
    MAX_UNDECIDED,
    MIN_ANSWER_DELAY,
    UNDECIDED_LIMIT,
    Findings,
    Presence,
    Suspect,
    Suspects,
)
from tests.crashes.samples import DEADLY, GOOD, make_row, upstream


@pytest.fixture
def suspects() -> Suspects:
    """Suspects of an entry where an attempt at the first upstream broke at 0 ms."""
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
    suspects.answered(upstream(1), MIN_ANSWER_DELAY - 1)
    assert suspects.undecided
    suspects.answered(upstream(1), MIN_ANSWER_DELAY)
    assert suspects.ended(upstream(1), MIN_ANSWER_DELAY) == Findings()


def test_an_upstream_that_has_announced_its_end_is_no_evidence(
    suspects: Suspects,
) -> None:
    assert suspects.review(lambda _: Presence.LEAVES, 5) == Findings()
    assert not suspects.undecided


def test_an_upstream_that_expires_has_ended(suspects: Suspects) -> None:
    assert suspects.review(lambda _: Presence.SERVES, UNDECIDED_LIMIT) == Findings()
    assert suspects.undecided
    findings = suspects.review(lambda _: Presence.GONE, UNDECIDED_LIMIT)
    assert findings == Findings(rows=(make_row(1),))


def test_a_break_that_stays_undecided_is_dropped(suspects: Suspects) -> None:
    suspects.review(lambda _: Presence.SERVES, UNDECIDED_LIMIT + 1)
    assert not suspects.undecided


def test_all_requests_at_an_ended_upstream_are_suspects_until_answered(
    suspects: Suspects,
) -> None:
    suspects.record_break(GOOD, upstream(1), 1, early=True)
    assert len(suspects.ended(upstream(1), 5).rows) == 2
    assert suspects.acquit(GOOD, 9) == make_row(1, suspect=GOOD, void=(1,))
    assert suspects.table.count(GOOD.fingerprint) == 0
    assert suspects.table.count(DEADLY.fingerprint) == 1


def test_an_answer_acquits_before_an_end_is_detected(suspects: Suspects) -> None:
    suspects.record_break(GOOD, upstream(1), 1, early=True)
    suspects.acquit(GOOD, 2)
    assert suspects.ended(upstream(1), 5).rows == (make_row(1),)


def test_a_third_break_would_convict(suspects: Suspects) -> None:
    suspects.merge_reports([make_row(7)], 0)
    assert not suspects.would_be_convicted(DEADLY)
    suspects.record_break(DEADLY, upstream(2), 1, early=True)
    assert suspects.would_be_convicted(DEADLY)
    assert not suspects.would_be_convicted(GOOD)
    suspects.answered(upstream(2), 1 + MIN_ANSWER_DELAY)
    assert not suspects.would_be_convicted(DEADLY)


def test_rows_of_other_entries_convict_once(suspects: Suspects) -> None:
    assert suspects.merge_reports([make_row(2, 3)], 0) == Findings()
    found = suspects.merge_reports([make_row(3, 4)], 0)
    assert found == Findings(convicted=(DEADLY.fingerprint,))
    assert suspects.merge_reports([make_row(5)], 0) == Findings()


def test_breaks_are_bounded() -> None:
    suspects = Suspects()
    for number in range(2 * MAX_UNDECIDED):
        suspects.record_break(
            Suspect(str(number), "bank", 7), upstream(1), 0, early=True
        )
    assert len(suspects.ended(upstream(1), 1).rows) <= MAX_UNDECIDED
