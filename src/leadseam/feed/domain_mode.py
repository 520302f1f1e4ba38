"""Decides whether loads are aggregated by failure domain. No I/O."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

MIN_ENTRIES = 12
"""Number of subscribed entries from which loads are aggregated by domain. Fewer entries
send less between domains than the replicas would."""
MIN_ENTRIES_KEPT = 10
"""Number of entries below which aggregation by domain ends."""
MIN_DOMAINS = 2
"""Number of failure domains with replicas that aggregation by domain requires."""
TIME_TO_ENABLE: Millis = 1_000
"""Time for which the conditions must hold before aggregation by domain begins: two feed
heartbeats."""
TIME_TO_DISABLE: Millis = 5_000
"""Time for which the conditions must be unmet before it ends. Entries that lose their
links to a replica follow it again within 3 s: two of silence and one of back-off."""
SETTLING_TIME: Millis = 3_000
"""Time after its first check until a replica states that loads are not aggregated by
domain. The entries subscribe to a restarted replica within 3 s."""
LINGER_TIME: Millis = 2_000
"""Time for which sums are still exchanged after aggregation by domain has ended.
Entries learn that with the next heartbeat of the feed, within 500 ms."""


class DomainMode(enum.IntEnum):
    """Whether a replica considers loads as aggregated by domain."""

    DISABLED = 0
    UNDECIDED = 1
    ENABLED = 2


class DomainModeSwitch:
    """Decides the mode at one replica, with hysteresis in number and in time.

    Args:
        failure_domain: Failure domain of the replica. If it is empty, loads are never
            aggregated by domain.

    Attributes:
        mode: The mode.
    """

    def __init__(self, failure_domain: str) -> None:
        self.mode = DomainMode.UNDECIDED if failure_domain else DomainMode.DISABLED
        self._has_domain = bool(failure_domain)
        self._first_at: Millis | None = None
        self._met_since: Millis | None = None
        self._unmet_since: Millis | None = None
        self._disabled_at: Millis | None = None

    def __repr__(self) -> str:
        return f"DomainModeSwitch({self.mode.name})"

    def update(self, entries: int, domains: int, now: Millis) -> bool:
        """Decide the mode anew; return whether it has changed.

        Args:
            entries: Number of subscribed entries that state their failure domain.
            domains: Number of failure domains with connected replicas, own included.
            now: Current time.
        """
        if not self._has_domain:
            return False
        if self._first_at is None:
            self._first_at = now
        before = self.mode
        if before is DomainMode.ENABLED:
            self._check_end(entries >= MIN_ENTRIES_KEPT, domains, now)
        else:
            self._check_begin(entries >= MIN_ENTRIES, domains, now)
        return self.mode is not before

    def exchanges(self, now: Millis) -> bool:
        """Return whether sums are to be sent to the other replicas."""
        if self.mode is DomainMode.ENABLED:
            return True
        return self._disabled_at is not None and now - self._disabled_at < LINGER_TIME

    def _check_begin(self, enough: bool, domains: int, now: Millis) -> None:
        if not enough or domains < MIN_DOMAINS:
            self._met_since = None
            if self._first_at is not None and now - self._first_at >= SETTLING_TIME:
                self.mode = DomainMode.DISABLED
            return
        if self._met_since is None:
            self._met_since = now
        if now - self._met_since >= TIME_TO_ENABLE:
            self.mode = DomainMode.ENABLED
            self._unmet_since = None

    def _check_end(self, enough: bool, domains: int, now: Millis) -> None:
        if enough and domains >= MIN_DOMAINS:
            self._unmet_since = None
            return
        if self._unmet_since is None:
            self._unmet_since = now
        if now - self._unmet_since >= TIME_TO_DISABLE:
            self.mode = DomainMode.DISABLED
            self._disabled_at = now
            self._met_since = None
