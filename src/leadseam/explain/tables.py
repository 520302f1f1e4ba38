"""Counts of ended requests by what they have in common. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from leadseam.explain.records import Ending

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from leadseam.explain.records import EndedRequest

SIZE_CLASS_RATIO = 4
"""Each class of prompt lengths is this many times the one before."""
SMALLEST_CLASS_LIMIT = 1_000
"""Tokens of a prompt below which it is in the first class."""
MILLIS_PER_SECOND = 1_000


class GroupKey(StrEnum):
    """What requests are grouped by."""

    ROUTE = "route"
    ACCOUNT = "account"
    NODE = "node"
    UPSTREAM = "upstream"
    REASON = "reason"
    STANDING = "standing"
    SIZE = "size"
    SECOND = "second"


@dataclass(frozen=True, slots=True)
class Row:
    """How the requests of one group ended.

    Args:
        name: What they have in common.
        counts: Their number by ending.
        reread: Tokens of shared parts that they were expected to read once more.
    """

    name: str
    counts: Counter[Ending]
    reread: int

    @property
    def total(self) -> int:
        """Number of requests."""
        return self.counts.total()

    @property
    def lost(self) -> int:
        """Number of requests that were not answered in time."""
        return self.total - self.counts[Ending.IN_TIME]


def group_requests(requests: Iterable[EndedRequest], key: GroupKey) -> list[Row]:
    """Group requests; the group that lost most comes first, seconds in their order."""
    groups: dict[str, list[EndedRequest]] = defaultdict(list)
    for request in requests:
        groups[_group_name(request, key)].append(request)
    rows = [_row(name, group) for name, group in groups.items()]
    if key is GroupKey.SECOND:
        return sorted(rows, key=lambda row: row.name)
    return sorted(rows, key=lambda row: (-row.lost, row.name))


def render(rows: Sequence[Row], key: GroupKey, *, max_rows: int) -> str:
    """Return a table as text.

    Args:
        rows: Its rows.
        key: What they are grouped by.
        max_rows: Rows shown; the number of the others is told.
    """
    headings = [key.value, "all", *(ending.value for ending in Ending), "reread"]
    texts = [headings, *(_row_texts(row) for row in rows[:max_rows])]
    lines = render_columns(texts)
    if len(rows) > max_rows:
        lines.append(f"and {len(rows) - max_rows} more")
    return "\n".join(lines)


def render_columns(texts: Sequence[Sequence[str]]) -> list[str]:
    """Return the lines of a table; all columns but the first are right-aligned."""
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [_format_line(line, widths) for line in texts]


def _row(name: str, group: list[EndedRequest]) -> Row:
    counts = Counter(request.ending for request in group)
    return Row(name, counts, sum(request.reread for request in group))


def _group_name(request: EndedRequest, key: GroupKey) -> str:
    match key:
        case GroupKey.ROUTE:
            return request.route or "-"
        case GroupKey.ACCOUNT:
            return request.account or "-"
        case GroupKey.NODE:
            return request.node
        case GroupKey.UPSTREAM:
            return request.instance or "-"
        case GroupKey.REASON:
            return request.reason or "-"
        case GroupKey.STANDING:
            return request.standing or "-"
        case GroupKey.SIZE:
            return _size_class(request.prompt)
        case GroupKey.SECOND:
            return str(request.logged_at // MILLIS_PER_SECOND)


def _size_class(tokens: int) -> str:
    if not tokens:
        return "no prompt"
    limit = SMALLEST_CLASS_LIMIT
    while tokens >= limit:
        limit *= SIZE_CLASS_RATIO
    return f"below {limit:,} tokens"


def _row_texts(row: Row) -> list[str]:
    counts = [str(row.counts[ending]) for ending in Ending]
    return [row.name, str(row.total), *counts, str(row.reread)]


def _format_line(texts: Sequence[str], widths: Sequence[int]) -> str:
    first = texts[0].ljust(widths[0])
    others = (
        text.rjust(width) for text, width in zip(texts[1:], widths[1:], strict=True)
    )
    return "  ".join([first, *others])
