"""Requests that wait for a plain upstream, and which of them goes next. No I/O.

A plain upstream works on some requests, queues a few more and turns the rest away, so
whoever sends most, or comes first, fills its queue. Load that this answers: more is
asked of a pool than it bears, most of it by some accounts, and others come now and
then, to all entries at once. Entries leave part of the upstream's queue empty; what has
no room waits here for a while, and the account that got least of late goes first.
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
"""Requests under way at an upstream for each of its slots, up to which it has room. The
loads of other entries are some 100 ms old, and slots must not stand empty meanwhile."""
WAIT_PART = 0.25
"""Part of the objective that a request waits at most: the upstream's queue and its work
take the rest, and a caller that is refused so early may still come back in time."""
DECAY_TIME: Millis = 2_000
"""Time after which 0.37 of a request that was sent still counts."""


@dataclass(slots=True)
class PlainWaiter:
    """A request that waits for a plain upstream.

    Args:
        account: Client account that pays, or an empty text.
        scope: Where it may go.
        tried: Incarnations not to be used.
        arrived: When it came.
        refuse_at: When it is refused if it still waits.
        wake: Called once it is placed or refused.
        done: Whether it no longer waits.
        placement: Where it was placed, counted there already; None if refused.
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
class _Sent:
    """Requests of an account that were sent of late; they fade."""

    count: float = 0.0
    at: Millis = 0

    def until(self, now: Millis) -> float:
        return self.count * exp(-max(now - self.at, 0) / DECAY_TIME)


@dataclass(slots=True)
class PlainQueue:
    """The requests for plain pools that wait at one entry.

    Args:
        candidates: Returns the upstreams of a scope that may be used.
        pick: Returns an upstream of a scope with room that was not tried, or None.
        begin: Counts a request at its upstream.
    """

    candidates: Callable[[Scope], Sequence[Registration]]
    pick: Callable[[Scope, set[Incarnation], Millis], Placement | None]
    begin: Callable[[Placement], None]
    _waiting: list[PlainWaiter] = field(default_factory=list)
    _sent: dict[tuple[str, str], _Sent] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._waiting)

    def enter(self, waiter: PlainWaiter, now: Millis) -> None:
        """Take a request; it is placed at once if there is room and no other's turn."""
        self._waiting.append(waiter)
        if self._is_next(waiter, now):
            self._try(waiter, now)

    def withdraw(self, waiter: PlainWaiter) -> None:
        """Forget a request whose caller is gone."""
        if not waiter.done:
            waiter.done = True
            self._waiting.remove(waiter)

    def pump(self, now: Millis) -> None:
        """Send what has room, who got least first, and refuse what waited too long."""
        full: set[Scope] = set()
        for waiter in sorted(self._waiting, key=lambda one: self._order(one, now)):
            if waiter.scope not in full and not self._try(waiter, now):
                full.add(waiter.scope)
            if waiter.done:
                continue
            if now >= waiter.refuse_at or not self.candidates(waiter.scope):
                # Without a candidate nothing can become free in time.
                self._finish(waiter, None)

    def _is_next(self, waiter: PlainWaiter, now: Millis) -> bool:
        level = self._level(waiter, now)
        return all(
            level <= self._level(one, now)
            for one in self._waiting
            if one.scope == waiter.scope
        )

    def _try(self, waiter: PlainWaiter, now: Millis) -> bool:
        placement = self.pick(waiter.scope, waiter.tried, now)
        if placement is None:
            return False
        self.begin(placement)
        sent = self._sent.setdefault((waiter.scope.pool, waiter.account), _Sent())
        sent.count = sent.until(now) + 1
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
        return sent.until(now) if sent is not None else 0.0
