"""A replica's sums over the load reports of entries. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.wire.codec import encode
from leadseam.wire.feed import LoadRow, LoadSums, LoadTotals, UsageRow

if TYPE_CHECKING:
    from collections.abc import Collection

    from leadseam.clock import Millis
    from leadseam.wire.feed import LoadReport

MAX_REPORT_AGE: Millis = 1_000
"""Age beyond which an entry's report no longer counts: five longest intervals."""


@dataclass(slots=True)
class _StoredReport:
    report: LoadReport
    at: Millis


class LoadAggregator:
    """The newest report of each subscriber."""

    def __init__(self) -> None:
        self._reports: dict[int, _StoredReport] = {}

    def __repr__(self) -> str:
        return f"LoadAggregator(reports={len(self._reports)})"

    def update(self, subscriber: int, report: LoadReport, now: Millis) -> None:
        """Replace a subscriber's report."""
        self._reports[subscriber] = _StoredReport(report, now)

    def remove(self, subscriber: int) -> None:
        """Drop the report of a subscriber that is gone."""
        self._reports.pop(subscriber, None)

    def requests_at(self, upstreams: Collection[int]) -> int | None:
        """Return the requests under way at some upstreams, by their digests.

        Returns:
            None where no entry reports to this replica.
        """
        if not self._reports:
            return None
        return sum(row.requests for row in self._rows() if row.upstream in upstreams)

    def totals(self, now: Millis) -> dict[int, LoadTotals]:
        """Return the totals for each subscriber that reports.

        The sums are encoded once for all.
        """
        for subscriber, stored in list(self._reports.items()):
            if now - stored.at > MAX_REPORT_AGE:
                del self._reports[subscriber]
        data = encode(LoadSums(self._rows(), self._usage()))
        return {
            subscriber: LoadTotals(stored.report.sequence, data)
            for subscriber, stored in self._reports.items()
        }

    def _rows(self) -> tuple[LoadRow, ...]:
        sums: dict[int, list[int]] = {}
        for stored in self._reports.values():
            for row in stored.report.rows:
                counts = sums.setdefault(row.upstream, [0, 0, 0])
                counts[0] += row.requests
                counts[1] += row.unread
                counts[2] += row.memory
        return tuple(LoadRow(upstream, *counts) for upstream, counts in sums.items())

    def _usage(self) -> tuple[UsageRow, ...]:
        sums: dict[str, list[int]] = {}
        for stored in self._reports.values():
            for row in stored.report.usage:
                counts = sums.setdefault(row.account, [0, 0])
                counts[0] += row.served
                counts[1] += row.requested
        return tuple(UsageRow(name, *counts) for name, counts in sums.items())
