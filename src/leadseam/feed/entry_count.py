"""The number of entries among which a fleet-wide limit is divided. No I/O."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

RETENTION: Millis = 30_000
"""Time for which a larger count stays in effect: an entry that a replica can't reach,
or that is restarting, may still send requests."""
MAX_AGE: Millis = 25_000
"""Age of the newest count from which the number is unknown. It is below `RETENTION`: an
entry that hears no replica stops using its part before the others divide it up."""
SETTLING_TIME: Millis = 1_000
"""Time after the first count until counts are used: two feed heartbeats, within which
entries that start at the same time are counted."""


class EntryCount:
    """The largest number of entries that replicas have reported recently.

    `_counts` holds counts in descending order, each with the time it was recorded.
    """

    def __init__(self) -> None:
        self._counts: deque[tuple[Millis, int]] = deque()
        self._first_at: Millis | None = None
        self._last_at: Millis = 0

    def __repr__(self) -> str:
        return f"EntryCount({[count for _, count in self._counts]})"

    def record(self, count: int, now: Millis) -> None:
        """Record a replica's count; 0 means unknown and is ignored."""
        if not count:
            return
        if self._first_at is None:
            self._first_at = now
        self._last_at = now
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def recent_max(self, now: Millis) -> int:
        """Return the largest recent count, or 0 if it is not settled or too old."""
        if self._first_at is None or now - self._first_at < SETTLING_TIME:
            return 0
        if now - self._last_at >= MAX_AGE:
            return 0
        while len(self._counts) > 1 and now - self._counts[0][0] > RETENTION:
            self._counts.popleft()
        return self._counts[0][1]
