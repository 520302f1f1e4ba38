"""Which control replica adds up the load reports of entries. No I/O.

All entries choose alike, by name, so that one replica hears them all. One that is
frozen or cut off keeps its connections for seconds; until they end, no entry would know
of the others' requests. So a replica that leaves reports unanswered is passed over, and
asked now and then until it answers again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis

SILENCE_LIMIT: Millis = 600
"""Time without totals after which a replica is passed over: three of their longest
intervals, and below the second for which an entry goes by the last totals it has."""
PROBE_INTERVAL: Millis = 500
"""Pause between two reports to a replica that is passed over."""


class AggregatorSelector:
    """The choice of one entry among the replicas that it follows."""

    def __init__(self) -> None:
        self.chosen: str | None = None
        self._unanswered: dict[str, Millis] = {}
        self._probed: dict[str, Millis] = {}

    def __repr__(self) -> str:
        return f"AggregatorSelector(chosen={self.chosen}, silent={list(self._probed)})"

    def targets(self, followed: Iterable[str], now: Millis) -> tuple[str, ...]:
        """Return who gets the next report: the replica chosen, and those probed.

        Args:
            followed: Names of the replicas that are followed.
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
        """Note totals of a replica; return whether they are to be used."""
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
        for gone in self._unanswered.keys() - names:
            del self._unanswered[gone]
            self._probed.pop(gone, None)
