"""What is in flight at each upstream: own counts, and those of the other entries.

Each entry reports its own counts several times a second; a control replica adds them up
and sends the totals back. An entry takes its own last report off the totals and adds
what it has in flight now, so only the others' part is old. No I/O.
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
    from leadseam.wire.feed import LoadSums

MAX_TOTALS_AGE: Millis = 1_000
"""Age beyond which totals are ignored: five of their longest intervals."""
KEPT_REPORTS = 64
"""Own reports kept to be taken off the totals that contain them: 3 s of them."""


@dataclass(frozen=True, slots=True)
class Load:
    """Work in flight at one upstream.

    Args:
        requests: Requests sent and not ended.
        unread: Prompt tokens of those without a first byte of an answer.
        memory: Tokens that the requests are expected to hold.
    """

    requests: int = 0
    unread: int = 0
    memory: int = 0

    def plus(self, other: Load) -> Load:
        """Return the sum."""
        return Load(
            self.requests + other.requests,
            self.unread + other.unread,
            self.memory + other.memory,
        )

    def minus(self, other: Load) -> Load:
        """Return the difference, not below zero."""
        return Load(
            max(self.requests - other.requests, 0),
            max(self.unread - other.unread, 0),
            max(self.memory - other.memory, 0),
        )


NOTHING = Load()


class LoadTable:
    """Loads by upstream, as this entry knows them."""

    def __init__(self) -> None:
        self._own: dict[Incarnation, Load] = {}
        self._others: dict[int, Load] = {}
        self._others_at: Millis = -MAX_TOTALS_AGE
        self._reports: deque[LoadReport] = deque(maxlen=KEPT_REPORTS)
        self._sequence = 0
        self._sums: dict[Incarnation, Load] = {}
        self._stale = True

    def __repr__(self) -> str:
        return f"LoadTable(own={len(self._own)}, others={len(self._others)})"

    def begin(self, incarnation: Incarnation, load: Load) -> None:
        """Count a request that is sent."""
        self._sums.pop(incarnation, None)
        self._own[incarnation] = self._own.get(incarnation, NOTHING).plus(load)

    def read(self, incarnation: Incarnation, unread: int) -> None:
        """Note that an upstream has read a prompt."""
        self.end(incarnation, Load(unread=unread))

    def end(self, incarnation: Incarnation, load: Load) -> None:
        """Take off a request that has ended."""
        self._sums.pop(incarnation, None)
        left = self._own.get(incarnation, NOTHING).minus(load)
        if left == NOTHING:
            self._own.pop(incarnation, None)
        else:
            self._own[incarnation] = left

    def own(self, incarnation: Incarnation) -> Load:
        """Return what this entry has in flight at an upstream."""
        return self._own.get(incarnation, NOTHING)

    def total(self, incarnation: Incarnation, now: Millis) -> Load:
        """Return what all entries have in flight there, as far as is known."""
        stale = now - self._others_at > MAX_TOTALS_AGE
        if stale is not self._stale:
            self._stale = stale
            self._sums.clear()
        known = self._sums.get(incarnation)
        if known is None:
            known = self._sums[incarnation] = self._sum(incarnation)
        return known

    def report(self, usage: Iterable[UsageRow]) -> LoadReport:
        """Return a report of the own counts."""
        self._sequence += 1
        rows = tuple(
            LoadRow(incarnation.digest(), load.requests, load.unread, load.memory)
            for incarnation, load in self._own.items()
        )
        report = LoadReport(self._sequence, rows, tuple(usage))
        self._reports.append(report)
        return report

    def apply_sums(
        self, included: int, sums: LoadSums, now: Millis
    ) -> LoadReport | None:
        """Take the sums of all entries.

        Args:
            included: Number of the own report in them.
            sums: The sums.
            now: Current time.

        Returns:
            The own report that they contain, or None if it is not kept any more.
        """
        own = self._report_at(included)
        mine = {row.upstream: _load(row) for row in own.rows} if own else {}
        self._others = {
            row.upstream: _load(row).minus(mine.get(row.upstream, NOTHING))
            for row in sums.rows
        }
        self._others_at = now
        self._sums.clear()
        return own

    def _sum(self, incarnation: Incarnation) -> Load:
        own = self.own(incarnation)
        if self._stale:
            return own
        return own.plus(self._others.get(incarnation.digest(), NOTHING))

    def _report_at(self, sequence: int) -> LoadReport | None:
        for report in self._reports:
            if report.sequence == sequence:
                return report
        return None


def _load(row: LoadRow) -> Load:
    return Load(row.requests, row.unread, row.memory)
