"""An event loop whose time jumps to the next timer, and a clock that reads it."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

from leadseam.clock import MILLIS_PER_SECOND

if TYPE_CHECKING:
    from leadseam.clock import Millis


class _VirtualTimeSelector(selectors.SelectSelector):
    """Waits for nothing; what it would wait for passes at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Let the time pass; sockets are never looked at."""
        self.now += max(timeout or 0.0, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


class VirtualClock:
    """The time of a virtual loop.

    Args:
        loop: The loop.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now(self) -> Millis:
        """Return the virtual milliseconds."""
        return round(self._loop.time() * MILLIS_PER_SECOND)

    def running(self) -> Millis:
        """Return the same: nothing is ever suspended here."""
        return self.now()

    def wall(self) -> Millis:
        """Return the same: nothing here depends on the time of day."""
        return self.now()
