"""How far accounts that were refused fell short of the best served one. No I/O.

An account that is refused in each second of a span should get as much as it requested,
or as the best served account got, whichever is less in each second. The platform
tolerates half of that, less three of the account's largest requests.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.explain.tables import render_columns

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from leadseam.explain.accounts import AccountAtEntry, AccountSecond

ENTRY_HEADINGS = (
    "account",
    "second",
    "entry",
    "asked",
    "got",
    "lag ms",
    "processor ms/s",
    "refused",
)
SPAN = 6
"""Length of a compared span in seconds."""
TOLERATED_REQUESTS = 3
"""Largest requests by which the service of an account may fall short."""
TOLERATED_PART = 0.5
MAX_ENTRIES = 4
"""Entries that are shown of each shortfall, those that it requested most of first."""
HEADINGS = (
    "part",
    "tolerant",
    "second",
    "account",
    "got",
    "due",
    "best",
    "its got",
    "elsewhere",
    "refused",
)


@dataclass(frozen=True, slots=True)
class EntryPart:
    """What an account requested and got at one entry in a span.

    Args:
        node: Name of the entry.
        requested: Requested service in tokens.
        got: Service of its requests that were sent to an upstream, in tokens.
        refused: Number of refused requests by reason.
        largest_lag: Largest lag of the entry's event loop, in milliseconds.
        processor_time: Processor time that the entry used, in milliseconds a second.
    """

    node: str
    requested: int
    got: int
    refused: Counter[str]
    largest_lag: int
    processor_time: int


@dataclass(frozen=True, slots=True)
class Shortfall:
    """What an account got in a span in which it was refused in each second.

    Args:
        first: First second of the span.
        account: Name of the account.
        got: Service of its requests that were sent to an upstream, in tokens.
        due: Sum over the seconds of what it requested, or of what the best served
            account got, if that is less.
        largest: Service of its largest request.
        best: Name of the account that got most in the span.
        best_got: Service that this account got.
        refused: Number of refused requests by reason.
        elsewhere: Service that it would have got if it had been served as all accounts
            were, on average, at the entries with processor time; at most its due.
        entries: The entries that its requests arrived at, by requested service.
    """

    first: int
    account: str
    got: int
    due: int
    largest: int
    best: str
    best_got: int
    refused: Counter[str]
    elsewhere: int = 0
    entries: tuple[EntryPart, ...] = ()

    @property
    def part(self) -> float:
        """Part of its due that the account got."""
        return self.got / self.due if self.due else 1.0

    @property
    def tolerant_part(self) -> float:
        """The same with the tolerated requests; below 0.5 the rule is broken."""
        got = self.got + TOLERATED_REQUESTS * self.largest
        return got / self.due if self.due else 1.0


def find_shortfalls(rows: Sequence[AccountSecond]) -> list[Shortfall]:
    """Return the shortfalls of all accounts and spans, the greatest first."""
    seconds: dict[int, dict[str, AccountSecond]] = defaultdict(dict)
    for row in rows:
        seconds[row.second][row.account] = row
    found = [
        shortfall
        for first in sorted(seconds)
        for shortfall in _find_in_span(
            first, [seconds.get(first + offset, {}) for offset in range(SPAN)]
        )
    ]
    return sorted(found, key=lambda one: (one.tolerant_part, one.first))


def _find_in_span(
    first: int, span: Sequence[dict[str, AccountSecond]]
) -> Iterator[Shortfall]:
    got: Counter[str] = Counter()
    for second in span:
        for row in second.values():
            got[row.account] += row.placed
    if not got:
        return
    best, best_got = got.most_common(1)[0]
    placed_part = _placed_part_with_processor_time(span)
    for account in got.keys() - {best}:
        rows = [second.get(account) for second in span]
        refused = [row for row in rows if row is not None and row.refused]
        if len(refused) < SPAN:
            continue
        due = sum(
            min(row.requested, second[best].placed if best in second else 0)
            for row, second in zip(refused, span, strict=True)
        )
        yield Shortfall(
            first,
            account,
            got[account],
            due,
            max(row.largest for row in refused),
            best,
            best_got,
            sum((row.refused for row in refused), Counter()),
            round(min(placed_part, 1.0) * due),
            _entry_parts(refused),
        )


def _placed_part_with_processor_time(span: Sequence[dict[str, AccountSecond]]) -> float:
    """Return the placed part of what was requested at entries that were not busy."""
    requested = placed = 0
    for second in span:
        for row in second.values():
            for one in row.at_entries:
                if not one.entry.is_busy:
                    requested += one.requested
                    placed += one.placed
    return placed / requested if requested else 0.0


def _entry_parts(rows: Sequence[AccountSecond]) -> tuple[EntryPart, ...]:
    by_node: dict[str, list[AccountAtEntry]] = defaultdict(list)
    for row in rows:
        for one in row.at_entries:
            by_node[one.entry.node].append(one)
    parts = [
        EntryPart(
            node,
            sum(one.requested for one in found),
            sum(one.placed for one in found),
            sum((one.refused for one in found), Counter()),
            max(one.entry.largest_lag for one in found),
            sum(one.entry.processor_time for one in found) // len(found),
        )
        for node, found in by_node.items()
    ]
    return tuple(sorted(parts, key=lambda part: (-part.requested, part.node)))


def render_shortfalls(found: Sequence[Shortfall], *, max_rows: int) -> str:
    """Return the distribution of the parts, and a table of the least as text.

    Args:
        found: The shortfalls, the greatest first.
        max_rows: Maximum rows of the table, the least of each account.
    """
    if not found:
        return "no account was refused in each second of a span"
    parts = sorted(one.tolerant_part for one in found)
    broken = sum(part < TOLERATED_PART for part in parts)
    ranks = {"least": 0, "1%": len(parts) // 100, "10%": len(parts) // 10}
    ranks["median"] = len(parts) // 2
    summary = ", ".join(f"{name} {parts[rank]:.2f}" for name, rank in ranks.items())
    least: dict[str, Shortfall] = {}
    for one in found:
        least.setdefault(one.account, one)
    shown = list(least.values())[:max_rows]
    texts = [list(HEADINGS), *map(_row_texts, shown)]
    head = f"{len(parts)} spans, {broken} below {TOLERATED_PART}; tolerant part: "
    lines = [head + summary, *render_columns(texts)]
    if any(one.entries for one in shown):
        lines += ["", *_entry_lines(shown)]
    return "\n".join(lines)


def _entry_lines(shortfalls: Sequence[Shortfall]) -> list[str]:
    """Return a table of the entries that the requests of the accounts arrived at."""
    texts = [
        [
            one.account,
            str(one.first),
            part.node or "-",
            str(part.requested),
            str(part.got),
            str(part.largest_lag),
            str(part.processor_time),
            _reasons(part.refused),
        ]
        for one in shortfalls
        for part in one.entries[:MAX_ENTRIES]
    ]
    return render_columns([list(ENTRY_HEADINGS), *texts])


def _reasons(refused: Counter[str]) -> str:
    return " ".join(f"{name}:{count}" for name, count in refused.most_common())


def _row_texts(one: Shortfall) -> list[str]:
    return [
        f"{one.part:.2f}",
        f"{one.tolerant_part:.2f}",
        str(one.first),
        one.account,
        str(one.got),
        str(one.due),
        one.best,
        str(one.best_got),
        str(one.elsewhere),
        _reasons(one.refused),
    ]
