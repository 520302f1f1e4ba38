"""Load in flight at each upstream: own counts and those of other entries. No I/O.

Each entry reports its own counts several times a second; a control replica adds them up
and sends the totals back. An entry subtracts its own report that the totals contain and
adds what it has in flight now, so only the part of the other entries is delayed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.wire.feed import LoadReport, LoadRow, UsageRow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import EntryRoom, LoadSums

MAX_TOTALS_AGE: Millis = 1_000
"""Age above which totals are ignored: five times their longest interval."""
MAX_KEPT_REPORTS = 64
"""Own reports kept so that they can be subtracted from totals that contain them; they
cover 3 s."""


@dataclass(frozen=True, slots=True)
class Load:
    """Work in flight at one upstream.

    Args:
        requests: Requests that were sent and have not ended.
        unread: Prompt tokens of the requests whose answer has not begun.
        memory: Tokens of engine memory that the requests are expected to occupy.
    """

    requests: int = 0
    unread: int = 0
    memory: int = 0

    def plus(self, other: Load) -> Load:
        """Return the sum of both loads."""
        return Load(
            self.requests + other.requests,
            self.unread + other.unread,
            self.memory + other.memory,
        )

    def minus(self, other: Load) -> Load:
        """Return the difference, with each count at least zero."""
        return Load(
            max(self.requests - other.requests, 0),
            max(self.unread - other.unread, 0),
            max(self.memory - other.memory, 0),
        )


NO_LOAD = Load()


class LoadTable:
    """Loads by upstream, as known to this entry."""

    def __init__(self) -> None:
        self._own: dict[Incarnation, Load] = {}
        self._others: dict[int, Load] = {}
        self._others_at: Millis = -MAX_TOTALS_AGE
        self._reports: deque[LoadReport] = deque(maxlen=MAX_KEPT_REPORTS)
        self._sequence = 0
        self._cached_totals: dict[Incarnation, Load] = {}
        self._stale = True

    def __repr__(self) -> str:
        return f"LoadTable(own={len(self._own)}, others={len(self._others)})"

    def begin(self, incarnation: Incarnation, load: Load) -> None:
        """Count a request that is sent."""
        self._cached_totals.pop(incarnation, None)
        self._own[incarnation] = self._own.get(incarnation, NO_LOAD).plus(load)

    def mark_read(self, incarnation: Incarnation, unread: int) -> None:
        """Subtract the unread tokens of a prompt that an upstream has read."""
        self.end(incarnation, Load(unread=unread))

    def end(self, incarnation: Incarnation, load: Load) -> None:
        """Subtract the load of a request that has ended."""
        self._cached_totals.pop(incarnation, None)
        left = self._own.get(incarnation, NO_LOAD).minus(load)
        if left == NO_LOAD:
            self._own.pop(incarnation, None)
        else:
            self._own[incarnation] = left

    def own(self, incarnation: Incarnation) -> Load:
        """Return the load that this entry has in flight at an upstream."""
        return self._own.get(incarnation, NO_LOAD)

    def total(self, incarnation: Incarnation, now: Millis) -> Load:
        """Return the load of all entries at an upstream, as far as is known.

        The part of the other entries counts only while the totals are current.
        """
        stale = now - self._others_at > MAX_TOTALS_AGE
        if stale is not self._stale:
            self._stale = stale
            self._cached_totals.clear()
        cached = self._cached_totals.get(incarnation)
        if cached is None:
            cached = self._cached_totals[incarnation] = self._compute_total(incarnation)
        return cached

    def report(
        self, usage: Iterable[UsageRow], room: EntryRoom | None = None
    ) -> LoadReport:
        """Return a report of the own counts, and keep it for later totals."""
        self._sequence += 1
        rows = tuple(
            LoadRow(incarnation.digest(), load.requests, load.unread, load.memory)
            for incarnation, load in self._own.items()
        )
        report = LoadReport(self._sequence, rows, tuple(usage), room)
        self._reports.append(report)
        return report

    def apply_sums(
        self, included: int, sums: LoadSums, now: Millis
    ) -> LoadReport | None:
        """Apply the sums of all entries.

        Args:
            included: Sequence number of the own report that the sums contain.
            sums: The sums of all entries.
            now: Current time.

        Returns:
            The own report that the sums contain, or None if it is no longer kept.
        """
        own = self._find_report(included)
        own_rows = {row.upstream: _load(row) for row in own.rows} if own else {}
        self._others = {
            row.upstream: _load(row).minus(own_rows.get(row.upstream, NO_LOAD))
            for row in sums.rows
        }
        self._others_at = now
        self._cached_totals.clear()
        return own

    def _compute_total(self, incarnation: Incarnation) -> Load:
        own = self.own(incarnation)
        if self._stale:
            return own
        return own.plus(self._others.get(incarnation.digest(), NO_LOAD))

    def _find_report(self, sequence: int) -> LoadReport | None:
        for report in self._reports:
            if report.sequence == sequence:
                return report
        return None


def _load(row: LoadRow) -> Load:
    return Load(row.requests, row.unread, row.memory)
