"""Exponential backoff with jitter between attempts to reach a peer."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from leadseam.clock import sleep

if TYPE_CHECKING:
    from leadseam.clock import Millis

FIRST_PAUSE: Millis = 100
MAX_PAUSE: Millis = 1_500


class Backoff:
    """Pauses before reconnecting to one peer.

    They are random, so that many processes do not reconnect at once.

    Args:
        first: Upper limit of the first pause. Defaults to `FIRST_PAUSE`.
        last: Upper limit of all pauses. Defaults to `MAX_PAUSE`.
    """

    def __init__(
        self, *, first: Millis = FIRST_PAUSE, last: Millis = MAX_PAUSE
    ) -> None:
        self._first = first
        self._last = last
        self._limit = first

    def __repr__(self) -> str:
        return f"Backoff({self._limit} ms)"

    def reset(self) -> None:
        """Start again with the first pause, after the peer was reached."""
        self._limit = self._first

    def next_pause(self) -> Millis:
        """Return the next pause, between half of the current limit and the limit."""
        pause = random.randint(self._limit // 2, self._limit)
        self._limit = min(self._limit * 2, self._last)
        return pause

    async def wait(self) -> None:
        """Sleep for the next pause."""
        await sleep(self.next_pause())
