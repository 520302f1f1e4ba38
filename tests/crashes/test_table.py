"""`CrashTable`: rows merged from many processes, and their limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

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
        one, two = (table.get(suspect.fingerprint) for table in (first, second))
        assert (one is None) == (two is None)
        assert one is None or two is None or one.counted == two.counted


def test_three_ends_convict_and_the_same_one_counts_once() -> None:
    table = CrashTable([make_row(1), make_row(1), make_row(2)])
    assert table.count(DEADLY.fingerprint) == 2
    assert not table.convicts(DEADLY.fingerprint)
    assert table.merge(make_row(1, 2)) is None
    assert table.merge(make_row(3)) == make_row(1, 2, 3)
    assert table.convicts(DEADLY.fingerprint)


def test_void_ends_do_not_count_and_later_ends_do() -> None:
    table = CrashTable([make_row(1, 2, 3)])
    assert table.void(DEADLY.fingerprint) == make_row(1, 2, 3, void=(1, 2, 3))
    assert table.void(DEADLY.fingerprint) is None
    assert table.merge(make_row(2, 3)) is None
    assert table.count(DEADLY.fingerprint) == 0
    table.merge(make_row(4))
    assert table.count(DEADLY.fingerprint) == 1


def test_suspects_expire_and_verdicts_stay() -> None:
    table = CrashTable()
    table.merge(make_row(1, 2, 3), 0)
    table.merge(make_row(1, 2, suspect=GOOD), 0)
    table.expire_suspects(SUSPECT_TTL)
    assert len(table) == 2
    table.expire_suspects(SUSPECT_TTL + 1)
    assert table.rows() == (make_row(1, 2, 3),)
    assert table.may_match("bank", 7)
    table.void(DEADLY.fingerprint, SUSPECT_TTL + 2)
    table.expire_suspects(2 * SUSPECT_TTL + 3)
    assert not table.may_match("bank", 7)


def test_eviction_spares_convicted_requests_and_other_accounts() -> None:
    table = CrashTable(
        [make_row(1, 2, 3), make_row(1, suspect=Suspect("o", "shop", 1))]
    )
    for number in range(10_000):
        table.merge(make_row(1, suspect=Suspect(str(number), "bank", 7)))
    assert len(table) == MAX_ROWS_OF_ACCOUNT + 1
    assert table.convicts(DEADLY.fingerprint)
    assert table.count("o") == 1


@given(stamps=st.lists(st.integers(0, 20), min_size=12, max_size=12), data=st.data())
def test_full_rows_agree_whatever_the_order_and_news_ends(
    stamps: list[int], data: st.DataObject
) -> None:
    rows = [
        replace(make_row(number), stamps=(stamp,))
        for number, stamp in enumerate(stamps, 10)
    ]
    first, second = CrashTable(rows), CrashTable(data.draw(st.permutations(rows)))
    assert first.rows() == second.rows()
    assert first.merge(second.rows()[0]) is None
    (row,) = first.rows()
    assert sorted(stamps)[-MAX_ENDED:] == sorted(row.stamps or [0] * MAX_ENDED)


def test_a_row_is_bounded() -> None:
    table = CrashTable(make_row(number) for number in range(50))
    row = table.get(DEADLY.fingerprint)
    assert row is not None
    assert len(row.ended) == MAX_ENDED
