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

    from leadseam.explain.accounts import AccountSecond

SPAN = 6
"""Length of a compared span in seconds."""
TOLERATED_REQUESTS = 3
"""Largest requests by which the service of an account may fall short."""
TOLERATED_PART = 0.5
HEADINGS = (
    "part",
    "tolerant",
    "second",
    "account",
    "got",
    "due",
    "best",
    "its got",
    "refused",
)


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
    """

    first: int
    account: str
    got: int
    due: int
    largest: int
    best: str
    best_got: int
    refused: Counter[str]

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
        )


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
    texts = [list(HEADINGS), *map(_row_texts, list(least.values())[:max_rows])]
    head = f"{len(parts)} spans, {broken} below {TOLERATED_PART}; tolerant part: "
    return "\n".join([head + summary, *render_columns(texts)])


def _row_texts(one: Shortfall) -> list[str]:
    reasons = " ".join(f"{name}:{count}" for name, count in one.refused.most_common())
    return [
        f"{one.part:.2f}",
        f"{one.tolerant_part:.2f}",
        str(one.first),
        one.account,
        str(one.got),
        str(one.due),
        one.best,
        str(one.best_got),
        reasons,
    ]
