"""Selects the control replica that aggregates the load reports of entries. No I/O.

All entries select the first replica by name, so that one replica receives all reports.
Where loads are aggregated by failure domain, entries select the first replica by name
of their own domain, if one answers; see `feed.domain_sums`.
A replica that is frozen or partitioned keeps its connections for seconds, and until
they end, no entry would receive the loads of the others. So a replica that does not
answer reports is skipped, and probed from time to time until it answers again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.feed.domain_mode import DomainMode

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
    replica answers, it is selected as if all did.

    Args:
        failure_domain: Failure domain of the entry, empty if it is not known.

    Attributes:
        by_domain: Whether loads are aggregated by domain: one of the followed replicas
            states that they are, and none that they are not. So they are not while any
            followed replica is of a version that does not exchange sums.
    """

    def __init__(self, failure_domain: str = "") -> None:
        self.chosen: str | None = None
        self.by_domain = False
        self._failure_domain = failure_domain
        self._domains: dict[str, str] = {}
        self._modes: dict[str, int] = {}
        self._unanswered: dict[str, Millis] = {}
        self._probed: dict[str, Millis] = {}

    def __repr__(self) -> str:
        return f"AggregatorSelector(chosen={self.chosen}, silent={list(self._probed)})"

    def set_domain(self, name: str, failure_domain: str) -> None:
        """Record the failure domain of a replica."""
        self._domains[name] = failure_domain

    def set_mode(self, name: str, mode: int) -> None:
        """Record whether a replica considers loads as aggregated by domain."""
        self._modes[name] = mode

    def targets(self, followed: Iterable[str], now: Millis) -> tuple[str, ...]:
        """Return the receivers of the next report: the chosen and the probed replicas.

        Where loads are aggregated by domain and another replica is chosen, the former
        one gets a probe as well, which withdraws the reports that it has.

        Args:
            followed: Names of the replicas that the entry follows.
            now: Current time.
        """
        names = sorted(followed)
        self._retain_only(names)
        responsive = [name for name in names if not self._is_silent(name, now)]
        former, withdraws = self.chosen, self.by_domain
        self._update_mode(names)
        withdraws = withdraws or self.by_domain
        self.chosen = self._choose(responsive or names)
        targets = [
            name
            for name in names
            if self._is_due(name, now) or (withdraws and name == former != self.chosen)
        ]
        for name in targets:
            self._unanswered.setdefault(name, now)
        return tuple(targets)

    def answered(self, name: str) -> bool:
        """Record that a replica sent totals; return whether they are to be used."""
        self._unanswered.pop(name, None)
        self._probed.pop(name, None)
        return name == self.chosen

    def _update_mode(self, names: list[str]) -> None:
        if not names:
            return
        modes = {self._modes.get(name, DomainMode.UNDECIDED) for name in names}
        self.by_domain = (
            DomainMode.ENABLED in modes and DomainMode.DISABLED not in modes
        )

    def _choose(self, names: list[str]) -> str | None:
        if not self.by_domain:
            return next(iter(names), None)
        # A replica that has just started does not have the sums of the others yet.
        enabled = [
            name for name in names if self._modes.get(name) == DomainMode.ENABLED
        ]
        names = enabled or names
        near = [name for name in names if self._is_near(name)]
        return next(iter(near or names), None)

    def _is_near(self, name: str) -> bool:
        domain = self._domains.get(name)
        return bool(domain) and domain == self._failure_domain

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
        known = (self._unanswered, self._probed, self._domains, self._modes)
        for removed in {*self._unanswered, *self._domains, *self._modes} - set(names):
            for table in known:
                table.pop(removed, None)
