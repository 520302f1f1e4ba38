"""A request in flight at an upstream, and the counts that depend on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.crashes.evidence import (
    EARLY_LIMIT,
    ENGINE_EARLY_LIMIT,
    AnswerProgress,
)
from leadseam.routing.load import Load

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.clock import Clock, Millis
    from leadseam.routing.balance import Balancer
    from leadseam.routing.dialect import RoutedRequest
    from leadseam.routing.placement import Placement
    from leadseam.wire.feed import Registration


class Flight:
    """Updates loads, prompts and estimates from the send to the end of an attempt.

    Args:
        placement: Where the request was placed; its load is already counted.
        req: The request.
        balancer: Holds the loads, prompts and estimates.
        clock: Source of time.
        on_capacity: Called when the upstream may have capacity for another request.
    """

    def __init__(
        self,
        placement: Placement,
        req: RoutedRequest,
        balancer: Balancer,
        clock: Clock,
        on_capacity: Callable[[], None],
    ) -> None:
        self._placement = placement
        self._req = req
        self._balancer = balancer
        self._clock = clock
        self._on_capacity = on_capacity
        self._sent: Millis = clock.now()
        self._answered = False
        self._has_head = False
        self._answered_at: Millis = 0
        self._lasting = False

    def __repr__(self) -> str:
        return f"Flight({self._req.request_id} at {self.upstream.incarnation})"

    @property
    def upstream(self) -> Registration:
        """Upstream of the request."""
        return self._placement.upstream

    @property
    def placement(self) -> Placement:
        """Placement of the request, with its expected load."""
        return self._placement

    @property
    def expected_first_token(self) -> float:
        """Expected milliseconds to the first token; 0 if unknown."""
        if not self._placement.unread:
            return 0.0
        estimate = self._balancer.estimates.engine(self.upstream)
        return estimate.millis(self._placement.unread) + self._placement.fetch_ms

    @property
    def progress(self) -> AnswerProgress:
        """How far the answer has come by now."""
        if not self._answered:
            return AnswerProgress.HEAD if self._has_head else AnswerProgress.NONE
        age = self._clock.now() - self._answered_at
        return AnswerProgress.BEGUN if age <= EARLY_LIMIT else AnswerProgress.LASTING

    def head(self) -> None:
        """Record that the head of the answer has arrived."""
        self._has_head = True

    def first_byte(self) -> None:
        """Record the start of the answer; only the first call has an effect."""
        if self._answered:
            return
        self._answered = True
        now = self._answered_at = self._clock.now()
        incarnation = self.upstream.incarnation
        self._balancer.loads.mark_read(incarnation, self._placement.load.unread)
        self._balancer.record_read(self._placement, self._req.parts, now)
        # The estimates are of prefilling alone.
        millis = max(now - self._sent - round(self._placement.fetch_ms), 0)
        self._balancer.estimates.add_measurement(
            self.upstream, self._placement.unread, millis
        )
        self._on_capacity()

    def begins_to_last(self) -> bool:
        """Return, once, that the answer has been arriving for some time."""
        if self._lasting or self.progress is not AnswerProgress.LASTING:
            return False
        self._lasting = True
        return True

    def ended_early(self) -> bool:
        """Return whether the attempt, ending now, ends early and without an answer."""
        limit = ENGINE_EARLY_LIMIT if self._req.parts else EARLY_LIMIT
        return not self._answered and self._clock.now() - self._sent <= limit

    def end(self) -> None:
        """Record that the attempt has ended."""
        load = self._placement.load
        if self._answered:
            load = Load(requests=load.requests, memory=load.memory)
        else:
            self._balancer.end_fetch(self._placement)
        self._balancer.loads.end(self.upstream.incarnation, load)
        self._on_capacity()
