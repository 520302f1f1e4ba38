"""Aggregates the load reports of entries at a replica. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec import structs

from leadseam.feed.domain_sums import merge_sums
from leadseam.handover.targets import MAX_OFFERS
from leadseam.wire.codec import encode
from leadseam.wire.feed import (
    DomainRoom,
    LoadRow,
    LoadSums,
    LoadTotals,
    RoomOffer,
    UsageRow,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from leadseam.clock import Millis
    from leadseam.wire.feed import LoadReport

MAX_REPORT_AGE: Millis = 1_000
"""Age beyond which an entry's report is dropped: five times the longest interval."""


@dataclass(slots=True)
class _StoredReport:
    report: LoadReport
    at: Millis
    entry: bytes = b""


class LoadAggregator:
    """Holds the newest report of each subscriber, and adds them up.

    `_reports` holds the reports that count, `_held_back` those of entries that another
    replica's sums contain, and `_probes` the numbers of reports that only ask for an
    answer.
    """

    def __init__(self) -> None:
        self._reports: dict[int, _StoredReport] = {}
        self._held_back: dict[int, _StoredReport] = {}
        self._probes: dict[int, int] = {}
        self._first_offer = 0

    def __repr__(self) -> str:
        return f"LoadAggregator(reports={len(self._reports)})"

    def update(
        self, subscriber: int, report: LoadReport, now: Millis, entry: bytes = b""
    ) -> None:
        """Replace a subscriber's report.

        A probe removes it; it is answered once and not added up.

        Args:
            subscriber: Number of the subscriber.
            report: The report.
            now: Current time.
            entry: Digest of the entry, empty if other replicas need not know it.
        """
        if report.probe:
            self.remove(subscriber)
            self._probes[subscriber] = report.sequence
            return
        # A held back report stays so until `hold_back` decides anew.
        held_back = subscriber in self._held_back
        reports = self._held_back if held_back else self._reports
        reports[subscriber] = _StoredReport(report, now, entry)

    def remove(self, subscriber: int) -> None:
        """Remove the report of a subscriber that has disconnected."""
        self._reports.pop(subscriber, None)
        self._held_back.pop(subscriber, None)
        self._probes.pop(subscriber, None)

    def entries(self) -> set[bytes]:
        """Return the digests of the entries whose reports count."""
        return {stored.entry for stored in self._reports.values() if stored.entry}

    def reporting(self) -> set[bytes]:
        """Return the digests of all entries with a report, held back or not."""
        held_back = {stored.entry for stored in self._held_back.values()}
        return self.entries() | held_back

    def hold_back(self, elsewhere: Collection[bytes]) -> None:
        """Count all reports except those of entries that other sums contain."""
        stored_reports = self._reports | self._held_back
        self._reports = {}
        self._held_back = {}
        for subscriber, stored in stored_reports.items():
            held_back = stored.entry in elsewhere
            reports = self._held_back if held_back else self._reports
            reports[subscriber] = stored

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

    def expire(self, now: Millis) -> None:
        """Remove reports that are too old."""
        for reports in (self._reports, self._held_back):
            for subscriber, stored in list(reports.items()):
                if now - stored.at > MAX_REPORT_AGE:
                    del reports[subscriber]

    def sums(self) -> LoadSums:
        """Return the sums of the reports that count, without offers of room.

        Connections are handed over within a failure domain, whose entries report to
        one replica.
        """
        return LoadSums(self._rows(), self._usage(), self._rooms())

    def totals(
        self, now: Millis, others: Iterable[LoadSums] = ()
    ) -> dict[int, LoadTotals]:
        """Return the totals for each subscriber with a report that is not too old.

        The sums are the same for all subscribers and encoded once. Probes are answered
        too.

        Args:
            now: Current time.
            others: Sums of the entries that report to other replicas.
        """
        self.expire(now)
        sums = structs.replace(
            merge_sums((self.sums(), *others)), offers=self._next_offers()
        )
        data = encode(sums)
        reports = self._reports | self._held_back
        numbers = self._probes | {
            subscriber: stored.report.sequence for subscriber, stored in reports.items()
        }
        self._probes.clear()
        return {
            subscriber: LoadTotals(number, data)
            for subscriber, number in numbers.items()
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

    def _next_offers(self) -> tuple[RoomOffer, ...]:
        """Return up to `MAX_OFFERS` offers of each failure domain."""
        by_domain: dict[str, list[RoomOffer]] = {}
        for stored in self._reports.values():
            room = stored.report.room
            if room is not None and room.has_room and room.address:
                offer = RoomOffer(
                    room.failure_domain, room.address, room.processor_share
                )
                by_domain.setdefault(room.failure_domain, []).append(offer)
        self._first_offer += MAX_OFFERS
        found: list[RoomOffer] = []
        for offers in by_domain.values():
            first = self._first_offer % len(offers)
            found += (offers[first:] + offers[:first])[:MAX_OFFERS]
        return tuple(found)

    def _rooms(self) -> tuple[DomainRoom, ...]:
        counts: dict[str, list[int]] = {}
        for stored in self._reports.values():
            room = stored.report.room
            if room is not None:
                entries = counts.setdefault(room.failure_domain, [0, 0])
                entries[0] += 1
                entries[1] += room.has_room
        return tuple(DomainRoom(name, *entries) for name, entries in counts.items())
