"""Watches an attempt for silence, and ends it if another upstream may take over."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from leadseam.clock import Millis, seconds

if TYPE_CHECKING:
    from collections.abc import Callable

FIRST_BYTE_FACTOR = 1.5
"""Limit on the time to the first byte, as a multiple of the latency objective."""
ESTIMATE_FACTOR = 3.0
"""The same as a multiple of the expected time; the longer limit applies."""
MIN_FIRST_BYTE_LIMIT: Millis = 500
"""Minimum of the limit on the time to the first byte."""
GAP_FACTOR = 4.0
"""Limit on gaps in a stream, as a multiple of the route's `max_pause`."""
MIN_GAP_LIMIT: Millis = 1_000
"""Minimum of the limit on gaps in a stream: preempted requests may stall so long."""


class SilenceWatch:
    """A timeout on silence that is reset whenever data arrives.

    The timer is not rescheduled for each event of a stream. When it fires, it checks
    how much of the limit is left.

    Args:
        on_silence: Called when the limit has passed; returns whether to end the
            attempt. If not, it is called again after each further silence.
    """

    def __init__(self, on_silence: Callable[[], bool]) -> None:
        self._on_silence = on_silence
        self._limit = 0.0
        self._last_activity = 0.0
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> SilenceWatch:
        await self._timeout.__aenter__()
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(*exc)  # type: ignore[arg-type]

    def reset(self, limit: Millis) -> None:
        """Restart the timeout with a limit in milliseconds."""
        self._limit = seconds(limit)
        self._last_activity = self._loop.time()
        if self._timer is None:
            self._schedule(self._limit)

    def end(self) -> None:
        """End the attempt now, as if it had timed out."""
        self._timeout.reschedule(self._loop.time())

    def _schedule(self, delay: float) -> None:
        self._timer = self._loop.call_later(delay, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        left = self._last_activity + self._limit - now
        if left > 0:
            self._schedule(left)
        elif self._on_silence():
            self._timeout.reschedule(now)
        else:
            self._last_activity = now
            self._schedule(self._limit)


def first_byte_limit(objective: Millis, expected: float) -> Millis:
    """Return the limit on the time to the first byte."""
    return max(
        round(objective * FIRST_BYTE_FACTOR),
        round(expected * ESTIMATE_FACTOR),
        MIN_FIRST_BYTE_LIMIT,
    )


def gap_limit(max_pause: Millis) -> Millis:
    """Return the limit on gaps in a stream."""
    return max(round(max_pause * GAP_FACTOR), MIN_GAP_LIMIT)
