"""Sums of other replicas, their addition, and when loads are aggregated by domain.

Guards against sums that are late, of an earlier run or counted twice, against a mode
that flaps, and against messages that processes of the previous version cannot read.
"""

from __future__ import annotations

import pytest

from leadseam.feed.aggregator_selector import AggregatorSelector
from leadseam.feed.domain_aggregator import DomainAggregator
from leadseam.feed.domain_mode import (
    LINGER_TIME,
    SETTLING_TIME,
    TIME_TO_DISABLE,
    TIME_TO_ENABLE,
    DomainMode,
    DomainModeSwitch,
)
from leadseam.feed.domain_sums import (
    MAX_SUMS_AGE,
    DomainSumsTable,
    entry_digest,
    merge_sums,
)
from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.wire.codec import (
    decode,
    decode_frame,
    encode,
    encode_frame,
    encode_message,
)
from leadseam.wire.feed import (
    Current,
    DomainRoom,
    DomainSums,
    LoadReport,
    LoadRow,
    LoadSums,
    Replicas,
    Subscribe,
    UsageRow,
)
from leadseam.wire.messages import Hello

ONE, TWO = entry_digest("one", 1), entry_digest("two", 1)


def make_sums(replica: str, sequence: int, entries: bytes, run: int = 1) -> DomainSums:
    """Return sums with as many requests as their sequence number."""
    data = encode(LoadSums((LoadRow(1, sequence, 0, 0),), ()))
    return DomainSums(replica, sequence, data, run, entries, by_domain=True)


def requests(table: DomainSumsTable, now: int = 0) -> int | None:
    """Return the requests in the sums that a table holds."""
    return table.requests_at({1}, now)


def test_rows_of_loads_usage_and_rooms_add_up() -> None:
    one = LoadSums(
        (LoadRow(1, 2, 3, 4), LoadRow(2, 1, 1, 1)),
        (UsageRow("a", 5, 9),),
        (DomainRoom("x", 4, 1),),
    )
    two = LoadSums(
        (LoadRow(1, 10, 20, 30),),
        (UsageRow("a", 1, 2), UsageRow("b", 7, 8)),
        (DomainRoom("x", 2, 2), DomainRoom("y", 3, 0)),
    )
    assert merge_sums((one, two)) == LoadSums(
        (LoadRow(1, 12, 23, 34), LoadRow(2, 1, 1, 1)),
        (UsageRow("a", 6, 11), UsageRow("b", 7, 8)),
        (DomainRoom("x", 6, 3), DomainRoom("y", 3, 0)),
    )
    assert merge_sums((one, LoadSums((), ()))) == one


def test_late_sums_are_rejected_and_those_of_a_new_run_are_not() -> None:
    table = DomainSumsTable()
    assert table.receive(make_sums("a", 8, ONE), (), 0) is None
    for sequence in (8, 7):
        assert table.receive(make_sums("a", sequence, ONE), (), 0) == "late"
    assert table.receive(make_sums("a", 1, ONE, run=2), (), 0) is None
    assert table.receive(make_sums("a", 9, ONE), (), 0) == "late"
    assert requests(table) == 1


def test_sums_far_ahead_hold_until_the_replica_starts_again() -> None:
    table = DomainSumsTable()
    assert table.receive(make_sums("a", 2**64, ONE), (), 0) is None
    assert table.receive(make_sums("a", 3, ONE), (), 0) == "late"
    assert requests(table, MAX_SUMS_AGE + 1) is None
    assert table.receive(make_sums("a", 4, ONE), (), MAX_SUMS_AGE + 2) == "late"
    assert table.receive(make_sums("a", 1, ONE, run=2), (), MAX_SUMS_AGE + 2) is None


def test_sums_expire_and_do_not_come_back_late() -> None:
    table = DomainSumsTable()
    table.receive(make_sums("a", 2, ONE), (), 0)
    assert requests(table, MAX_SUMS_AGE) == 2
    assert requests(table, MAX_SUMS_AGE + 1) is None
    assert table.receive(make_sums("a", 1, ONE), (), MAX_SUMS_AGE + 2) == "late"
    assert table.ages(MAX_SUMS_AGE + 2) == {"a": None}
    table.retain_only({"b"})
    assert table.ages(MAX_SUMS_AGE + 2) == {}


def test_sums_that_name_an_entry_of_others_are_rejected() -> None:
    table = DomainSumsTable()
    table.receive(make_sums("a", 2, ONE), (), 0)
    assert table.receive(make_sums("b", 3, ONE + TWO), (), 0) == "overlap"
    assert table.receive(make_sums("b", 3, TWO), {TWO}, 0) == "overlap"
    assert requests(table) == 2
    table.disconnected("a")
    assert table.receive(make_sums("b", 3, ONE + TWO), (), 0) is None
    assert requests(table) == 3


def test_unreadable_sums_are_rejected() -> None:
    table = DomainSumsTable()
    assert table.receive(DomainSums("a", 1, b"\xff"), (), 0) == "unreadable"


