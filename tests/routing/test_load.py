"""Load in flight: own counts and those of other entries."""

from __future__ import annotations

from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.incarnation import Incarnation
from leadseam.routing.load import MAX_KEPT_REPORTS, MAX_TOTALS_AGE, Load, LoadTable
from leadseam.wire.codec import decode
from leadseam.wire.feed import LoadRow, LoadSums, LoadTotals, UsageRow

ENGINE = Incarnation("i")


def sums_of(totals: LoadTotals) -> LoadSums:
    """Return the sums as an entry decodes them."""
    return decode(totals.data, LoadSums)


def exchange(tables: list[LoadTable], now: int = 0) -> None:
    """Sum the reports of all tables and apply the totals to each."""
    summer = LoadAggregator()
    for number, table in enumerate(tables):
        summer.update(number, table.report(()), now)
    for number, totals in summer.totals(now).items():
        tables[number].apply_sums(totals.included, sums_of(totals), now)


def test_every_entry_sees_what_all_have_in_flight() -> None:
    tables = [LoadTable() for _ in range(3)]
    for number, table in enumerate(tables, start=1):
        table.begin(ENGINE, Load(requests=number, unread=10 * number, memory=100))
    exchange(tables)
    for table in tables:
        assert table.total(ENGINE, 0) == Load(requests=6, unread=60, memory=300)


def test_the_own_part_of_a_total_is_always_current() -> None:
    tables = [LoadTable(), LoadTable()]
    tables[0].begin(ENGINE, Load(requests=2, unread=50))
    tables[1].begin(ENGINE, Load(requests=1, unread=5))
    exchange(tables)
    tables[0].mark_read(ENGINE, 30)
    assert tables[0].total(ENGINE, 0) == Load(requests=3, unread=25)
    tables[0].end(ENGINE, Load(requests=2, unread=20))
    assert tables[0].total(ENGINE, 0) == Load(requests=1, unread=5)
    assert tables[0].own(ENGINE) == Load()


def test_outdated_totals_are_ignored() -> None:
    tables = [LoadTable(), LoadTable()]
    tables[1].begin(ENGINE, Load(requests=1))
    exchange(tables)
    assert tables[0].total(ENGINE, MAX_TOTALS_AGE).requests == 1
    assert tables[0].total(ENGINE, MAX_TOTALS_AGE + 1).requests == 0


def test_totals_with_an_evicted_report_count_the_own_part_twice() -> None:
    table = LoadTable()
    table.begin(ENGINE, Load(requests=1))
    summer = LoadAggregator()
    summer.update(0, table.report(()), 0)
    totals = summer.totals(0)[0]
    for _ in range(MAX_KEPT_REPORTS):
        table.report(())
    assert table.apply_sums(totals.included, sums_of(totals), 0) is None
    assert table.total(ENGINE, 0).requests == 2


def test_a_replica_drops_old_reports_and_sums_usage() -> None:
    summer = LoadAggregator()
    table = LoadTable()
    table.begin(ENGINE, Load(requests=1))
    summer.update(1, table.report([UsageRow("bank", 10, 20)]), 0)
    summer.update(
        2, table.report([UsageRow("bank", 1, 2), UsageRow("shop", 3, 4)]), 900
    )
    both = sums_of(summer.totals(1_000)[2])
    assert both.rows == (LoadRow(ENGINE.digest(), 2, 0, 0),)
    assert both.usage == (UsageRow("bank", 11, 22), UsageRow("shop", 3, 4))
    assert set(summer.totals(1_001)) == {2}
    summer.remove(2)
    assert summer.totals(1_001) == {}
