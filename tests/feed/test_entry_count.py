"""The number of entries among which a fleet-wide limit is divided."""

from __future__ import annotations

from leadseam.feed.entry_count import RETENTION, SETTLING_TIME, EntryCount


def test_counts_are_used_after_the_settling_time() -> None:
    entries = EntryCount()
    assert entries.recent_max(0) == 0
    entries.record(3, 100)
    assert entries.recent_max(99 + SETTLING_TIME) == 0
    entries.record(22, 600)
    assert entries.recent_max(100 + SETTLING_TIME) == 22


def test_the_largest_recent_count_is_used() -> None:
    # A replica that reaches only half of the entries must not double their limits.
    entries = EntryCount()
    entries.record(22, 0)
    entries.record(10, 1_000)
    entries.record(0, 1_500)
    assert entries.recent_max(2_000) == 22
    assert entries.recent_max(RETENTION) == 22
    assert entries.recent_max(RETENTION + 1) == 10
    assert entries.recent_max(10 * RETENTION) == 10
