"""The table of holders while replicas and engines come and go."""

from __future__ import annotations

from leadseam.routing.part_holders import MAX_ROWS, MAX_SPARE_ROWS, PartHolders
from leadseam.wire.feed import CacheChanges, EngineCache

ENGINE, OTHER = 1, 2
PART, SECOND = 11, 12


def whole(engine: int, *held: tuple[int, int]) -> CacheChanges:
    """Return a message that replaces all that was told of an engine."""
    return CacheChanges((EngineCache(engine, whole=True, held=held),))


def test_engines_of_a_lost_replica_are_not_covered() -> None:
    """Rows that nobody updates would send requests to engines without the part."""
    table = PartHolders()
    table.apply("a", whole(ENGINE, (PART, 600)))
    table.apply("b", whole(OTHER, (PART, 500)))
    table.drop_replica("a")
    assert table.tokens_held(ENGINE, PART) is None
    assert not table.covers(ENGINE)
    assert table.holders(PART) == {OTHER: 500}
    assert len(table) == 1


def test_an_engine_stays_covered_while_another_replica_watches_it() -> None:
    """Heartbeats that reach replicas in turn have all of them watch an engine.

    Rows of two replicas got mixed, and the engine was no longer covered once the last
    one that had told of it was lost.
    """
    table = PartHolders()
    table.apply("a", whole(ENGINE, (PART, 600)))
    table.apply("b", whole(ENGINE, (PART, 600), (SECOND, 700)))
    assert table.holders(SECOND) == {}
    table.apply("b", CacheChanges((), unwatched=(OTHER,)))
    table.apply("a", CacheChanges((), unwatched=(ENGINE,)))
    assert table.holders(PART) == {ENGINE: 600}
    assert table.holders(SECOND) == {ENGINE: 700}
    table.drop_replica("b")
    assert not table.covers(ENGINE)
    assert len(table) == 0


def test_rows_beyond_the_limit_are_ignored() -> None:
    table = PartHolders()
    parts = tuple((number, 600) for number in range(MAX_ROWS + 10))
    table.apply("a", whole(ENGINE, (PART, 600)))
    for replica in ("b", "c", "d", "a"):
        table.apply(replica, whole(ENGINE, *parts))
    assert len(table) == MAX_ROWS
    assert table._spare_rows == MAX_SPARE_ROWS
    for replica in "abcd":
        table.drop_replica(replica)
    assert (len(table), table._spare_rows) == (0, 0)
