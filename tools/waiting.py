"""Polls conditions of real processes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CONDITION_TIMEOUT = 60.0
"""Seconds after which a condition that still does not hold fails the test."""
POLL_INTERVAL = 0.05
"""Seconds between two checks."""


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    what: str,
    *,
    timeout: float = CONDITION_TIMEOUT,
) -> None:
    """Poll a condition until it holds.

    Args:
        condition: Coroutine function that returns whether the condition holds.
        what: Description of the condition, for the error message.
        timeout: Seconds to wait at most.

    Raises:
        AssertionError: If the condition does not hold in time.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if await condition():
            return
        await asyncio.sleep(POLL_INTERVAL)
    raise AssertionError(f"timed out waiting until {what}")
