"""Which replica aggregates loads, and what entries do while it does not answer.

Guards against a frozen control box that keeps its links open. For two seconds every
entry went on sending its reports there, so none had the requests that the others had in
flight, and engines received twice the requests that they accept. The usage of accounts
from before the freeze was counted as long as it lasted, so accounts without requests
since then were held back.
"""

from __future__ import annotations

from leadseam.feed.aggregator_selector import (
    PROBE_INTERVAL,
    SILENCE_LIMIT,
    AggregatorSelector,
)
from leadseam.routing.load import MAX_TOTALS_AGE
from leadseam.routing.usage import Standing, UsageTable
from leadseam.wire.feed import LoadSums, UsageRow

NAMES = {"10.2.0.1:7", "10.1.0.1:7", "10.3.0.1:7"}
FIRST, SECOND, _ = sorted(NAMES)
INTERVAL = 50


def test_all_entries_choose_the_same_replica() -> None:
    selector = AggregatorSelector()
    assert selector.targets(NAMES, 0) == (FIRST,)
    assert selector.answered(FIRST)
    assert not selector.answered(SECOND)
    assert selector.targets(NAMES - {FIRST}, 50) == (SECOND,)
    assert selector.targets((), 100) == ()
    assert selector.chosen is None


def test_a_frozen_replica_is_skipped_before_totals_are_too_old() -> None:
    selector = AggregatorSelector()
    selector.targets(NAMES, 0)
    selector.answered(FIRST)
    now = 0
    while selector.chosen == FIRST:
        now += INTERVAL
        selector.targets(NAMES, now)
    assert selector.chosen == SECOND
    assert SILENCE_LIMIT < now <= SILENCE_LIMIT + 2 * INTERVAL
    assert now < MAX_TOTALS_AGE
    assert selector.answered(SECOND)


def test_a_skipped_replica_is_probed_until_it_answers() -> None:
    selector = AggregatorSelector()
    selector.targets(NAMES, 0)
    now = SILENCE_LIMIT + 1
    asked = 0
    while now <= SILENCE_LIMIT + 4 * PROBE_INTERVAL:
        targets = selector.targets(NAMES, now)
        selector.answered(SECOND)
        asked += FIRST in targets
        assert SECOND in targets
        now += INTERVAL
    assert asked == 4
    # Its first answer arrives before it is chosen again and is not used.
    assert not selector.answered(FIRST)
    assert selector.targets(NAMES, now) == (FIRST,)


def test_outdated_totals_hold_no_account_back() -> None:
    book = UsageTable()
    rows = (UsageRow("notes", 900, 2_000), UsageRow("tags", 50, 2_000))
    book.apply_sums(LoadSums((), rows), None, capacity=900, now=0)
    assert book.standing("notes", MAX_TOTALS_AGE) is Standing.STOPPED
    assert book.recent_service("notes", MAX_TOTALS_AGE) == 900
    assert book.standing("notes", MAX_TOTALS_AGE + 1) is Standing.WITHIN
    assert book.recent_service("notes", MAX_TOTALS_AGE + 1) == 0
