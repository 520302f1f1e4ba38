"""An event loop in virtual time, which skips to the next timer, and its clock."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

from leadseam.clock import MILLIS_PER_SECOND

if TYPE_CHECKING:
    from leadseam.clock import Millis


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time by the timeout instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by `timeout`; sockets are never polled."""
        self.now += max(timeout or 0.0, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


class VirtualClock:
    """A clock that reads the time of a virtual loop.

    Args:
        loop: The loop that keeps the time.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now(self) -> Millis:
        """Return the virtual time in milliseconds."""
        return round(self._loop.time() * MILLIS_PER_SECOND)

    def running(self) -> Millis:
        """Return the same as `now`: a virtual box is never suspended."""
        return self.now()

    def wall(self) -> Millis:
        """Return the same as `now`: no simulation depends on the time of day."""
        return self.now()
