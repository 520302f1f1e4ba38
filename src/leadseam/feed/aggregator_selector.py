"""Selects the control replica that aggregates the load reports of entries. No I/O.

All entries select the first replica by name, so that one replica receives all reports.
A replica that is frozen or partitioned keeps its connections for seconds, and until
they end, no entry would receive the loads of the others. So a replica that does not
answer reports is skipped, and probed from time to time until it answers again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis

SILENCE_LIMIT: Millis = 600
"""Time without totals after which a replica is skipped: three of their longest
intervals, and less than the second for which an entry uses the last totals it has."""
PROBE_INTERVAL: Millis = 500
"""Interval of the reports that probe a skipped replica."""


class AggregatorSelector:
    """Selects one of the replicas that an entry follows.

    `chosen` is the name of that replica, or None if the entry follows none. If no
    replica answers, it is the first one by name.
    """

    def __init__(self) -> None:
        self.chosen: str | None = None
        self._unanswered: dict[str, Millis] = {}
        self._probed: dict[str, Millis] = {}

    def __repr__(self) -> str:
        return f"AggregatorSelector(chosen={self.chosen}, silent={list(self._probed)})"

    def targets(self, followed: Iterable[str], now: Millis) -> tuple[str, ...]:
        """Return the receivers of the next report: the chosen and the probed replicas.

        Args:
            followed: Names of the replicas that the entry follows.
            now: Current time.
        """
        names = sorted(followed)
        self._retain_only(names)
        responsive = [name for name in names if not self._is_silent(name, now)]
        self.chosen = next(iter(responsive or names), None)
        targets = [name for name in names if self._is_due(name, now)]
        for name in targets:
            self._unanswered.setdefault(name, now)
        return tuple(targets)

    def answered(self, name: str) -> bool:
        """Record that a replica sent totals; return whether they are to be used."""
        self._unanswered.pop(name, None)
        self._probed.pop(name, None)
        return name == self.chosen

    def _is_due(self, name: str, now: Millis) -> bool:
        if name == self.chosen:
            return True
        if not self._is_silent(name, now):
            return False
        if now - self._probed.get(name, now - PROBE_INTERVAL) < PROBE_INTERVAL:
            return False
        self._probed[name] = now
        return True

    def _is_silent(self, name: str, now: Millis) -> bool:
        since = self._unanswered.get(name)
        return since is not None and now - since > SILENCE_LIMIT

    def _retain_only(self, names: list[str]) -> None:
        for removed in self._unanswered.keys() - names:
            del self._unanswered[removed]
            self._probed.pop(removed, None)
