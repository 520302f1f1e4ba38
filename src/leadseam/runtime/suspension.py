"""Notices that the box was suspended, and has what is due looked at.

Decisions go by a clock that counts suspended time, so they are right without this. But
timers of the event loop leave it out: what was due while the box was away would be done
late by all of that time, a final answer as well as a refusal.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, sleep

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.runtime.metrics import Metrics

INTERVAL: Millis = 20
"""Interval of the comparison: what is due after a suspension is late by no more. It is
a twenty-fifth of the time within which a final answer may follow a time limit."""
MIN_SUSPENSION: Millis = 50
"""Time away from which a suspension is told of: the two clocks are read one after the
other, and a busy box may leave some ms in between."""

log = logging.getLogger(__name__)


class SuspensionWatch:
    """Compares the clock that counts suspended time with the one that does not.

    Args:
        clock: Both.
        metrics: Where the time away is counted.
        on_resume: Called after each suspension.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        *,
        on_resume: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._suspended_ms = metrics.counter(
            "suspended_ms_total", "Time for which the box was suspended."
        )
        self._on_resume = on_resume
        self._suspended = self._read_suspended()

    def __repr__(self) -> str:
        return f"SuspensionWatch(left_out={self._suspended})"

    async def run(self) -> None:
        """Compare until cancelled."""
        while True:
            await sleep(INTERVAL)
            self.check()

    def check(self) -> None:
        """Tell of a suspension since the last look, if there was one."""
        suspended = self._read_suspended()
        duration, self._suspended = suspended - self._suspended, suspended
        if duration < MIN_SUSPENSION:
            return
        log.warning("box was suspended", extra={"away_ms": duration})
        self._suspended_ms.add({}, duration)
        self._on_resume()

    def _read_suspended(self) -> Millis:
        return self._clock.now() - self._clock.running()
