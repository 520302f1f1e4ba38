"""Shares the event loop between connections that have much to parse."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

TURNS_S = 0.002
"""Seconds of an iteration of the event loop after which other events come first."""


class Turns:
    """Calls functions in turn, as many in each iteration of the loop as time allows."""

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()
        self._scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, turn: Callable[[], None]) -> None:
        """Call a function later, behind those that were added before."""
        self._waiting.append(turn)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        end = time.monotonic() + TURNS_S
        try:
            # Turns added meanwhile wait for the next iteration.
            for _ in range(len(self._waiting)):
                self._waiting.popleft()()
                if time.monotonic() >= end:
                    break
        finally:
            self._schedule()
