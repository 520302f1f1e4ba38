"""Lets requests wait at an entry that has no configuration yet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from leadseam.clock import Millis, seconds

if TYPE_CHECKING:
    from leadseam.feed.client import FeedClient

LONGEST_WAIT: Millis = 1_000
"""Longest wait of a request for the first configuration: the remaining time of an
election. A request refused instead uses up one of its attempts, and its retry reaches
an entry that started no earlier. By the entries' logs this happened to 441 requests on
a day on which all boxes lost power."""
MAX_WAITING = 256
"""Requests that may wait at the same time; more do not wait and are refused."""


class FirstConfiguration:
    """Lets requests wait until the configuration is confirmed.

    Args:
        feed: Source of the configuration.
    """

    def __init__(self, feed: FeedClient) -> None:
        self._feed = feed
        self._waiting = 0

    def __repr__(self) -> str:
        return f"FirstConfiguration(waiting={self._waiting})"

    async def wait(self, max_wait: Millis | None) -> None:
        """Wait for the first configuration, but not longer than the limit.

        Args:
            max_wait: Milliseconds that the caller waits for an answer, or None if not
                stated.
        """
        if self._feed.confirmed or self._waiting >= MAX_WAITING:
            return
        limit = LONGEST_WAIT if max_wait is None else min(LONGEST_WAIT, max_wait)
        self._waiting += 1
        try:
            async with asyncio.timeout(seconds(limit)):
                await self._feed.first_configuration()
        except TimeoutError:
            # Admission refuses and logs the request, as there is no configuration.
            return
        finally:
            self._waiting -= 1
