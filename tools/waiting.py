"""Waits for conditions of real processes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CONDITION_TIMEOUT = 60.0
"""Seconds after which a condition that does not hold fails its test."""
POLL = 0.05
"""Seconds between two looks."""


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    what: str,
    *,
    timeout: float = CONDITION_TIMEOUT,
) -> None:
    """Wait for a condition.

    Raises:
        AssertionError: If it does not hold in time.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if await condition():
            return
        await asyncio.sleep(POLL)
    raise AssertionError(f"timed out waiting until {what}")
