"""Age and freshness of a node's configuration before and after its confirmation."""

from __future__ import annotations

from leadseam.clock import Millis
from leadseam.feed.client import FRESH_LIMIT
from tests.feed.samples import make_feed


class SettableClock:
    """A clock whose time is set by the test."""

    def __init__(self) -> None:
        self.time: Millis = 16_000_000

    def now(self) -> Millis:
        return self.time

    def running(self) -> Millis:
        """Return the same time, as nothing is ever suspended here."""
        return self.now()

    def wall(self) -> Millis:
        return self.time


def test_age_is_unknown_until_a_replica_has_confirmed_a_version() -> None:
    clock = SettableClock()
    feed = make_feed(clock)
    assert (feed.age, feed.fresh) == (-1, False)
    feed.confirmed = True
    assert feed.age >= FRESH_LIMIT
    assert not feed.fresh
