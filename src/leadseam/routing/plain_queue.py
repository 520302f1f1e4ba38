"""Queues requests that wait for a plain upstream and places them in fair order. No I/O.

A plain upstream processes some requests, queues a few more and refuses the others, so
the account that sends most, or first, fills its queue. This module handles the load
where a pool gets more requests than it can serve, most of them from a few accounts,
while other accounts send requests occasionally, to all entries at once. Entries leave
part of the upstream's queue empty. A request without capacity waits here for a while,
and the account with the fewest recent requests goes first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from leadseam.incarnation import Incarnation
    from leadseam.routing.placement import Placement
    from leadseam.routing.scope import Scope
    from leadseam.wire.feed import Registration

MAX_PER_SLOT = 3.0
"""Maximum requests in flight per slot of an upstream. It exceeds 1 because the loads of
other entries are about 100 ms old, and slots must not stay empty in the meantime."""
MAX_WAIT_PART = 0.25
"""Maximum fraction of the objective that a request waits. The upstream's queue and the
processing take the remainder, and a caller that is refused this early may still retry
in time."""
DECAY_TIME: Millis = 2_000
"""Time constant of the decay: after it 0.37 of a sent request still counts."""


@dataclass(slots=True)
class PlainWaiter:
    """A request that waits for a plain upstream.

    Args:
        account: Client account of the request, or an empty string.
        scope: Pool and regions that it may be sent to.
        tried: Incarnations that must not be used.
        arrived: Time when it arrived.
        refuse_at: Time when it is refused if it still waits.
        wake: Called once when it is placed or refused.
        done: Whether it no longer waits.
        placement: Its placement, already counted at the upstream; None if refused.
    """

    account: str
    scope: Scope
    tried: set[Incarnation]
    arrived: Millis
    refuse_at: Millis
    wake: Callable[[], None]
    done: bool = False
    placement: Placement | None = None


@dataclass(slots=True)
class _DecayingCount:
    """Number of requests of an account that were sent, decaying exponentially."""

    count: float = 0.0
    at: Millis = 0

    def value_at(self, now: Millis) -> float:
        return self.count * exp(-max(now - self.at, 0) / DECAY_TIME)


@dataclass(slots=True)
class PlainQueue:
    """The requests for plain pools that wait at one entry.

    Args:
        candidates: Returns the usable upstreams of a scope.
        pick: Returns an untried upstream of a scope that has capacity, or None.
        begin: Counts a request at its upstream.
    """

    candidates: Callable[[Scope], Sequence[Registration]]
    pick: Callable[[Scope, set[Incarnation], Millis], Placement | None]
    begin: Callable[[Placement], None]
    _waiting: list[PlainWaiter] = field(default_factory=list)
    _sent: dict[tuple[str, str], _DecayingCount] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._waiting)

    def enter(self, waiter: PlainWaiter, now: Millis) -> None:
        """Add a request.

        It is placed at once if there is capacity and no waiting account has fewer
        recent requests.
        """
        self._waiting.append(waiter)
        if self._is_next(waiter, now):
            self._try_place(waiter, now)

    def withdraw(self, waiter: PlainWaiter) -> None:
        """Remove a request whose caller has disconnected."""
        if not waiter.done:
            waiter.done = True
            self._waiting.remove(waiter)

    def pump(self, now: Millis) -> None:
        """Place waiting requests, fewest recent ones first, and refuse late ones."""
        full: set[Scope] = set()
        for waiter in sorted(self._waiting, key=lambda one: self._order(one, now)):
            if waiter.scope not in full and not self._try_place(waiter, now):
                full.add(waiter.scope)
            if waiter.done:
                continue
            if now >= waiter.refuse_at or not self.candidates(waiter.scope):
                # Without a candidate no capacity can become free in time.
                self._finish(waiter, None)

    def _is_next(self, waiter: PlainWaiter, now: Millis) -> bool:
        level = self._level(waiter, now)
        return all(
            level <= self._level(one, now)
            for one in self._waiting
            if one.scope == waiter.scope
        )

    def _try_place(self, waiter: PlainWaiter, now: Millis) -> bool:
        placement = self.pick(waiter.scope, waiter.tried, now)
        if placement is None:
            return False
        self.begin(placement)
        sent = self._sent.setdefault(
            (waiter.scope.pool, waiter.account), _DecayingCount()
        )
        sent.count = sent.value_at(now) + 1
        sent.at = now
        self._finish(waiter, placement)
        return True

    def _finish(self, waiter: PlainWaiter, placement: Placement | None) -> None:
        waiter.done = True
        self._waiting.remove(waiter)
        waiter.placement = placement
        waiter.wake()

    def _order(self, waiter: PlainWaiter, now: Millis) -> tuple[float, Millis]:
        return self._level(waiter, now), waiter.arrived

    def _level(self, waiter: PlainWaiter, now: Millis) -> float:
        sent = self._sent.get((waiter.scope.pool, waiter.account))
        return sent.value_at(now) if sent is not None else 0.0
