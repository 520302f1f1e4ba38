"""How many entries share what is bounded for all of them together. No I/O."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

RETENTION: Millis = 30_000
"""Time for which a larger count holds: an entry that a replica cannot reach, or that is
started again, may still send requests."""
SETTLING_TIME: Millis = 1_000
"""Time from the first count until it is relied on: two feed heartbeats, in which
entries that start together are counted."""


class EntryCount:
    """The largest number of entries that replicas have counted of late."""

    def __init__(self) -> None:
        self._counts: deque[tuple[Millis, int]] = deque()
        self._first_at: Millis | None = None

    def __repr__(self) -> str:
        return f"EntryCount({[count for _, count in self._counts]})"

    def record(self, count: int, now: Millis) -> None:
        """Take a replica's count; 0 tells nothing."""
        if not count:
            return
        if self._first_at is None:
            self._first_at = now
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def recent_max(self, now: Millis) -> int:
        """Return the largest count of late, or 0 if there is none to rely on."""
        if self._first_at is None or now - self._first_at < SETTLING_TIME:
            return 0
        while len(self._counts) > 1 and now - self._counts[0][0] > RETENTION:
            self._counts.popleft()
        return self._counts[0][1]
