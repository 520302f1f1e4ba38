"""What a box believed before it was suspended, until it is confirmed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis

if TYPE_CHECKING:
    from leadseam.feed.client import FeedClient

STALE_LIMIT: Millis = 5_000
"""Time after a suspension for which a box without confirmation calls itself not ready.
Without a control group it serves what it knows then, as the others do."""


class Staleness:
    """Whether what was known before a suspension is still unconfirmed.

    Args:
        feed: Confirms it.
        clock: Source of time.
    """

    def __init__(self, feed: FeedClient, clock: Clock) -> None:
        self._feed = feed
        self._clock = clock
        self._since: Millis | None = None

    def __repr__(self) -> str:
        return f"Staleness(since={self._since})"

    def resumed(self) -> None:
        """Note that the box was suspended until now."""
        if not self._feed.fresh:
            self._since = self._clock.now()

    def is_stale(self) -> bool:
        """Tell whether the box is not ready for that."""
        if self._since is None:
            return False
        if self._feed.fresh or self._clock.now() - self._since > STALE_LIMIT:
            self._since = None
        return self._since is not None
