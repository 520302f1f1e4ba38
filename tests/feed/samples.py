"""A feed client of an entry that is not connected to any replica yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.feed.client import FeedClient
from leadseam.settings.models import Endpoint
from leadseam.wire.traffic import Traffic

if TYPE_CHECKING:
    from leadseam.clock import Clock


def make_feed(clock: Clock) -> FeedClient:
    """Return the feed client of an entry that knows one replica."""
    return FeedClient(
        node="entry-1",
        incarnation=1,
        endpoints=(Endpoint("10.0.0.1", 7_000),),
        clock=clock,
        traffic=Traffic(),
        on_change=lambda _: None,
    )
