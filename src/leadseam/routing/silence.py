"""Watches an attempt for silence, and ends it where another upstream may go on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from leadseam.clock import Millis, seconds

if TYPE_CHECKING:
    from collections.abc import Callable

FIRST_BYTE_FACTOR = 1.5
"""Multiple of the latency objective that a first byte may take."""
ESTIMATE_FACTOR = 3.0
"""Multiple of the expected time that a first byte may take, where that is longer."""
MIN_FIRST_BYTE_LIMIT: Millis = 500
"""Shortest silence before a first byte that counts."""
GAP_FACTOR = 4.0
"""Multiple of the longest pause in time after which a stream counts as silent."""
MIN_GAP_LIMIT: Millis = 1_000
"""Shortest silence inside a stream that counts: preempted requests stand that long."""


class SilenceWatch:
    """A limit on silence that each sign of life puts back.

    The timer is not moved for each event of a stream: it looks, when it fires, how much
    of the limit is left.

    Args:
        on_silence: Called after a silence; returns whether the attempt is to end. It is
            called again after each further silence.
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
        """Expect a sign of life within so many milliseconds from now."""
        self._limit = seconds(limit)
        self._last_activity = self._loop.time()
        if self._timer is None:
            self._schedule(self._limit)

    def end(self) -> None:
        """End the attempt now."""
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
    """Return how long a first byte may take before it counts as missing."""
    return max(
        round(objective * FIRST_BYTE_FACTOR),
        round(expected * ESTIMATE_FACTOR),
        MIN_FIRST_BYTE_LIMIT,
    )


def gap_limit(max_pause: Millis) -> Millis:
    """Return how long a stream may be silent."""
    return max(round(max_pause * GAP_FACTOR), MIN_GAP_LIMIT)
