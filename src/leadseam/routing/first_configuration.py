"""Requests that come to an entry before its first configuration."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from leadseam.clock import Millis, seconds

if TYPE_CHECKING:
    from leadseam.feed.client import FeedClient

LONGEST_WAIT: Millis = 1_000
"""How long a request may wait for a first configuration: the rest of an election. Who
is sent away instead comes back to an entry that has started no earlier, and has used up
a try: 441 requests on a day on which all boxes lost power, by the entries' lines."""
MAX_WAITING = 256
"""Requests that wait at a time; more are refused."""


class FirstConfiguration:
    """Lets requests wait until something is known.

    Args:
        feed: Brings the configuration.
    """

    def __init__(self, feed: FeedClient) -> None:
        self._feed = feed
        self._waiting = 0

    def __repr__(self) -> str:
        return f"FirstConfiguration(waiting={self._waiting})"

    async def wait(self, max_wait: Millis | None) -> None:
        """Return once there is a configuration, or after a while without one.

        Args:
            max_wait: Milliseconds that the caller will wait, or None if unknown.
        """
        if self._feed.confirmed or self._waiting >= MAX_WAITING:
            return
        limit = LONGEST_WAIT if max_wait is None else min(LONGEST_WAIT, max_wait)
        self._waiting += 1
        try:
            async with asyncio.timeout(seconds(limit)):
                await self._feed.first_configuration()
        except TimeoutError:
            # What follows refuses the request, and has its line: nothing is known.
            return
        finally:
            self._waiting -= 1
