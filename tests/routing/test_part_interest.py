"""Which shared parts an entry tells replicas about, and when."""

from __future__ import annotations

from leadseam.routing.dialect import PromptPart
from leadseam.routing.part_holders import part_digest
from leadseam.routing.part_interest import MAX_PARTS, RETENTION, PartInterestTable

LONG, SHORT, OWN = PromptPart("a", 512), PromptPart("b", 511), PromptPart("c", 2_000)


def test_only_long_shared_parts_are_of_interest() -> None:
    table = PartInterestTable()
    table.saw((LONG, SHORT, OWN), 0)
    table.saw((OWN,), 0)
    table.saw((), 0)
    assert table.due(0) == (part_digest("a"),)


def test_an_interest_is_sent_at_once_and_again_after_ten_seconds() -> None:
    """Replicas would otherwise forget parts that are in steady use."""
    table = PartInterestTable()
    table.saw((LONG, OWN), 0)
    sent = [now for now in range(0, 60_000, 1_000) if table.due(now)]
    assert sent == [0, 10_000, 20_000, 30_000]
    table.saw((LONG, OWN), 60_000)
    assert table.due(60_000) == (part_digest("a"),)


def test_a_new_replica_is_told_all_parts_seen_recently() -> None:
    table = PartInterestTable()
    table.saw((LONG, OWN), 0)
    table.due(0)
    assert table.current(RETENTION) == (part_digest("a"),)
    assert table.current(RETENTION + 1) == ()


def test_parts_that_are_never_seen_again_do_not_fill_the_memory() -> None:
    table = PartInterestTable()
    for number in range(2 * MAX_PARTS):
        table.saw((PromptPart(str(number), 600), OWN), 0)
    assert len(table.due(0)) == len(table) == MAX_PARTS
    assert len(table._sent) == MAX_PARTS
