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
BUSY_REASON = "entry_busy"
"""Reason of refusals for want of an entry's processor time."""
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


@dataclass(frozen=True, slots=True)
class EntrySecond:
    """One entry in one second.

    Args:
        node: Name of the entry.
        sums_age: Age of the sums that it used, in milliseconds.
        largest_lag: Largest lag of its event loop, in milliseconds.
        processor_time: Processor time that it used, in milliseconds.
        is_busy: Whether it refused requests for want of processor time.
    """

    node: str
    sums_age: int = 0
    largest_lag: int = 0
    processor_time: int = 0
    is_busy: bool = False


@dataclass(frozen=True, slots=True)
class AccountAtEntry:
    """One account in one second, at one entry.

    Args:
        entry: The entry in that second.
        requested: Requested service in tokens; repeated requests count each time.
        placed: Service of the requests that were sent to an upstream.
        refused: Number of requests that did not run, by reason.
    """

    entry: EntrySecond
    requested: int
    placed: int
    refused: Counter[str]


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
        at_entries: What happened at each entry.
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
    at_entries: list[AccountAtEntry] = field(default_factory=list)

    def add(self, row: dict[str, Any], entry: EntrySecond) -> None:
        """Add the row that one entry logged for this account.

        Args:
            row: The row; it names no standing if the account was hardly refused.
            entry: The entry in the second of the row.
        """
        requested, placed = row.get("asked", 0), row.get("placed", 0)
        refused = Counter(row.get("refused", {}))
        self.requested += requested
        self.placed += placed
        self.largest = max(self.largest, row.get("largest", 0))
        self.refused.update(refused)
        self.at_entries.append(AccountAtEntry(entry, requested, placed, refused))
        if "standing" in row:
            self.served = max(self.served, row.get("served_of_late", 0))
            self.standings[row["standing"]] += 1
            self.sums_age = max(self.sums_age, entry.sums_age)


def read_accounts(lines: Iterable[str]) -> list[AccountSecond]:
    """Return the accounts by second, those refused most often first.

    Args:
        lines: Log lines of one or more entries; unrelated lines are skipped.
    """
    seconds: dict[tuple[int, str], AccountSecond] = {}
    for fields in _read_messages(lines):
        # A line is written at the end of the second that it counts.
        second = round(fields.get("time", 0) / MILLIS_PER_SECOND) - 1
        rows = _read_rows(fields)
        entry = EntrySecond(
            fields.get("node", ""),
            sums_age=fields.get("sums_age_ms", 0),
            largest_lag=fields.get("lag_ms", 0),
            processor_time=fields.get("processor_ms", 0),
            is_busy=any(BUSY_REASON in row.get("refused", {}) for row in rows.values()),
        )
        for account, row in rows.items():
            summary = seconds.setdefault(
                (second, account), AccountSecond(second, account)
            )
            summary.add(row, entry)
    return sorted(
        seconds.values(),
        key=lambda summary: (summary.second, -summary.refused.total(), summary.account),
    )


def _read_rows(fields: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Return the rows of a line by account, those with service only among them."""
    rows = {row.get("account", ""): row for row in fields.get("accounts", ())}
    for account, counts in fields.get("served", {}).items():
        rows[account] = dict(zip(("asked", "placed", "largest"), counts, strict=True))
    return rows


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
