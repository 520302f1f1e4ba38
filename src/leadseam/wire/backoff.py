"""Pauses between attempts to reach a peer: growing, bounded, spread at random."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from leadseam.clock import sleep

if TYPE_CHECKING:
    from leadseam.clock import Millis

FIRST: Millis = 100
LAST: Millis = 1_500


class Backoff:
    """The pauses of one peer; spread, so that many do not dial at once.

    Args:
        first: Longest first pause. Defaults to `FIRST`.
        last: Longest pause of all. Defaults to `LAST`.
    """

    def __init__(self, *, first: Millis = FIRST, last: Millis = LAST) -> None:
        self._first = first
        self._last = last
        self._limit = first

    def __repr__(self) -> str:
        return f"Backoff({self._limit} ms)"

    def reset(self) -> None:
        """Begin again with the first pause."""
        self._limit = self._first

    def next_pause(self) -> Millis:
        """Return the next pause, between half of the limit and the limit."""
        pause = random.randint(self._limit // 2, self._limit)
        self._limit = min(self._limit * 2, self._last)
        return pause

    async def wait(self) -> None:
        """Sleep for the next pause."""
        await sleep(self.next_pause())
