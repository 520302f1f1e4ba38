"""Rooms of entries, added up by failure domain at a replica."""

from __future__ import annotations

from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.handover.targets import MAX_OFFERS
from leadseam.wire.codec import decode
from leadseam.wire.feed import (
    DomainRoom,
    EntryRoom,
    LoadReport,
    LoadRow,
    LoadSums,
    UsageRow,
)
from leadseam.wire.record import Record


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


def offers_of(aggregator: LoadAggregator) -> list[str]:
    """Return the addresses of the entries that the next totals name."""
    totals = next(iter(aggregator.totals(0).values()))
    return [offer.address for offer in decode(totals.data, LoadSums).offers]


def test_totals_name_entries_with_room_that_take_connections_over() -> None:
    aggregator = LoadAggregator()
    rooms = [
        EntryRoom("a", True, "10.0.0.1:7000", 300),
        EntryRoom("a", False, "10.0.0.2:7000", 300),
        EntryRoom("b", True, "10.0.0.3:7000", 900),
        # Entries of an earlier version take none over.
        EntryRoom("a", True),
    ]
    for number, room in enumerate(rooms):
        aggregator.update(number, report(room), 0)
    assert offers_of(aggregator) == ["10.0.0.1:7000", "10.0.0.3:7000"]
    # Other domains get the rooms only.
    assert aggregator.sums().offers == ()


def test_totals_name_the_entries_of_a_large_domain_in_turn() -> None:
    aggregator = LoadAggregator()
    for number in range(3 * MAX_OFFERS):
        room = EntryRoom("a", True, f"10.0.0.{number}:7000", 300)
        aggregator.update(number, report(room), 0)
    named = [offers_of(aggregator) for _ in range(3)]
    assert {len(offers) for offers in named} == {MAX_OFFERS}
    assert len({address for offers in named for address in offers}) == 3 * MAX_OFFERS


class EarlierSums(Record, frozen=True, array_like=True):
    """`LoadSums` as an entry of an earlier version knows them."""

    rows: tuple[LoadRow, ...]
    usage: tuple[UsageRow, ...]
    rooms: tuple[DomainRoom, ...] = ()


def test_an_entry_of_an_earlier_version_understands_totals_with_offers() -> None:
    aggregator = LoadAggregator()
    aggregator.update(0, report(EntryRoom("a", True, "10.0.0.1:7000", 300)), 0)
    totals = next(iter(aggregator.totals(0).values()))
    assert decode(totals.data, EarlierSums).rooms == (DomainRoom("a", 1, 1),)