def test_a_report_is_held_back_while_other_sums_name_its_entry() -> None:
    table, reports = DomainSumsTable(), LoadAggregator()
    table.receive(make_sums("a", 2, ONE), (), 0)
    reports.update(5, LoadReport(1, (LoadRow(1, 40, 0, 0),), ()), 0, ONE)
    reports.hold_back(table.entries_elsewhere(reports.reporting(), 0))
    totals = reports.totals(0, table.sums(0))[5]
    assert decode(totals.data, LoadSums).rows == (LoadRow(1, 2, 0, 0),)
    table.receive(make_sums("a", 3, b""), (), 0)
    reports.hold_back(table.entries_elsewhere(reports.reporting(), 0))
    totals = reports.totals(0, table.sums(0))[5]
    assert decode(totals.data, LoadSums).rows == (LoadRow(1, 43, 0, 0),)


def test_a_probe_withdraws_a_report_and_is_answered_once() -> None:
    reports = LoadAggregator()
    row = LoadRow(1, 40, 0, 0)
    reports.update(5, LoadReport(1, (row,), ()), 0, ONE)
    reports.update(5, LoadReport(2, (row,), (), probe=True), 0, ONE)
    (totals,) = reports.totals(0).values()
    assert totals.included == 2
    assert decode(totals.data, LoadSums).rows == ()
    assert reports.totals(0) == {}


def test_totals_are_due_once_all_others_have_sent_sums_in_the_interval() -> None:
    # Totals at the end of an interval contained sums that were an interval older.
    loads = DomainAggregator("a", "x", 1)
    loads.receive(make_sums("b", 1, ONE), 0)
    loads.receive(make_sums("c", 1, TWO), 0)
    loads.begin_interval(10)
    assert not loads.totals_due(10)
    loads.receive(make_sums("c", 2, TWO), 11)
    assert not loads.totals_due(11)
    loads.receive(make_sums("b", 2, ONE), 12)
    assert loads.totals_due(12)
    loads.totals(12)
    assert not loads.totals_due(13)
    assert not loads.totals_overdue()
    loads.begin_interval(60)
    assert loads.totals_overdue()


def settle(entries: int, domains: int = 2) -> DomainModeSwitch:
    """Return a switch that has decided."""
    switch = DomainModeSwitch("x")
    for now in range(0, SETTLING_TIME + 1, 500):
        switch.update(entries, domains, now)
    return switch


@pytest.mark.parametrize(
    ("entries", "domains", "mode"),
    [
        (12, 2, DomainMode.ENABLED),
        (11, 3, DomainMode.DISABLED),
        (390, 1, DomainMode.DISABLED),
    ],
)
def test_twelve_entries_and_two_domains_are_required(
    entries: int, domains: int, mode: DomainMode
) -> None:
    assert settle(entries, domains).mode is mode


def test_the_mode_does_not_flap_at_the_limit() -> None:
    switch = settle(12)
    now = SETTLING_TIME
    for step in range(40):
        now += 500
        assert not switch.update(10 if step % 2 else 12, 2, now)
        # A replica that restarts loses its subscribers for a moment.
        assert not switch.update(0 if step % 4 else 12, 1, now)
    start = now
    while switch.mode is DomainMode.ENABLED:
        now += 500
        switch.update(9, 2, now)
    assert now - start >= TIME_TO_DISABLE
    assert switch.exchanges(now + LINGER_TIME - 1)
    assert not switch.exchanges(now + LINGER_TIME)
    assert not switch.update(11, 2, now + TIME_TO_ENABLE)
    assert not switch.update(12, 2, now + TIME_TO_ENABLE)
    assert switch.update(12, 2, now + 2 * TIME_TO_ENABLE)


def test_entries_choose_by_domain_only_if_all_replicas_exchange_sums() -> None:
    selector = AggregatorSelector("y")
    for name, domain in (("1", "x"), ("2", "y"), ("3", "y")):
        selector.set_domain(name, domain)
        selector.set_mode(name, DomainMode.ENABLED)
    assert selector.targets("123", 0) == ("2",)
    selector.set_mode("2", DomainMode.UNDECIDED)
    # The former aggregator gets a probe, which withdraws the report.
    assert selector.targets("123", 50) == ("2", "3")
    assert selector.chosen == "3"
    selector.set_mode("1", Current(1).by_domain)
    assert selector.targets("123", 100) == ("1", "3")
    assert selector.chosen == "1"
    assert not selector.by_domain


def test_messages_of_the_previous_version_are_read() -> None:
    assert decode(b"\x83\x01aa\x00", Hello) == Hello("a", 0)
    assert decode(encode([33, 7, -1, 2]), Current).by_domain == DomainMode.DISABLED
    assert decode(encode([38, ["a"]]), Replicas) == Replicas(("a",))
    assert decode(encode([30, "n", 1, 0, -1, 9]), Subscribe).failure_domain == ""
    assert not decode(encode([39, 1, [], []]), LoadReport).probe
    sums = make_sums("a", 1, ONE)
    assert decode_frame(encode_frame([encode_message(sums)])) == (sums,)
    assert not decode(encode([38, ["a"], "x"]), Replicas).holds_streams
    assert not decode(encode([30, "n", 1, 0, -1, 9, "x"]), Subscribe).reads_versions
    # It ignores fields that it does not know.
    fields = [38, ["a"], "x", True, "y"]
    assert decode(encode(fields), Replicas) == Replicas(("a",), "x", True)
