"""Tables of client accounts from log lines of several entries."""

from __future__ import annotations

import json

from leadseam.explain.accounts import read_accounts, render_accounts


def make_line(
    at: int,
    *rows: dict[str, object],
    age: int = 40,
    served: dict[str, list[int]] | None = None,
) -> str:
    """Return a log line of an entry."""
    fields = {"time": at, "message": "accounts refused", "sums_age_ms": age}
    return json.dumps(fields | {"accounts": list(rows), "served": served or {}})


def make_row(account: str, **fields: object) -> dict[str, object]:
    """Return one account's row of a log line."""
    defaults: dict[str, object] = {"asked": 100, "placed": 20, "served_of_late": 80}
    return {"account": account, "standing": "within", "refused": {}} | defaults | fields


def test_rows_of_several_entries_are_summed_by_second() -> None:
    lines = [
        make_line(2_003, make_row("menus", refused={"upstream_full": 2})),
        make_line(1_998, make_row("menus", standing="ahead", served_of_late=90)),
        make_line(2_001, served={"menus": [30, 10, 20]}),
        make_line(3_000, make_row("menus", refused={"entry_busy": 1}), age=700),
        '{"message":"request ended"}',
        "not JSON: accounts refused {",
    ]
    first, second = read_accounts(lines)
    assert (first.second, first.requested, first.placed) == (1, 230, 50)
    assert first.largest == 20
    assert (first.refused, first.served) == ({"upstream_full": 2}, 90)
    assert first.standings == {"within": 1, "ahead": 1}
    assert (second.second, second.sums_age) == (2, 700)


def test_the_table_shows_who_was_refused_most_in_each_second() -> None:
    rows = read_accounts(
        [
            make_line(
                2_000,
                make_row("few", refused={"upstream_full": 1}),
                make_row("many", refused={"upstream_full": 5, "entry_busy": 2}),
            )
        ]
    )
    head, row, more = render_accounts(rows, max_rows=1).splitlines()
    assert head.split()[:3] == ["second", "account", "asked"]
    assert row.split()[:5] == ["1", "many", "100", "20", "7"]
    assert row.endswith("upstream_full:5 entry_busy:2")
    assert more == "and 1 more in 1"
