"""Time limits of tasks, which hold although the box was suspended meanwhile.

Timers of the event loop leave suspended time out, so a limit would pass late by all of
it. Limits are kept with the time of our clock at which they pass, and set anew when
the box goes on.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, seconds

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Timeouts:
    """All time limits that one program has set.

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
        """Cut the block off when its time has come.

        Args:
            due: Time of the clock, or None for no limit.

        Raises:
            TimeoutError: If the limit has passed within the block.
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
        """Set all limits anew; those that have passed cut off at once."""
        now = asyncio.get_running_loop().time()
        for limit, due in self._due.items():
            if not limit.expired():
                limit.reschedule(now + self._remaining(due))

    def _remaining(self, due: Millis) -> float:
        return seconds(max(due - self._clock.now(), 0))
