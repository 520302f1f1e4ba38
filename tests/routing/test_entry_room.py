"""Whether a busy entry redirects its callers, given the rooms that the sums state.

Guards against redirecting callers who then find no room: they have one retry.
"""

from __future__ import annotations

import pytest

from leadseam.routing.entry_room import EntryRooms
from leadseam.wire.feed import DomainRoom, EntryRoom

WITHOUT_ROOM = EntryRoom("a", has_room=False)
WITH_ROOM = EntryRoom("a", has_room=True)


def rooms_after(*rows: DomainRoom, own: EntryRoom | None = WITHOUT_ROOM) -> EntryRooms:
    """Return the rooms that an entry of domain `a` knows after sums at 5,000 ms."""
    rooms = EntryRooms("a", enabled=True)
    rooms.apply(rows, own, 5_000)
    return rooms


@pytest.mark.parametrize(
    ("entries", "with_room", "redirects"),
    [
        (8, 7, True),
        (8, 4, True),
        (8, 3, False),
        (4, 2, True),
        (4, 1, False),
        (3, 2, False),
        (1, 0, False),
    ],
)
def test_half_of_at_least_three_others_must_have_room(
    entries: int, with_room: int, redirects: bool
) -> None:
    rooms = rooms_after(DomainRoom("a", entries, with_room))
    assert rooms.redirects(5_000) is redirects
    assert rooms.others_with_room(5_000) == with_room


@pytest.mark.parametrize(
    ("own", "others"), [(WITHOUT_ROOM, 4), (WITH_ROOM, 3), (None, 3)]
)
def test_the_own_report_that_the_sums_contain_is_subtracted(
    own: EntryRoom | None, others: int
) -> None:
    # When its latest report was subtracted instead, an entry that had just become busy
    # counted itself among the others with room.
    rooms = rooms_after(DomainRoom("a", 8, 4), own=own)
    assert rooms.others_with_room(5_000) == others
    assert rooms.redirects(5_000) is (others == 4)


def test_rooms_are_ignored_after_one_second() -> None:
    rooms = rooms_after(DomainRoom("a", 8, 7))
    assert rooms.redirects(6_000)
    assert not rooms.redirects(6_001)
    assert rooms.others_with_room(6_001) == 0


def test_entries_of_other_domains_do_not_count() -> None:
    rooms = rooms_after(DomainRoom("b", 9, 9), DomainRoom("a", 4, 1))
    assert rooms.others_with_room(5_000) == 1
    assert not rooms.redirects(5_000)


def test_sums_without_the_own_domain_replace_earlier_ones() -> None:
    # A replica of an earlier version, which states no rooms, may take over the sums.
    rooms = rooms_after(DomainRoom("a", 8, 7))
    rooms.apply((), WITHOUT_ROOM, 5_050)
    assert not rooms.redirects(5_050)
    assert rooms.others_with_room(5_050) == 0


def test_an_entry_that_does_not_know_its_limits_redirects_nobody() -> None:
    rooms = EntryRooms("a")
    rooms.apply([DomainRoom("a", 8, 8)], None, 5_000)
    assert not rooms.redirects(5_000)
    assert rooms.others_with_room(5_000) == 0
