"""Detects that the box was suspended and triggers overdue work.

Decisions use a clock that counts suspended time, so they are right without this. But
the event loop's timers leave suspended time out: work that fell due meanwhile, such as
a final answer or a refusal, would be late by the whole suspension.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, sleep

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.runtime.metrics import Metrics

INTERVAL: Millis = 20
"""Interval between two comparisons, and so the longest delay of overdue work after a
suspension. It is a twenty-fifth of the time within which a final answer must follow a
time limit."""
MIN_SUSPENSION: Millis = 50
"""Shortest difference that counts as a suspension: the two clocks are read one after
the other, and on a busy box some ms may pass in between."""

log = logging.getLogger(__name__)


class SuspensionWatch:
    """Detects suspensions by comparing clocks that do and do not count suspended time.

    Args:
        clock: Source of both times.
        metrics: Metrics that count the suspended time.
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
        return f"SuspensionWatch(suspended={self._suspended})"

    async def run(self) -> None:
        """Compare the clocks until cancelled."""
        while True:
            await sleep(INTERVAL)
            self.check()

    def check(self) -> None:
        """Report a suspension since the last check, if there was one."""
        suspended = self._read_suspended()
        duration, self._suspended = suspended - self._suspended, suspended
        if duration < MIN_SUSPENSION:
            return
        log.warning("box was suspended", extra={"away_ms": duration})
        self._suspended_ms.add({}, duration)
        self._on_resume()

    def _read_suspended(self) -> Millis:
        return self._clock.now() - self._clock.running()
