"""Retry-After pauses of a busy entry. No I/O.

Callers of one account often retry at the entry that refused them, so a short pause
helps only if the entry is busy for a moment. How long it stays busy is unknown; the
best estimate is the time for which it has been busy so far.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

SHORTEST_PAUSE: Millis = 150
"""First pause: a caller that retries within it can still be served in time."""
LONGEST_PAUSE: Millis = 4_000
"""Longest pause: bursts last a few seconds, and callers ignore pauses above a third of
the time that they have left."""
BUSY_GAP: Millis = 500
"""Time without a refusal after which an entry no longer counts as busy: several times
the half-life of the measured lag."""


class BusyPeriod:
    """Period in which an entry refuses requests because it is busy."""

    def __init__(self) -> None:
        self._since: Millis = 0
        self._last: Millis = -BUSY_GAP

    def __repr__(self) -> str:
        return f"BusyPeriod(since={self._since}, last={self._last})"

    def refused(self, now: Millis) -> Millis:
        """Record a refusal and return its pause, before jitter."""
        if now - self._last >= BUSY_GAP:
            self._since = now
        self._last = now
        return min(max(now - self._since, SHORTEST_PAUSE), LONGEST_PAUSE)
