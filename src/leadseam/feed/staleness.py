"""Staleness of a box's state after a suspension, until a replica confirms it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis

if TYPE_CHECKING:
    from leadseam.feed.client import FeedClient

STALE_LIMIT: Millis = 5_000
"""Time after a suspension for which a box without a confirmation reports that it is not
ready. After that it serves with the state it has, as other boxes do when the control
group is unreachable."""


class Staleness:
    """Tracks whether the state from before a suspension is still unconfirmed.

    Args:
        feed: Feed client, which receives the confirmations.
        clock: Source of time.
    """

    def __init__(self, feed: FeedClient, clock: Clock) -> None:
        self._feed = feed
        self._clock = clock
        self._since: Millis | None = None

    def __repr__(self) -> str:
        return f"Staleness(since={self._since})"

    def resumed(self) -> None:
        """Record that a suspension of the box has just ended."""
        if not self._feed.fresh:
            self._since = self._clock.now()

    def is_stale(self) -> bool:
        """Return whether the state is stale, so that the box is not ready."""
        if self._since is None:
            return False
        if self._feed.fresh or self._clock.now() - self._since > STALE_LIMIT:
            self._since = None
        return self._since is not None
