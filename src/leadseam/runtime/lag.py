"""Event loop lag: how late the loop runs due callbacks when it lacks processor time.

It is measured by the clock that leaves suspended time out: a box that was suspended is
not overloaded."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, sleep

if TYPE_CHECKING:
    from collections.abc import Callable

INTERVAL: Millis = 20
"""Interval between two measurements."""
DECAY = 0.8
"""Factor by which the previous lag decays at each measurement, so that one quiet
iteration of the loop does not end a busy period: the lag halves in some 60 ms."""
LOG_THRESHOLD: Millis = 100
"""Lag that is logged, once when it is first exceeded and once when it is over."""

log = logging.getLogger(__name__)


class LoopLag:
    """Measures the lag of this process's event loop.

    Args:
        clock: Source of time.
        on_measure: Called with the lag in milliseconds after each measurement.
    """

    def __init__(
        self, clock: Clock, on_measure: Callable[[Millis], None] = lambda _: None
    ) -> None:
        self._clock = clock
        self._on_measure = on_measure
        self._due: Millis = clock.running() + INTERVAL
        self._lag: float = 0.0
        self._above_threshold = False

    def __repr__(self) -> str:
        return f"LoopLag({self.millis} ms)"

    @property
    def millis(self) -> Millis:
        """The lag in milliseconds; at least the delay of an overdue measurement."""
        return round(max(self._lag, self._clock.running() - self._due))

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._due = self._clock.running() + INTERVAL
            await sleep(INTERVAL)
            self.measure()

    def measure(self) -> None:
        """Update the lag with the delay of this measurement."""
        late = max(self._clock.running() - self._due, 0)
        self._lag = max(float(late), self._lag * DECAY)
        self._on_measure(self.millis)
        if (self._lag > LOG_THRESHOLD) is not self._above_threshold:
            self._above_threshold = not self._above_threshold
            extra = {"lag_ms": round(self._lag), "late": self._above_threshold}
            log.warning("event loop lag", extra=extra)
