"""After a suspension, a box is not ready until its state is confirmed, or for 5 s."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from leadseam.clock import ManualClock
from leadseam.feed.staleness import Staleness

if TYPE_CHECKING:
    from leadseam.feed.client import FeedClient


@dataclass
class Feed:
    """A feed client whose freshness is set by the test."""

    fresh: bool = True


def test_state_is_stale_until_the_feed_is_fresh() -> None:
    feed, clock = Feed(), ManualClock()
    staleness = Staleness(cast("FeedClient", feed), clock)
    staleness.resumed()
    assert not staleness.is_stale()
    feed.fresh = False
    assert not staleness.is_stale()
    staleness.resumed()
    assert staleness.is_stale()
    feed.fresh = True
    assert not staleness.is_stale()
    feed.fresh = False
    assert not staleness.is_stale()


def test_state_is_stale_for_at_most_five_seconds() -> None:
    feed, clock = Feed(fresh=False), ManualClock()
    staleness = Staleness(cast("FeedClient", feed), clock)
    staleness.resumed()
    clock.advance(5_000)
    assert staleness.is_stale()
    clock.advance(1)
    assert not staleness.is_stale()
