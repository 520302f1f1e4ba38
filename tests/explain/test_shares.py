"""Shortfalls of refused accounts against the best served one."""

from __future__ import annotations

import json
from collections import Counter

from leadseam.explain.accounts import AccountSecond, read_accounts
from leadseam.explain.shares import find_shortfalls, render_shortfalls


def make_seconds(
    account: str, requested: int, placed: int, *, refused: int = 1, count: int = 6
) -> list[AccountSecond]:
    """Return an account's rows of consecutive seconds that are all alike."""
    return [
        AccountSecond(
            second, account, requested, placed, 10, Counter(upstream_full=refused)
        )
        for second in range(count)
    ]


def test_an_account_is_due_what_it_requested_or_what_the_best_served_one_got() -> None:
    best = make_seconds("best", 900, 200)
    modest = make_seconds("modest", 100, 80)
    flooding = make_seconds("flooding", 500, 60)
    found = find_shortfalls(best + modest + flooding)
    assert [(one.account, one.got, one.due) for one in found] == [
        ("flooding", 360, 1_200),
        ("modest", 480, 600),
    ]
    assert (found[0].part, found[0].tolerant_part) == (0.3, 0.325)
    assert (found[0].best, found[0].best_got) == ("best", 1_200)


def test_a_span_counts_only_if_the_account_was_refused_in_each_second() -> None:
    rows = make_seconds("best", 900, 200) + make_seconds("short", 900, 60)
    rows[8].refused.clear()
    assert find_shortfalls(rows) == []
    assert render_shortfalls([], max_rows=5) == (
        "no account was refused in each second of a span"
    )


def test_the_table_has_the_least_part_of_each_account() -> None:
    rows = make_seconds("best", 900, 200, count=7) + make_seconds("a", 900, 60, count=7)
    head, titles, row = render_shortfalls(
        find_shortfalls(rows), max_rows=5
    ).splitlines()
    assert head == (
        "2 spans, 2 below 0.5; tolerant part: "
        "least 0.33, 1% 0.33, 10% 0.33, median 0.33"
    )
    assert titles.split()[:3] == ["part", "tolerant", "second"]
    assert row.split()[:6] == ["0.30", "0.33", "0", "a", "360", "1200"]


def make_line(
    node: str, accounts: dict[str, tuple[int, int, int]], *, second: int
) -> str:
    """Return an entry's line of one second: service asked, placed, and refusals."""
    rows = [
        {
            "account": name,
            "asked": asked,
            "placed": placed,
            "largest": 10,
            "refused": {"entry_busy": refused} if refused else {},
            "standing": "within",
        }
        for name, (asked, placed, refused) in accounts.items()
    ]
    fields = {
        "time": (second + 1) * 1_000,
        "node": node,
        "message": "accounts refused",
        "lag_ms": 300 if node == "small" else 5,
        "processor_ms": 290 if node == "small" else 60,
        "accounts": rows,
    }
    return json.dumps(fields)


def test_a_shortfall_names_the_entries_that_lacked_processor_time() -> None:
    lines = [
        line
        for second in range(6)
        for line in (
            make_line("small", {"short": (900, 40, 30)}, second=second),
            make_line("idle", {"best": (250, 200, 0)}, second=second),
        )
    ]
    found = find_shortfalls(read_accounts(lines))
    (short,) = found
    # Of 250 asked in each second at the entry with processor time, 200 were placed.
    assert (short.due, short.elsewhere) == (1_200, 960)
    (entry,) = short.entries
    assert (entry.node, entry.requested, entry.got) == ("small", 5_400, 240)
    assert entry.refused == {"entry_busy": 180}
    assert (entry.largest_lag, entry.processor_time) == (300, 290)
    last = render_shortfalls(found, max_rows=5).splitlines()[-1]
    assert last.split() == [
        *("short", "0", "small", "5400", "240", "300", "290", "entry_busy:180")
    ]
