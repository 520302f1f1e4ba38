"""Evidence against prompt parts: which of several parts is the cause."""

from __future__ import annotations

from dataclasses import replace

import pytest

from leadseam.crashes.answers import ANSWER_WEIGHS, MAX_ANSWERS, RecentAnswers
from leadseam.crashes.fingerprint import part_fingerprints
from leadseam.crashes.suspects import Findings, Suspect, Suspects
from leadseam.crashes.table import MAX_ROWS_OF_ACCOUNT, CrashTable
from tests.crashes.samples import make_row, upstream
from tests.routing.samples import make_request

CAUSE = Suspect("part:cause", "bank", 0)
BESIDE = Suspect("part:beside", "bank", 0)
WHOLE = Suspect("b" * 32, "bank", 7)


def table_of(cause: tuple[int, ...], beside: tuple[int, ...]) -> CrashTable:
    """Return a table with the ended upstreams of two parts."""
    return CrashTable(
        [make_row(*cause, suspect=CAUSE), make_row(*beside, suspect=BESIDE)]
    )


def test_all_parts_but_the_last_identify_what_requests_share() -> None:
    parts = part_fingerprints(make_request("system", "document", "own"))
    assert parts == ("part:system", "part:document")
    assert part_fingerprints(make_request()) == ()


def test_a_long_part_name_is_hashed() -> None:
    (short, long) = part_fingerprints(make_request("a" * 64, "a" * 65, "own"))
    assert short == "part:" + "a" * 64
    assert len(long) == len("part:") + 32


@pytest.mark.parametrize(
    ("cause", "beside", "request_parts", "refused"),
    [
        # Nothing tells them apart: only a request with both certainly has the cause.
        ((1, 2, 3), (1, 2, 3), (CAUSE, BESIDE), True),
        ((1, 2, 3), (1, 2, 3), (CAUSE,), False),
        ((1, 2, 3), (1, 2, 3), (BESIDE,), False),
        # One ended another upstream alone, which explains all ends of the other.
        ((1, 2, 3, 4), (1, 2, 3), (CAUSE,), True),
        ((1, 2, 3, 4), (1, 2, 3), (BESIDE,), False),
        # The other has too little evidence to explain anything.
        ((1, 2, 3), (1, 2), (CAUSE,), True),
        # A part beside the cause at each end is sent alone however often that was.
        ((1, 2, 3, 4, 5), (1, 2, 3, 4, 5), (BESIDE,), False),
    ],
)
def test_a_request_is_refused_if_it_certainly_has_the_cause(
    cause: tuple[int, ...],
    beside: tuple[int, ...],
    request_parts: tuple[Suspect, ...],
    refused: bool,
) -> None:
    table = table_of(cause, beside)
    found = table.refuses({part.fingerprint for part in request_parts})
    assert (found is not None) is refused


def test_a_part_whose_ends_two_deadly_parts_explain_together_is_no_cause() -> None:
    other = Suspect("part:other", "bank", 0)
    table = table_of((1, 2, 3), (1, 2, 3, 4, 5, 6))
    table.merge(make_row(4, 5, 6, suspect=other))
    assert table.refuses({BESIDE.fingerprint}) is None
    for deadly in (CAUSE, other):
        assert table.refuses({BESIDE.fingerprint, deadly.fingerprint}) is not None
    table.merge(make_row(4, 5, 6, 7, suspect=BESIDE))
    assert table.refuses({BESIDE.fingerprint}) == BESIDE.fingerprint


def test_an_answer_shows_which_of_two_parts_is_the_cause() -> None:
    table = table_of((1, 2, 3), (1, 2, 3))
    table.void(BESIDE.fingerprint)
    assert table.refuses({CAUSE.fingerprint}) == CAUSE.fingerprint
    assert table.refuses({BESIDE.fingerprint}) is None


def test_a_request_repeated_three_times_convicts_itself_and_its_parts_together() -> (
    None
):
    table = table_of((1, 2, 3), (1, 2, 3))
    table.merge(make_row(1, 2, 3, suspect=WHOLE))
    own = {CAUSE.fingerprint, BESIDE.fingerprint}
    assert table.refuses(own | {WHOLE.fingerprint}) is not None
    assert table.refuses(own) is None


def test_rows_of_parts_evict_no_requests_of_their_account() -> None:
    table = CrashTable([make_row(1, suspect=WHOLE)])
    for number in range(2 * MAX_ROWS_OF_ACCOUNT):
        table.merge(make_row(1, suspect=Suspect(f"part:{number}", "bank", 0)))
    assert len(table) == MAX_ROWS_OF_ACCOUNT + 1
    assert WHOLE.fingerprint in table
    assert not table.may_match("bank", 0)


@pytest.mark.parametrize(
    ("age", "excused"), [(0, True), (ANSWER_WEIGHS, True), (ANSWER_WEIGHS + 1, False)]
)
def test_an_end_shortly_after_an_answer_does_not_count(age: int, excused: bool) -> None:
    suspects = Suspects()
    suspects.acquit(BESIDE, 0)
    suspects.record_break(BESIDE, upstream(1), age, early=True)
    rows = () if excused else (make_row(1, suspect=BESIDE),)
    assert suspects.ended(upstream(1), age + 20) == Findings(rows)


def test_an_entry_that_has_seen_an_answer_acquits_for_all() -> None:
    suspects = Suspects()
    suspects.acquit(BESIDE, 0)
    found = suspects.merge_reports([make_row(1, 2, suspect=BESIDE)], ANSWER_WEIGHS)
    assert found == Findings((make_row(1, 2, suspect=BESIDE, void=(1, 2)),))
    later = suspects.merge_reports([make_row(3, 4, suspect=BESIDE)], ANSWER_WEIGHS + 1)
    assert later == Findings()
    assert suspects.table.count(BESIDE.fingerprint) == 2


def test_recent_answers_are_bounded() -> None:
    answers = RecentAnswers()
    for number in range(2 * MAX_ANSWERS):
        answers.add(f"part:{number}", 0)
    assert not answers.excuse("part:0", 0)
    assert answers.excuse(f"part:{2 * MAX_ANSWERS - 1}", 0)
    assert repr(answers) == f"RecentAnswers(fingerprints={MAX_ANSWERS})"


def test_a_resumed_request_has_the_parts_that_it_had() -> None:
    req = make_request("system", "own")
    assert part_fingerprints(replace(req, resume_after="3")) == ("part:system",)
