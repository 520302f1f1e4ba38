"""Service requested and received by client accounts, by second, over all entries.

No I/O.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from leadseam.explain.tables import MILLIS_PER_SECOND, render_columns

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

LOG_MESSAGE = "accounts refused"
HEADINGS = (
    "second",
    "account",
    "asked",
    "placed",
    "refused",
    "served of late",
    "standing",
    "sums age ms",
    "reasons",
)


@dataclass(slots=True)
class AccountSecond:
    """One account in one second, over all entries that wrote a line about it.

    Args:
        second: Second of the wall clock.
        account: Name of the account.
        requested: Requested service in tokens; repeated requests count each time.
        placed: Service of the requests that were sent to an upstream.
        largest: Service of the largest request that arrived.
        refused: Number of requests that did not run, by reason.
        served: Highest recent service of the account that an entry had recorded.
        standings: Number of entries by the standing that they assigned to the account.
        sums_age: Age of the oldest sums that an entry used, in milliseconds.
    """

    second: int
    account: str
    requested: int = 0
    placed: int = 0
    largest: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    served: int = 0
    standings: Counter[str] = field(default_factory=Counter)
    sums_age: int = 0

    def add(self, row: dict[str, Any], sums_age: int) -> None:
        """Add the row that one entry logged for this account."""
        self.requested += row.get("asked", 0)
        self.placed += row.get("placed", 0)
        self.largest = max(self.largest, row.get("largest", 0))
        self.refused.update(row.get("refused", {}))
        self.served = max(self.served, row.get("served_of_late", 0))
        self.standings[row.get("standing", "")] += 1
        self.sums_age = max(self.sums_age, sums_age)

    def add_service(self, requested: int, placed: int, largest: int) -> None:
        """Add what one entry logged of an account that it hardly refused."""
        self.requested += requested
        self.placed += placed
        self.largest = max(self.largest, largest)


def read_accounts(lines: Iterable[str]) -> list[AccountSecond]:
    """Return the accounts by second, those refused most often first.

    Args:
        lines: Log lines of one or more entries; unrelated lines are skipped.
    """
    seconds: dict[tuple[int, str], AccountSecond] = {}
    for fields in _read_messages(lines):
        # A line is written at the end of the second that it counts.
        second = round(fields.get("time", 0) / MILLIS_PER_SECOND) - 1

        def find(account: str, second: int = second) -> AccountSecond:
            key = (second, account)
            return seconds.setdefault(key, AccountSecond(second, account))

        for row in fields.get("accounts", ()):
            account = row.get("account", "")
            find(account).add(row, fields.get("sums_age_ms", 0))
        for account, counts in fields.get("served", {}).items():
            find(account).add_service(*counts)
    return sorted(
        seconds.values(),
        key=lambda summary: (summary.second, -summary.refused.total(), summary.account),
    )


def render_accounts(rows: Sequence[AccountSecond], *, max_rows: int) -> str:
    """Return a table as text.

    Args:
        rows: Rows of the table, in order.
        max_rows: Maximum rows for each second; the number of omitted rows is shown.
    """
    shown: Counter[int] = Counter()
    left_out: defaultdict[int, int] = defaultdict(int)
    texts = [list(HEADINGS)]
    for row in rows:
        if shown[row.second] >= max_rows:
            left_out[row.second] += 1
            continue
        shown[row.second] += 1
        texts.append(_row_texts(row))
    lines = render_columns(texts)
    lines += [f"and {count} more in {second}" for second, count in left_out.items()]
    return "\n".join(lines)


def _read_messages(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find("{")
        if start < 0 or LOG_MESSAGE not in line:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and fields.get("message") == LOG_MESSAGE:
            yield fields


def _row_texts(row: AccountSecond) -> list[str]:
    return [
        str(row.second),
        row.account,
        str(row.requested),
        str(row.placed),
        str(row.refused.total()),
        str(row.served),
        _counts(row.standings),
        str(row.sums_age),
        _counts(row.refused),
    ]


def _counts(counts: Counter[str]) -> str:
    return " ".join(f"{name}:{count}" for name, count in counts.most_common())
