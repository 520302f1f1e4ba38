"""One request in flight at one upstream, and the counts that depend on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.crashes.evidence import EARLY_LIMIT, ENGINE_EARLY_LIMIT
from leadseam.routing.load import Load

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.clock import Clock, Millis
    from leadseam.routing.balance import Balancer
    from leadseam.routing.dialect import RoutedRequest
    from leadseam.routing.placement import Placement
    from leadseam.wire.feed import Registration


class Flight:
    """Keeps the loads right from the send to the end of an attempt.

    Args:
        placement: Where the request was placed; already counted.
        req: The request.
        balancer: Where it is counted.
        clock: Source of time.
        on_room: Called when the upstream may have room for another request.
    """

    def __init__(
        self,
        placement: Placement,
        req: RoutedRequest,
        balancer: Balancer,
        clock: Clock,
        on_room: Callable[[], None],
    ) -> None:
        self._placement = placement
        self._req = req
        self._balancer = balancer
        self._clock = clock
        self._on_room = on_room
        self._sent: Millis = clock.now()
        self._read = False

    def __repr__(self) -> str:
        return f"Flight({self._req.request_id} at {self.upstream.incarnation})"

    @property
    def upstream(self) -> Registration:
        """Where the request is."""
        return self._placement.upstream

    @property
    def placement(self) -> Placement:
        """Where the request was placed, and what that was expected to cost."""
        return self._placement

    @property
    def expected_first_token(self) -> float:
        """Milliseconds that the first token is expected to take; 0 if unknown."""
        if not self._placement.unread:
            return 0.0
        estimate = self._balancer.estimates.engine(self.upstream)
        return estimate.millis(self._placement.unread)

    def first_byte(self) -> None:
        """Note that the upstream has begun to answer; only the first call counts."""
        if self._read:
            return
        self._read = True
        now = self._clock.now()
        incarnation = self.upstream.incarnation
        self._balancer.loads.read(incarnation, self._placement.load.unread)
        self._balancer.prompts.sent(incarnation, self._req.parts, now)
        self._balancer.estimates.add_measurement(
            self.upstream, self._placement.unread, now - self._sent
        )
        self._on_room()

    def ended_early(self) -> bool:
        """Tell whether the attempt ends now soon after its send, with no answer."""
        limit = ENGINE_EARLY_LIMIT if self._req.parts else EARLY_LIMIT
        return not self._read and self._clock.now() - self._sent <= limit

    def end(self) -> None:
        """Note that the attempt has ended."""
        load = self._placement.load
        if self._read:
            load = Load(requests=load.requests, memory=load.memory)
        self._balancer.loads.end(self.upstream.incarnation, load)
        self._on_room()
