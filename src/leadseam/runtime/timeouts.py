"""Timeouts of tasks that count time for which the box was suspended.

The event loop's timers leave suspended time out, so a timeout would expire late by the
whole suspension. Each timeout is kept with its deadline by our clock, and its timer is
set again after the box resumes.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, seconds

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Timeouts:
    """All pending timeouts of one program.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._due: dict[asyncio.Timeout, Millis] = {}

    def __repr__(self) -> str:
        return f"Timeouts({len(self._due)})"

    @asynccontextmanager
    async def until(self, due: Millis | None) -> AsyncIterator[None]:
        """Cancel the enclosed block at a deadline.

        Args:
            due: Deadline by the clock, or None for no limit.

        Raises:
            TimeoutError: If the deadline passed within the block.
        """
        if due is None:
            yield
            return
        async with asyncio.timeout(self._remaining(due)) as limit:
            self._due[limit] = due
            try:
                yield
            finally:
                del self._due[limit]

    def rearm(self) -> None:
        """Set all timers again; timeouts whose deadline has passed expire at once."""
        now = asyncio.get_running_loop().time()
        for limit, due in self._due.items():
            if not limit.expired():
                limit.reschedule(now + self._remaining(due))

    def _remaining(self, due: Millis) -> float:
        return seconds(max(due - self._clock.now(), 0))
