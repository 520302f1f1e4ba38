"""Rows merged from many writers, and their bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from leadseam.crashes.suspects import Suspect
from leadseam.crashes.table import (
    MAX_ENDED,
    MAX_ROWS_OF_ACCOUNT,
    SUSPECT_TTL,
    CrashTable,
)
from tests.crashes.samples import DEADLY, GOOD, make_row

if TYPE_CHECKING:
    from leadseam.wire.crashes import CrashRow

ROWS = st.lists(
    st.builds(
        lambda ended, void, suspect: make_row(
            *ended, suspect=suspect, void=tuple(void)
        ),
        st.lists(st.integers(1, 4), max_size=3),
        st.lists(st.integers(1, 4), max_size=2),
        st.sampled_from([DEADLY, GOOD]),
    ),
    max_size=6,
)


@given(rows=ROWS, data=st.data())
def test_books_that_heard_the_same_agree(
    rows: list[CrashRow], data: st.DataObject
) -> None:
    other = data.draw(st.permutations(rows + rows))
    first, second = CrashTable(rows), CrashTable(other)
    for suspect in (DEADLY, GOOD):
        one, two = (book.get(suspect.fingerprint) for book in (first, second))
        assert (one is None) == (two is None)
        assert one is None or two is None or one.counted == two.counted


def test_three_ends_convict_and_the_same_one_counts_once() -> None:
    book = CrashTable([make_row(1), make_row(1), make_row(2)])
    assert book.count(DEADLY.fingerprint) == 2
    assert not book.convicts(DEADLY.fingerprint)
    assert book.merge(make_row(1, 2)) is None
    assert book.merge(make_row(3)) == make_row(1, 2, 3)
    assert book.convicts(DEADLY.fingerprint)


def test_what_is_void_does_not_count_and_a_further_end_counts_anew() -> None:
    book = CrashTable([make_row(1, 2, 3)])
    assert book.void(DEADLY.fingerprint) == make_row(1, 2, 3, void=(1, 2, 3))
    assert book.void(DEADLY.fingerprint) is None
    assert book.merge(make_row(2, 3)) is None
    assert book.count(DEADLY.fingerprint) == 0
    book.merge(make_row(4))
    assert book.count(DEADLY.fingerprint) == 1


def test_suspects_fade_and_verdicts_stay() -> None:
    book = CrashTable()
    book.merge(make_row(1, 2, 3), 0)
    book.merge(make_row(1, 2, suspect=GOOD), 0)
    book.expire_suspects(SUSPECT_TTL)
    assert len(book) == 2
    book.expire_suspects(SUSPECT_TTL + 1)
    assert book.rows() == (make_row(1, 2, 3),)
    assert book.may_hold("bank", 7)
    book.void(DEADLY.fingerprint, SUSPECT_TTL + 2)
    book.expire_suspects(2 * SUSPECT_TTL + 3)
    assert not book.may_hold("bank", 7)


def test_one_account_pushes_out_neither_its_worst_nor_anothers() -> None:
    book = CrashTable([make_row(1, 2, 3), make_row(1, suspect=Suspect("o", "shop", 1))])
    for number in range(10_000):
        book.merge(make_row(1, suspect=Suspect(str(number), "bank", 7)))
    assert len(book) == MAX_ROWS_OF_ACCOUNT + 1
    assert book.convicts(DEADLY.fingerprint)
    assert book.count("o") == 1


def test_a_row_is_bounded() -> None:
    book = CrashTable(make_row(number) for number in range(50))
    row = book.get(DEADLY.fingerprint)
    assert row is not None
    assert len(row.ended) == MAX_ENDED
