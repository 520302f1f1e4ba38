"""Traffic of load reports and totals at a node, in bytes.

Guards against sums that exceed the limit for control traffic. With 39 engines, 60
accounts and 68 entries, sums sent twenty times a second took 46 KB/s at each entry, and
were encoded for each entry separately. That was 101 MB of the 202 MB between failure
domains on a benchmark day of 50 s. Now they take at most 20 KB/s, up to sums of 4 KB,
some 180 rows.
"""

from __future__ import annotations

from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.feed import load_aggregator as module
from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.feed.report_interval import (
    MAX_INTERVAL,
    MIN_INTERVAL,
    interval_for,
    report_size,
)
from leadseam.incarnation import Incarnation
from leadseam.wire.codec import encode
from leadseam.wire.feed import LoadReport, LoadRow, UsageRow

LIMIT = 20_000
"""The operators' limit of control traffic at a node, in bytes per second."""
ENVELOPE = 16
"""Maximum size of a message without the sums, in bytes."""


def make_row(number: int) -> LoadRow:
    """Return the row of a busy engine."""
    upstream = Incarnation(f"i-{number:010x}").digest()
    return LoadRow(upstream, 12, 90_000, 500_000)


def make_report(engines: int, accounts: int) -> LoadReport:
    """Return a report with the largest counts of a busy fleet."""
    return LoadReport(
        999,
        tuple(
            LoadRow(Incarnation(f"i-{n:010x}").digest(), 12, 90_000, 500_000)
            for n in range(engines)
        ),
        tuple(UsageRow(f"acct{n:05}", 4_000_000, 9_000_000) for n in range(accounts)),
    )


@settings(derandomize=True, database=None, deadline=None, max_examples=50)
@given(engines=st.integers(1, 60), accounts=st.integers(1, 60))
def test_the_sums_take_no_more_of_a_node_than_its_limit(
    engines: int, accounts: int
) -> None:
    aggregator = LoadAggregator()
    aggregator.update(1, make_report(engines, accounts), 0)
    totals = aggregator.totals(0)[1]
    interval = interval_for(len(totals.data))
    assert len(encode(totals)) <= len(totals.data) + ENVELOPE
    if interval < MAX_INTERVAL:
        # Intervals are rounded down to whole milliseconds.
        assert len(totals.data) * 1_000 / (interval + 1) < LIMIT


def test_intervals_stay_between_the_shortest_and_the_longest() -> None:
    assert interval_for(0) == MIN_INTERVAL
    assert interval_for(2_200) == 110
    assert interval_for(54_565) == MAX_INTERVAL


def test_the_size_of_a_report_is_estimated_from_its_rows() -> None:
    report = make_report(20, 30)
    assert 0.8 < report_size(report) / len(encode(report)) < 1.2


def test_sums_are_encoded_once_for_all_entries() -> None:
    aggregator = LoadAggregator()
    for number in range(68):
        aggregator.update(number, make_report(10, 10), 0)
    with mock.patch.object(module, "encode", wraps=encode) as counted:
        totals = aggregator.totals(0)
    assert counted.call_count == 1
    assert len(totals) == 68
    assert len({id(one.data) for one in totals.values()}) == 1
