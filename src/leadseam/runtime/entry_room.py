"""Measures whether an entry has room for more requests than it gets."""

from __future__ import annotations

import logging
import resource
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.clock import Clock, Millis

LAG_WITH_ROOM: Millis = 10
"""Lag of the event loop up to which an entry has room. Above it, a busy entry begins to
refuse requests itself. Boxes of a third of a core lag by 5 to 9 ms in ordinary use."""
LAG_WINDOW: Millis = 500
"""Time for which the lag must have stayed below that: several reports, so that an entry
between two bursts does not attract callers."""
MEMORY_PART = 0.7
"""Fraction of its memory up to which an entry has room. The remainder holds the answers
of callers that read slowly."""
BYTES_PER_MB = 1_000_000
STATM = Path("/proc/self/statm")

log = logging.getLogger(__name__)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if it is not known."""
    try:
        pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()


class RoomSensor:
    """Keeps the recent lag of the event loop and reads the process's memory.

    Args:
        clock: Source of time.
        memory_mb: Memory that the process may use, in MB; 0 for no limit.
        resident: Returns the resident memory in bytes.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        memory_mb: int,
        resident: Callable[[], int] = resident_bytes,
    ) -> None:
        self._clock = clock
        self._memory_limit = memory_mb * BYTES_PER_MB * MEMORY_PART
        self._resident = resident
        self._lags: deque[tuple[Millis, Millis]] = deque()
        self._had_room = True

    def __repr__(self) -> str:
        return f"RoomSensor(had_room={self._had_room})"

    def record_lag(self, lag: Millis) -> None:
        """Record a measurement of the event loop's lag."""
        now = self._clock.now()
        self._lags.append((now, lag))
        while now - self._lags[0][0] > LAG_WINDOW:
            self._lags.popleft()

    def has_room(self) -> bool:
        """Return whether the entry has room now, and log when that changes."""
        lag = max((one for _, one in self._lags), default=0)
        resident = self._resident() if self._memory_limit else 0
        has_room = lag <= LAG_WITH_ROOM and resident <= self._memory_limit
        if has_room is not self._had_room:
            self._had_room = has_room
            extra = {
                "has_room": has_room,
                "lag_ms": lag,
                "resident_mb": resident // BYTES_PER_MB,
            }
            log.info("room for more requests", extra=extra)
        return has_room
