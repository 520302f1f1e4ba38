"""A replica's sums over the load reports of entries. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.wire.messages import LoadRow, LoadTotals, UsageRow

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.wire.messages import LoadReport

REPORT_LIMIT: Millis = 1_000
"""Age beyond which an entry's report no longer counts: twenty intervals of 50 ms."""


@dataclass(slots=True)
class _Reported:
    report: LoadReport
    at: Millis


class LoadSums:
    """The newest report of each subscriber."""

    def __init__(self) -> None:
        self._reports: dict[int, _Reported] = {}

    def __repr__(self) -> str:
        return f"LoadSums(reports={len(self._reports)})"

    def take(self, subscriber: int, report: LoadReport, now: Millis) -> None:
        """Replace a subscriber's report."""
        self._reports[subscriber] = _Reported(report, now)

    def forget(self, subscriber: int) -> None:
        """Drop the report of a subscriber that is gone."""
        self._reports.pop(subscriber, None)

    def totals(self, now: Millis) -> dict[int, LoadTotals]:
        """Return the totals for each subscriber that reports."""
        for subscriber, reported in list(self._reports.items()):
            if now - reported.at > REPORT_LIMIT:
                del self._reports[subscriber]
        rows = self._rows()
        usage = self._usage()
        return {
            subscriber: LoadTotals(reported.report.sequence, rows, usage)
            for subscriber, reported in self._reports.items()
        }

    def _rows(self) -> tuple[LoadRow, ...]:
        sums: dict[str, list[int]] = {}
        for reported in self._reports.values():
            for row in reported.report.rows:
                counts = sums.setdefault(row.instance, [0, 0, 0])
                counts[0] += row.requests
                counts[1] += row.unread
                counts[2] += row.memory
        return tuple(LoadRow(name, *counts) for name, counts in sums.items())

    def _usage(self) -> tuple[UsageRow, ...]:
        sums: dict[str, list[int]] = {}
        for reported in self._reports.values():
            for row in reported.report.usage:
                counts = sums.setdefault(row.account, [0, 0])
                counts[0] += row.served
                counts[1] += row.asked
        return tuple(UsageRow(name, *counts) for name, counts in sums.items())
