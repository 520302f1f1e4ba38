"""Queues requests that wait for an engine and admits them in fair order. No I/O.

A request is sent to an engine only while that engine has capacity: a free slot, free
memory, and so little to read that the first token is in time. Otherwise it waits here,
where requests can still be ordered by account, and is refused early if no capacity
becomes free. Of the waiting requests, those of the account with the least recent
service go first. Resumed streams of accounts within their share go before them, as only
the engines of one version can continue them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.routing.engine_order import MAX_CANDIDATES
from leadseam.routing.return_time import RecentPlacements
from leadseam.routing.spare_capacity import SpareCapacity
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

FIRST_TOKEN_PART = 0.85
"""Fraction of the objective within which the first token must be expected."""
MIN_WAIT_PART = 0.22
"""Fraction of the objective that any request may wait. It also applies to a prompt that
is too long for the objective, which may find an engine with nothing to read."""
MAX_READING_AHEAD: Millis = 100
"""Maximum reading ahead of a request at an engine. Further requests wait here, where
short accounts go first and no request is queued behind a long prompt by chance."""
MAX_READING_AHEAD_OF_LEADERS: Millis = 0
"""The same bound for an account ahead of others. Unless there is spare capacity, it
only gets an engine that has nothing else to read."""


@dataclass(slots=True)
class Waiter:
    """A request that waits for an engine.

    Args:
        req: The request.
        account: Client account of the request, or an empty string.
        scope: Pool and regions that it may be sent to.
        profile: Stated properties of the pool's engines.
        objective: Milliseconds after `arrived` in which the first token is due.
        arrived: Time when it could first be placed.
        tried: Incarnations that must not be used.
        wake: Called once when it is placed or refused.
        retried: Whether its caller was refused before.
        place: Time by which it is ordered among requests of accounts with the same
            service: `arrived`, unless exchanged with another one of its account.
        refuse_at: Time when it is refused if it still waits.
        done: Whether it no longer waits.
        rows: Candidate engines from which `ranked` was computed.
        ranked: Engines that it may use, in order of preference.
        placement: Its placement, already counted at the upstream; None if refused.
    """

    req: RoutedRequest
    account: str
    scope: Scope
    profile: EngineProfile
    objective: Millis
    arrived: Millis
    tried: set[Incarnation]
    wake: Callable[[], None]
    retried: bool = False
    place: Millis = 0
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
        candidates: Returns the usable upstreams of a scope.
        standing: Returns the standing of an account.
        recent_service: Returns the service that an account recently received.
    """

    balancer: Balancer
    candidates: Callable[[Scope], Sequence[Registration]]
    standing: Callable[[str, Millis], Standing]
    recent_service: Callable[[str, Millis], int]
    _waiting: list[Waiter] = field(default_factory=list)
    _placed: dict[Scope, RecentPlacements] = field(default_factory=dict)
    _spare: SpareCapacity = field(init=False)

    def __post_init__(self) -> None:
        loads = self.balancer.loads
        self._spare = SpareCapacity(
            self.candidates, lambda row, now: loads.total(row.incarnation, now)
        )

    def __len__(self) -> int:
        return len(self._waiting)

    def enter(self, waiter: Waiter, now: Millis) -> None:
        """Add a request.

        It is placed at once if there is capacity and no waiting account has less recent
        service. It is refused at once if its account may not wait.
        """
        waiter.place = waiter.arrived
        waiter.refuse_at = waiter.arrived + self._longest_wait(waiter)
        level = self.recent_service(waiter.account, now)
        is_next = self._goes_first(waiter, now) or (
            level <= self._lowest_recent_service(now) and not self._retry_waits(waiter)
        )
        may_start = is_next and not self._is_pointless(waiter, now)
        placement = self._place(waiter, now) if may_start else None
        self._waiting.append(waiter)
        if placement is not None:
            self._finish(waiter, placement, now)
        elif not self._may_wait(waiter, now):
            # Other waiting requests take precedence for any capacity that becomes free
            # before this one would be refused.
            self._finish(waiter, None, now)

    def _goes_first(self, waiter: Waiter, now: Millis) -> bool:
        """Return whether a request resumes a stream, of an account within its share."""
        if waiter.scope.version is None:
            return False
        if not waiter.account:
            return True
        return self.standing(waiter.account, now) is Standing.WITHIN

    def _is_pointless(self, waiter: Waiter, now: Millis) -> bool:
        """Return whether a request would only take capacity from others.

        That is so if it cannot be in time even on an idle engine, its account may not
        wait, and there is no spare capacity.
        """
        if self._may_wait(waiter, now) or self._has_spare(waiter, now):
            return False
        rows = self.candidates(waiter.scope)
        soonest = self.balancer.soonest_first_token(rows, waiter.req)
        return soonest > waiter.objective

    def _retry_waits(self, waiter: Waiter) -> bool:
        """Return whether a retry of the same account goes before a new request."""
        return not waiter.retried and any(
            one.retried and one.account == waiter.account and one.scope == waiter.scope
            for one in self._waiting
        )

    def _longest_wait(self, waiter: Waiter) -> Millis:
        """Return how long a request may wait and still be in time on an idle engine."""
        idle_first_token = self.balancer.idle_first_token(waiter.scope.pool, waiter.req)
        in_time = waiter.objective * FIRST_TOKEN_PART - idle_first_token
        return round(max(in_time, waiter.objective * MIN_WAIT_PART))

    def _may_wait(self, waiter: Waiter, now: Millis) -> bool:
        """Return whether a request may wait for capacity that becomes free."""
        if not waiter.account:
            return True
        standing = self.standing(waiter.account, now)
        return standing in (Standing.WITHIN, Standing.EVEN)

    def withdraw(self, waiter: Waiter) -> None:
        """Remove a request whose caller has disconnected."""
        if not waiter.done:
            waiter.done = True
            self._waiting.remove(waiter)

    def pump(self, now: Millis) -> None:
        """Place waiting requests, least recent service first, and refuse late ones."""
        if not self._waiting:
            return
        self._sort(now)
        # Most passes find the engines full. One check of the engines then serves all
        # waiting requests with the same scope and objective.
        open_engines: dict[tuple[Scope, Millis], frozenset[Incarnation] | None] = {}
        for waiter in list(self._waiting):
            key = (waiter.scope, waiter.objective)
            if key not in open_engines:
                open_engines[key] = self._with_capacity(*key, now)
            placement = self._place(waiter, now, among=open_engines[key])
            if placement is not None:
                self._finish(waiter, placement, now)
            elif now >= waiter.refuse_at or not self.candidates(waiter.scope):
                # Without a candidate no capacity can become free in time.
                self._finish(waiter, None, now)

    def _sort(self, now: Millis) -> None:
        levels = {
            account: self.recent_service(account, now)
            for account in {one.account for one in self._waiting}
        }
        if any(one.retried for one in self._waiting):
            self._move_retries_ahead()
        first = {id(one) for one in self._waiting if self._goes_first(one, now)}
        self._waiting.sort(
            key=lambda one: (id(one) not in first, levels[one.account], one.place)
        )

    def _move_retries_ahead(self) -> None:
        """Give the first places of each account to its retried requests."""
        by_account: dict[str, list[Waiter]] = {}
        for one in sorted(self._waiting, key=lambda one: one.place):
            by_account.setdefault(one.account, []).append(one)
        for waiters in by_account.values():
            places = [one.place for one in waiters]
            waiters.sort(key=lambda one: not one.retried)
            for one, place in zip(waiters, places, strict=True):
                one.place = place

    def _with_capacity(
        self, scope: Scope, objective: Millis, now: Millis
    ) -> frozenset[Incarnation] | None:
        """Return the engines that may have capacity, or None if the pool is large."""
        rows = self.candidates(scope)
        if len(rows) > MAX_CANDIDATES:
            return None
        return self.balancer.with_capacity(rows, objective * FIRST_TOKEN_PART, now)

    def waiting_ahead(self, account: str, scope: Scope, now: Millis) -> int:
        """Return how many waiting requests go before a new one of an account."""
        level = self.recent_service(account, now)
        return sum(
            one.scope == scope
            and (
                one.account == account or self.recent_service(one.account, now) <= level
            )
            for one in self._waiting
        )

    def recently_placed(self, scope: Scope, now: Millis) -> int:
        """Return how many requests were placed in the last second."""
        placed = self._placed.get(scope)
        return placed.count(now) if placed is not None else 0

    def _lowest_recent_service(self, now: Millis) -> float:
        accounts = {one.account for one in self._waiting}
        return min(
            (self.recent_service(name, now) for name in accounts), default=float("inf")
        )

    def _finish(self, waiter: Waiter, placement: Placement | None, now: Millis) -> None:
        waiter.done = True
        self._waiting.remove(waiter)
        if placement is not None:
            # Counted at once, so that the next request in the queue sees the load.
            self.balancer.begin(placement, waiter.req.parts, now)
            self._placed.setdefault(waiter.scope, RecentPlacements()).add(now)
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
        self._update_ranking(waiter)
        if not waiter.ranked:
            return None
        ahead = self._max_ahead(waiter, now)
        if ahead is None:
            return None
        left = waiter.arrived + waiter.objective * FIRST_TOKEN_PART - now
        return self.balancer.place(
            waiter.ranked,
            waiter.req,
            waiter.profile,
            left,
            now,
            ahead=ahead,
            among=among,
            scope=waiter.scope,
        )

    def _max_ahead(self, waiter: Waiter, now: Millis) -> Millis | None:
        """Return the maximum reading ahead of a request, or None to not place it."""
        if not waiter.account:
            return MAX_READING_AHEAD
        match self.standing(waiter.account, now):
            case Standing.WITHIN | Standing.EVEN:
                return MAX_READING_AHEAD
            case Standing.AHEAD:
                return (
                    MAX_READING_AHEAD
                    if self._has_spare(waiter, now)
                    else MAX_READING_AHEAD_OF_LEADERS
                )
            case Standing.STOPPED:
                return None

    def _has_spare(self, waiter: Waiter, now: Millis) -> bool:
        return self._spare.has_spare(waiter.scope, now)

    def _update_ranking(self, waiter: Waiter) -> None:
        """Recompute the engine order of a request if the candidates have changed."""
        rows = self.candidates(waiter.scope)
        if rows is not waiter.rows and rows != waiter.rows:
            waiter.rows = rows
            order = self.balancer.order_for(
                waiter.scope, rows, waiter.req, waiter.profile
            )
            waiter.ranked = [
                row for row in order if row.incarnation not in waiter.tried
            ]
