"""Counts in flight: own, and those of the other entries."""

from __future__ import annotations

from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.incarnation import Incarnation
from leadseam.routing.load import KEPT_REPORTS, MAX_TOTALS_AGE, Load, LoadTable
from leadseam.wire.codec import decode
from leadseam.wire.feed import LoadRow, LoadSums, LoadTotals, UsageRow

ENGINE = Incarnation("i")


def sums_of(totals: LoadTotals) -> LoadSums:
    """Return the sums as an entry decodes them."""
    return decode(totals.data, LoadSums)


def exchange(books: list[LoadTable], now: int = 0) -> None:
    """Have every book report, and take the totals."""
    sums = LoadAggregator()
    for number, book in enumerate(books):
        sums.update(number, book.report(()), now)
    for number, totals in sums.totals(now).items():
        books[number].apply_sums(totals.included, sums_of(totals), now)


def test_every_entry_sees_what_all_have_in_flight() -> None:
    books = [LoadTable() for _ in range(3)]
    for number, book in enumerate(books, start=1):
        book.begin(ENGINE, Load(requests=number, unread=10 * number, memory=100))
    exchange(books)
    for book in books:
        assert book.total(ENGINE, 0) == Load(requests=6, unread=60, memory=300)


def test_the_own_part_is_always_what_it_is_now() -> None:
    books = [LoadTable(), LoadTable()]
    books[0].begin(ENGINE, Load(requests=2, unread=50))
    books[1].begin(ENGINE, Load(requests=1, unread=5))
    exchange(books)
    books[0].read(ENGINE, 30)
    assert books[0].total(ENGINE, 0) == Load(requests=3, unread=25)
    books[0].end(ENGINE, Load(requests=2, unread=20))
    assert books[0].total(ENGINE, 0) == Load(requests=1, unread=5)
    assert books[0].own(ENGINE) == Load()


def test_old_totals_do_not_count() -> None:
    books = [LoadTable(), LoadTable()]
    books[1].begin(ENGINE, Load(requests=1))
    exchange(books)
    assert books[0].total(ENGINE, MAX_TOTALS_AGE).requests == 1
    assert books[0].total(ENGINE, MAX_TOTALS_AGE + 1).requests == 0


def test_totals_of_a_report_that_was_forgotten_count_the_own_part_twice() -> None:
    book = LoadTable()
    book.begin(ENGINE, Load(requests=1))
    sums = LoadAggregator()
    sums.update(0, book.report(()), 0)
    totals = sums.totals(0)[0]
    for _ in range(KEPT_REPORTS):
        book.report(())
    assert book.apply_sums(totals.included, sums_of(totals), 0) is None
    assert book.total(ENGINE, 0).requests == 2


def test_a_replica_drops_old_reports_and_sums_usage() -> None:
    sums = LoadAggregator()
    book = LoadTable()
    book.begin(ENGINE, Load(requests=1))
    sums.update(1, book.report([UsageRow("bank", 10, 20)]), 0)
    sums.update(2, book.report([UsageRow("bank", 1, 2), UsageRow("shop", 3, 4)]), 900)
    both = sums_of(sums.totals(1_000)[2])
    assert both.rows == (LoadRow(ENGINE.digest(), 2, 0, 0),)
    assert both.usage == (UsageRow("bank", 11, 22), UsageRow("shop", 3, 4))
    assert set(sums.totals(1_001)) == {2}
    sums.remove(2)
    assert sums.totals(1_001) == {}
