"""When callers of a busy entry should come back. No I/O.

Callers of one account often come back to the entry that refused them, so a short pause
helps only where the entry is busy for a moment. How long it will be is not known; that
it has been busy for some time is the best sign that it will be for as long again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

SHORTEST_PAUSE: Millis = 150
"""Pause told at first: within it a caller can still be served in time."""
LONGEST_PAUSE: Millis = 4_000
"""Longest pause told: bursts last a few seconds, and callers heed a third of the time
that they have left."""
BUSY_GAP: Millis = 500
"""Time without a refusal after which an entry no longer counts as busy: several times
that in which the measured lag halves."""


class BusyPeriod:
    """How long an entry has been refusing requests as busy."""

    def __init__(self) -> None:
        self._since: Millis = 0
        self._last: Millis = -BUSY_GAP

    def __repr__(self) -> str:
        return f"BusyPeriod(since={self._since}, last={self._last})"

    def refused(self, now: Millis) -> Millis:
        """Note a refusal and return the longest pause to tell with it."""
        if now - self._last >= BUSY_GAP:
            self._since = now
        self._last = now
        return min(max(now - self._since, SHORTEST_PAUSE), LONGEST_PAUSE)
