"""Tables of ended requests, grouped by a key. No I/O."""

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
"""Ratio between the upper limits of successive size classes of prompts."""
SMALLEST_CLASS_LIMIT = 1_000
"""Upper limit of the first size class of prompts, in tokens."""
MILLIS_PER_SECOND = 1_000


class GroupKey(StrEnum):
    """Key by which requests are grouped."""

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
        name: Value of the key that the requests share.
        counts: Number of requests by ending.
        reread: Tokens of shared prompt parts that were expected to be read again.
        fetched: Tokens of shared prompt parts that upstreams were told to fetch.
    """

    name: str
    counts: Counter[Ending]
    reread: int
    fetched: int

    @property
    def total(self) -> int:
        """Number of requests."""
        return self.counts.total()

    @property
    def lost(self) -> int:
        """Number of requests that were not answered in time."""
        return self.total - self.counts[Ending.IN_TIME]


def group_requests(requests: Iterable[EndedRequest], key: GroupKey) -> list[Row]:
    """Group requests, those that lost most first; seconds stay in their order."""
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
        rows: Rows of the table.
        key: Key by which the requests are grouped.
        max_rows: Maximum rows; the number of omitted rows is shown.
    """
    endings = (ending.value for ending in Ending)
    headings = [key.value, "all", *endings, "reread", "fetched"]
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
    reread = sum(request.reread for request in group)
    return Row(name, counts, reread, sum(request.fetched for request in group))


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
    return [row.name, str(row.total), *counts, str(row.reread), str(row.fetched)]


def _format_line(texts: Sequence[str], widths: Sequence[int]) -> str:
    first = texts[0].ljust(widths[0])
    others = (
        text.rjust(width) for text, width in zip(texts[1:], widths[1:], strict=True)
    )
    return "  ".join([first, *others])
