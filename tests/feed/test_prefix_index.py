"""What a replica tells entries of the parts that engines hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from leadseam.feed.prefix_index import (
    CHANGES_INTERVAL,
    INTEREST_TTL,
    MAX_PARTS,
    CacheEvent,
    EventPage,
    PrefixIndex,
)
from leadseam.routing.part_holders import PartHolders, part_digest
from leadseam.wire.feed import CacheChanges, EngineCache

if TYPE_CHECKING:
    from leadseam.clock import Millis

ENGINE = 1
ENTRY, OTHER_ENTRY = 7, 8
A, B = part_digest("a"), part_digest("b")


def page(
    *events: tuple[str, int], epoch: str = "1", cursor: str = "5", lost: bool = False
) -> EventPage:
    """Return a page whose events are numbered in order."""
    rows = (CacheEvent(number, *event) for number, event in enumerate(events))
    return EventPage(epoch, cursor, lost, tuple(rows))


def watched(*events: tuple[str, int], interest: tuple[int, ...] = (A,)) -> PrefixIndex:
    """Return an index with one engine and one entry, whose changes have been sent."""
    index = PrefixIndex()
    index.watch(ENGINE)
    index.add_interest(ENTRY, interest, 0)
    index.apply(ENGINE, page(*events), 0)
    index.take_changes(0)
    return index


def only_row(changes: CacheChanges | None) -> EngineCache:
    """Return the only row of a message."""
    assert changes is not None
    (row,) = changes.rows
    return row


def test_changes_of_other_parts_and_repeated_events_are_not_sent() -> None:
    index = watched(("a", 600))
    index.apply(ENGINE, page(("b", 600), ("a", 600)), 200)
    assert index.take_changes(200) is None


def test_changes_are_collected_for_100_ms() -> None:
    index = watched(("a", 600))
    index.apply(ENGINE, page(("a", 0)), 10)
    assert index.take_changes(CHANGES_INTERVAL - 1) is None
    row = only_row(index.take_changes(CHANGES_INTERVAL))
    assert row == EngineCache(ENGINE, whole=False, gone=(A,))


def test_events_of_a_page_are_applied_by_number() -> None:
    index = watched()
    events = (CacheEvent(2, "a", 0), CacheEvent(1, "a", 600))
    index.apply(ENGINE, EventPage("1", "6", False, events), 200)
    row = only_row(index.take_changes(200))
    assert row == EngineCache(ENGINE, whole=False, gone=(A,))


def test_holders_of_a_part_known_before_are_told_with_the_interest() -> None:
    index = watched(("b", 600))
    assert index.add_interest(ENTRY, (B,), 200) is None
    row = only_row(index.take_changes(200))
    assert row == EngineCache(ENGINE, whole=False, held=((B, 600),))


def test_a_new_subscriber_is_told_everything_at_once() -> None:
    """It would otherwise only learn what changes from now on."""
    index = watched(("a", 600), ("b", 600))
    known = only_row(index.add_interest(OTHER_ENTRY, (A,), 1))
    assert known == EngineCache(ENGINE, whole=True, held=((A, 600),))
    index.remove_subscriber(OTHER_ENTRY)
    assert index.subscribers == {ENTRY}


def test_an_interest_that_is_not_repeated_ends() -> None:
    index = watched(("a", 600))
    assert index.has_interest(INTEREST_TTL - 1)
    assert not index.has_interest(INTEREST_TTL)
    row = only_row(index.take_changes(INTEREST_TTL))
    assert row == EngineCache(ENGINE, whole=False, gone=(A,))


def test_leftover_parts_do_not_displace_those_of_interest() -> None:
    """Where events of evictions are lost, parts of single requests are left over."""
    index = watched(("a", 600))
    index.apply(ENGINE, page(*((str(n), 600) for n in range(2 * MAX_PARTS))), 200)
    assert len(index._engines[ENGINE].held) <= MAX_PARTS
    assert index.take_changes(200) is None


_steps = st.one_of(
    st.tuples(st.just("event"), st.integers(0, 2), st.sampled_from("abcd")),
    st.tuples(st.just("gap"), st.integers(0, 2), st.sampled_from("abcd")),
    st.tuples(st.just("restart"), st.integers(0, 2), st.just("")),
    st.tuples(st.just("rewatch"), st.integers(0, 2), st.just("")),
    st.tuples(st.just("interest"), st.sampled_from((7, 8)), st.sampled_from("abcd")),
    st.tuples(st.just("pass"), st.integers(0, INTEREST_TTL), st.just("")),
)


@given(st.lists(st.tuples(_steps, st.sampled_from((0, 600, 700))), max_size=40))
def test_entries_know_what_the_index_knows(
    steps: list[tuple[tuple[str, int, str], int]],
) -> None:
    """Guards against changes that are lost between a row, a snapshot and an expiry."""
    index = PrefixIndex()
    entries = {7: PartHolders(), 8: PartHolders()}
    now: Millis = 0
    epochs = dict.fromkeys(range(3), 0)
    for engine in epochs:
        index.watch(engine)
    for (kind, number, part), tokens in steps:
        match kind:
            case "event" | "gap":
                epoch, lost = str(epochs[number]), kind == "gap"
                index.apply(number, page((part, tokens), epoch=epoch, lost=lost), now)
            case "restart":
                epochs[number] += 1
                index.apply(number, page(epoch=str(epochs[number])), now)
            case "rewatch":
                index.unwatch(number)
                index.watch(number)
            case "interest":
                snapshot = index.add_interest(number, (part_digest(part),), now)
                if snapshot is not None:
                    entries[number].apply("r", snapshot)
            case _:
                now += number
        index.take_silent(now)
        if (changes := index.take_changes(now)) is not None:
            for subscriber in index.subscribers:
                entries[subscriber].apply("r", changes)
    now += CHANGES_INTERVAL
    if (changes := index.take_changes(now)) is not None:
        for subscriber in index.subscribers:
            entries[subscriber].apply("r", changes)
    for subscriber in index.subscribers:
        for digest, known in index._engines.items():
            assert entries[subscriber].covers(digest) == known.reported
            for wanted in index._interests if known.reported else ():
                tokens_told = entries[subscriber].tokens_held(digest, wanted)
                assert tokens_told == known.held.get(wanted, 0)
