"""How late the event loop runs what is due, as it does for want of processor time.

It goes by the clock that leaves suspended time out: a box that was away is not busy."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, sleep

if TYPE_CHECKING:
    from collections.abc import Callable

INTERVAL: Millis = 20
"""Interval of the measurement."""
DECAY = 0.8
"""Part of the last measurement that is kept, so that one quiet turn of the loop does
not end a busy time: it halves in some 60 ms."""
LOG_THRESHOLD: Millis = 100
"""Lag that is logged when it is first exceeded, and when it is over."""

log = logging.getLogger(__name__)


class LoopLag:
    """Measures the lag of this process' event loop.

    Args:
        clock: Source of time.
        on_measure: Called with each measurement, in milliseconds.
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
        """The lag, with what the next measurement is late already."""
        return round(max(self._lag, self._clock.running() - self._due))

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._due = self._clock.running() + INTERVAL
            await sleep(INTERVAL)
            self.measure()

    def measure(self) -> None:
        """Note how late the last measurement came."""
        late = max(self._clock.running() - self._due, 0)
        self._lag = max(float(late), self._lag * DECAY)
        self._on_measure(self.millis)
        if (self._lag > LOG_THRESHOLD) is not self._above_threshold:
            self._above_threshold = not self._above_threshold
            extra = {"lag_ms": round(self._lag), "late": self._above_threshold}
            log.warning("event loop lag", extra=extra)
