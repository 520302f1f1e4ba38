"""Requests that wait for an engine, and which of them goes next. No I/O.

A request goes to an engine only while that engine has room: a slot, memory, and so
little to read that the first token is in time. Else it waits here, where accounts can
still be told apart, and is refused early if no room is found. Of those that wait, the
account with the least service of late goes first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.routing.engine_order import MAX_LOOKED
from leadseam.routing.spare_capacity import SpareRoom
from leadseam.routing.usage import Standing

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from leadseam.control.routes import EngineProfile
    from leadseam.incarnation import Incarnation
    from leadseam.routing.balance import Balancer
    from leadseam.routing.dialect import RoutedRequest
    from leadseam.routing.placement import Placement
    from leadseam.routing.scope import Scope
    from leadseam.wire.feed import Registration

ENTITLED_PART = 0.85
"""Part of the objective that the expected first token may take."""
MIN_WAIT_PART = 0.22
"""Part of the objective that a request waits at least, also one whose prompt is too
long for the objective: it may find an engine with nothing to read."""
MAX_READING_AHEAD: Millis = 100
"""Reading that may be ahead of a request at an engine. The rest waits here, where those
that are short go first and none stands behind a long prompt by chance."""
MAX_READING_AHEAD_BEYOND_SHARE: Millis = 0
"""The same for an account beyond its share of the stated capacity: it gets an engine
that has nothing else to read, while there is no room to spare."""


@dataclass(slots=True)
class Waiter:
    """A request that waits for an engine.

    Args:
        req: The request.
        account: Client account that pays, or an empty text.
        scope: Where it may go.
        profile: What is stated about the pool's engines.
        objective: Milliseconds from `arrived` in which the first token is in time.
        arrived: When it could first be placed.
        tried: Incarnations not to be used.
        wake: Called once it is placed or refused.
        refuse_at: When it is refused if it still waits.
        done: Whether it no longer waits.
        rows: Engines that were candidates when `ranked` was worked out.
        ranked: Those that may be used, in order of preference.
        placement: Where it was placed, counted there already; None if refused.
    """

    req: RoutedRequest
    account: str
    scope: Scope
    profile: EngineProfile
    objective: Millis
    arrived: Millis
    tried: set[Incarnation]
    wake: Callable[[], None]
    refuse_at: Millis = 0
    done: bool = False
    rows: Sequence[Registration] = ()
    ranked: Sequence[Registration] = ()
    placement: Placement | None = None


@dataclass(slots=True)
class Admission:
    """The waiting requests of one entry.

    Args:
        balancer: Loads and estimates.
        candidates: Returns the upstreams of a scope that may be used.
        standing: Returns what an account may claim.
        recent_service: Returns the service that an account got of late.
    """

    balancer: Balancer
    candidates: Callable[[Scope], Sequence[Registration]]
    standing: Callable[[str, Millis], Standing]
    recent_service: Callable[[str, Millis], int]
    _waiting: list[Waiter] = field(default_factory=list)
    _spare: SpareRoom = field(init=False)

    def __post_init__(self) -> None:
        loads = self.balancer.loads
        self._spare = SpareRoom(
            self.candidates, lambda row, now: loads.total(row.incarnation, now)
        )

    def __len__(self) -> int:
        return len(self._waiting)

    def enter(self, waiter: Waiter, now: Millis) -> None:
        """Take a request; it is woken at once if there is room and no other's turn."""
        waiter.refuse_at = waiter.arrived + self._longest_wait(waiter)
        turn = self.recent_service(waiter.account, now) <= self._lowest_level(now)
        placement = self._place(waiter, now) if turn else None
        self._waiting.append(waiter)
        if placement is not None:
            self._finish(waiter, placement)
        elif not self._may_wait(waiter, now):
            # Others that wait have a better claim to any room until the wait is over.
            self._finish(waiter, None)

    def _longest_wait(self, waiter: Waiter) -> Millis:
        """Return how long a request may wait and still be in time, if it is alone."""
        alone = self.balancer.alone(waiter.scope.pool, waiter.req)
        in_time = waiter.objective * ENTITLED_PART - alone
        return round(max(in_time, waiter.objective * MIN_WAIT_PART))

    def _may_wait(self, waiter: Waiter, now: Millis) -> bool:
        """Tell whether a request has a claim to room that becomes free."""
        if not waiter.account:
            return True
        standing = self.standing(waiter.account, now)
        return standing in (Standing.WITHIN, Standing.EVEN)

    def withdraw(self, waiter: Waiter) -> None:
        """Forget a request whose caller is gone."""
        if not waiter.done:
            waiter.done = True
            self._waiting.remove(waiter)

    def pump(self, now: Millis) -> None:
        """Send what has room, in order of service, and refuse what waited too long."""
        if not self._waiting:
            return
        self._sort(now)
        # Most looks find engines full: then one look at them serves all that wait.
        room: dict[tuple[Scope, Millis], frozenset[Incarnation] | None] = {}
        for waiter in list(self._waiting):
            key = (waiter.scope, waiter.objective)
            if key not in room:
                room[key] = self._with_room(*key, now)
            placement = self._place(waiter, now, among=room[key])
            if placement is not None:
                self._finish(waiter, placement)
            elif now >= waiter.refuse_at or not self.candidates(waiter.scope):
                # Without a candidate nothing can become free in time.
                self._finish(waiter, None)

    def _sort(self, now: Millis) -> None:
        levels = {
            account: self.recent_service(account, now)
            for account in {one.account for one in self._waiting}
        }
        self._waiting.sort(key=lambda one: (levels[one.account], one.arrived))

    def _with_room(
        self, scope: Scope, objective: Millis, now: Millis
    ) -> frozenset[Incarnation] | None:
        """Return the engines that may have room, or None if there are too many."""
        rows = self.candidates(scope)
        if len(rows) > MAX_LOOKED:
            return None
        return self.balancer.with_room(rows, objective * ENTITLED_PART, now)

    def _lowest_level(self, now: Millis) -> float:
        accounts = {one.account for one in self._waiting}
        return min(
            (self.recent_service(name, now) for name in accounts), default=float("inf")
        )

    def _finish(self, waiter: Waiter, placement: Placement | None) -> None:
        waiter.done = True
        self._waiting.remove(waiter)
        if placement is not None:
            # Counted here, so that the next request in line sees it.
            self.balancer.begin(placement)
        waiter.placement = placement
        waiter.wake()

    def _place(
        self,
        waiter: Waiter,
        now: Millis,
        *,
        among: frozenset[Incarnation] | None = None,
    ) -> Placement | None:
        if among is not None and not among:
            return None
        self._rank(waiter)
        if not waiter.ranked:
            return None
        ahead = self._ahead(waiter, now)
        if ahead is None:
            return None
        left = waiter.arrived + waiter.objective * ENTITLED_PART - now
        return self.balancer.place(
            waiter.ranked,
            waiter.req,
            waiter.profile,
            left,
            now,
            ahead=ahead,
            among=among,
        )

    def _ahead(self, waiter: Waiter, now: Millis) -> Millis | None:
        """Return the reading that may be ahead of a request, or None for no room."""
        if not waiter.account:
            return MAX_READING_AHEAD
        match self.standing(waiter.account, now):
            case Standing.WITHIN:
                return MAX_READING_AHEAD
            case Standing.EVEN | Standing.AHEAD:
                return (
                    MAX_READING_AHEAD
                    if self._has_spare(waiter, now)
                    else MAX_READING_AHEAD_BEYOND_SHARE
                )
            case Standing.STOPPED:
                return None

    def _has_spare(self, waiter: Waiter, now: Millis) -> bool:
        return self._spare.there_is(waiter.scope, now)

    def _rank(self, waiter: Waiter) -> None:
        """Order the engines that a request may use anew, if they have changed."""
        rows = self.candidates(waiter.scope)
        if rows is not waiter.rows and rows != waiter.rows:
            waiter.rows = rows
            order = self.balancer.orders.order_for(waiter.scope, rows, waiter.req)
            waiter.ranked = [
                row for row in order if row.incarnation not in waiter.tried
            ]
