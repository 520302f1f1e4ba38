"""Aggregates the load reports of entries at a replica. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.wire.codec import encode
from leadseam.wire.feed import DomainRoom, LoadRow, LoadSums, LoadTotals, UsageRow

if TYPE_CHECKING:
    from collections.abc import Collection

    from leadseam.clock import Millis
    from leadseam.wire.feed import LoadReport

MAX_REPORT_AGE: Millis = 1_000
"""Age beyond which an entry's report is dropped: five times the longest interval."""


@dataclass(slots=True)
class _StoredReport:
    report: LoadReport
    at: Millis


class LoadAggregator:
    """Holds the newest report of each subscriber, and adds them up."""

    def __init__(self) -> None:
        self._reports: dict[int, _StoredReport] = {}

    def __repr__(self) -> str:
        return f"LoadAggregator(reports={len(self._reports)})"

    def update(self, subscriber: int, report: LoadReport, now: Millis) -> None:
        """Replace a subscriber's report."""
        self._reports[subscriber] = _StoredReport(report, now)

    def remove(self, subscriber: int) -> None:
        """Remove the report of a subscriber that has disconnected."""
        self._reports.pop(subscriber, None)

    def requests_at(self, upstreams: Collection[int]) -> int | None:
        """Return the number of requests in progress at a set of upstreams.

        Args:
            upstreams: Digests of the upstreams' incarnations.

        Returns:
            None if no entry reports to this replica.
        """
        if not self._reports:
            return None
        return sum(row.requests for row in self._rows() if row.upstream in upstreams)

    def totals(self, now: Millis) -> dict[int, LoadTotals]:
        """Return the totals for each subscriber with a report that is not too old.

        The sums are the same for all subscribers and encoded once.
        """
        for subscriber, stored in list(self._reports.items()):
            if now - stored.at > MAX_REPORT_AGE:
                del self._reports[subscriber]
        data = encode(LoadSums(self._rows(), self._usage(), self._rooms()))
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

    def _rooms(self) -> tuple[DomainRoom, ...]:
        counts: dict[str, list[int]] = {}
        for stored in self._reports.values():
            room = stored.report.room
            if room is not None:
                entries = counts.setdefault(room.failure_domain, [0, 0])
                entries[0] += 1
                entries[1] += room.has_room
        return tuple(DomainRoom(name, *entries) for name, entries in counts.items())
