"""Rooms of entries, added up by failure domain at a replica."""

from __future__ import annotations

from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.wire.codec import decode
from leadseam.wire.feed import DomainRoom, EntryRoom, LoadReport, LoadSums


def rooms_of(aggregator: LoadAggregator, now: int) -> dict[str, DomainRoom]:
    """Return the rooms by failure domain in the sums of an aggregator."""
    totals = next(iter(aggregator.totals(now).values()))
    rows = decode(totals.data, LoadSums).rooms
    assert len({row.failure_domain for row in rows}) == len(rows)
    return {row.failure_domain: row for row in rows}


def report(room: EntryRoom | None) -> LoadReport:
    """Return a report without loads."""
    return LoadReport(1, (), (), room)


def test_rooms_add_up_by_domain_and_only_of_entries_that_state_them() -> None:
    aggregator = LoadAggregator()
    rooms = [EntryRoom("a", True), EntryRoom("a", False), EntryRoom("b", False), None]
    for number, room in enumerate(rooms):
        aggregator.update(number, report(room), 0)
    assert rooms_of(aggregator, 0) == {
        "a": DomainRoom("a", entries=2, with_room=1),
        "b": DomainRoom("b", entries=1, with_room=0),
    }


def test_an_entry_that_is_lost_or_silent_no_longer_counts() -> None:
    aggregator = LoadAggregator()
    for number in range(3):
        aggregator.update(number, report(EntryRoom("a", True)), 0)
    aggregator.remove(0)
    aggregator.update(1, report(EntryRoom("a", True)), 500)
    assert rooms_of(aggregator, 1_000)["a"] == DomainRoom("a", 2, 2)
    assert rooms_of(aggregator, 1_001)["a"] == DomainRoom("a", 1, 1)


def test_a_report_of_an_entry_of_an_earlier_version_has_no_room() -> None:
    assert decode(b"\x84\x18\x27\x01\x80\x80", LoadReport).room is None
