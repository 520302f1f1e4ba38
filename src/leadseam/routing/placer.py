"""Finds the upstream for each attempt; requests for engines may wait for room here."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND, seconds
from leadseam.control.routes import EngineProfile
from leadseam.outcome import Reason
from leadseam.routing.account_log import AccountLog
from leadseam.routing.admission import Admission, Waiter
from leadseam.routing.balance import Balancer, service_of
from leadseam.routing.cold import ColdBudget
from leadseam.routing.flight import Flight
from leadseam.routing.scope import Scope
from leadseam.routing.usage import MEMORY, UsageBook

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from leadseam.clock import Clock, Millis
    from leadseam.feed.client import FeedClient
    from leadseam.incarnation import Incarnation
    from leadseam.routing.admitted import Admitted
    from leadseam.routing.dialect import RoutedRequest
    from leadseam.routing.health import UpstreamHealth
    from leadseam.routing.placement import Placement
    from leadseam.routing.usage import Standing
    from leadseam.wire.feed import LoadReport, LoadSums, Registration

PUMP_INTERVAL: Millis = 5
"""Least pause between two looks at all that waits: small against objectives of 250 ms,
and at an overloaded entry it bounds the processor time of looking."""


@dataclass(frozen=True, slots=True)
class _Sound:
    """Upstreams of a scope that do not fail, kept for all that look at once.

    Args:
        at: When they were worked out.
        of: Upstreams of the scope.
        rows: Those that do not fail, or all if none is left.
    """

    at: Millis
    of: Sequence[Registration]
    rows: Sequence[Registration]


class Placer:
    """Places the requests of one entry, by the loads of all entries.

    Args:
        feed: Configuration and registered upstreams.
        health: Which upstreams to leave alone.
        clock: Source of time.
        rng: Source of random numbers, for ties.
        entry: Name of this entry.
    """

    def __init__(
        self,
        *,
        feed: FeedClient,
        health: UpstreamHealth,
        clock: Clock,
        rng: random.Random,
        entry: str = "",
    ) -> None:
        self._feed = feed
        self._health = health
        self._clock = clock
        self._cold = ColdBudget(
            entry,
            rate_of=self._cold_rate,
            cold_until=feed.view.cold_until,
            entries=feed.entries.most,
        )
        self._balancer = Balancer(rng, allows=self._allows, on_begin=self._note_begin)
        self._usage = UsageBook()
        self.account_log = AccountLog(self._usage, clock)
        self._admission = Admission(
            balancer=self._balancer,
            candidates=self._candidates,
            standing=self._usage.standing,
            level=self._usage.level,
        )
        self._pumping = False
        self._sound: dict[Scope, _Sound] = {}

    def __repr__(self) -> str:
        return f"Placer(waiting={len(self._admission)}, {self._balancer!r})"

    def asked(self, account: str, req: RoutedRequest, now: Millis) -> None:
        """Count a request of a client account, placed later or not."""
        self.asked_service(account, service_of(req), now)

    def asked_service(self, account: str, service: int, now: Millis) -> None:
        """Count a request of a client account by the service that it would take."""
        self._usage.asked(account, service, now)
        self.account_log.asked(account, service)

    def standing(self, account: str, now: Millis) -> Standing:
        """Return what a client account may claim."""
        return self._usage.standing(account, now)

    async def place(
        self, admitted: Admitted, tried: set[Incarnation], *, again: bool
    ) -> Flight | Reason:
        """Find the upstream for an attempt; it may wait for room the first time.

        Args:
            admitted: The request.
            tried: Incarnations not to be used.
            again: Whether the request was sent somewhere before.

        Returns:
            The request in flight, or why it is refused.
        """
        placement = self._place_at_once(admitted, tried, again=again)
        if isinstance(placement, EngineProfile):
            placement = await self._wait_for_room(admitted, placement, tried)
            reason = Reason.UPSTREAM_FULL
        else:
            reason = Reason.NO_UPSTREAM
            if placement is not None:
                self._balancer.begin(placement)
        if placement is None:
            return reason
        if admitted.account is not None:
            service = service_of(admitted.req)
            self._usage.served(admitted.account, service, self._clock.now())
            self.account_log.placed(admitted.account, service)
        return Flight(
            placement, admitted.req, self._balancer, self._clock, self._pump_soon
        )

    def look(self) -> None:
        """Look at all that waits now, whatever its timers say."""
        self._admission.pump(self._clock.now())

    def load_report(self) -> LoadReport:
        """Return this entry's counts for the other entries."""
        return self._balancer.loads.report(self._usage.rows(self._clock.now()))

    def take_sums(self, included: int, sums: LoadSums) -> None:
        """Take the counts of all entries, with the own report of a number in them."""
        now = self._clock.now()
        own = self._balancer.loads.take_sums(included, sums, now)
        cfg = self._feed.configuration
        engines = [name for name, pool in cfg.pools.items() if pool.engine is not None]
        # What is evacuated makes no tokens, so nobody may count on a share of it.
        rate = cfg.limits.tokens_per_s * self._feed.view.part_left(engines)
        capacity = round(rate * MEMORY / MILLIS_PER_SECOND)
        self._usage.take_sums(sums, own, capacity=capacity, now=now)
        self._pump_soon()

    def _place_at_once(
        self, admitted: Admitted, tried: set[Incarnation], *, again: bool
    ) -> Placement | EngineProfile | None:
        """Place a request that need not wait; else return its pool's profile."""
        rows = self._candidates(admitted.scope)
        pool = self._feed.configuration.pools.get(admitted.pool)
        profile = pool.engine if pool is not None else None
        now = self._clock.now()
        if profile is None:
            return self._balancer.least_loaded(_without(rows, tried), now)
        if again:
            order = self._balancer.orders.of(admitted.scope, rows, admitted.req)
            ranked = _without(order, tried)
            return self._balancer.place_anyway(ranked, admitted.req, now)
        return profile if _without(rows, tried) else None

    async def _wait_for_room(
        self, admitted: Admitted, profile: EngineProfile, tried: set[Incarnation]
    ) -> Placement | None:
        woken = asyncio.Event()
        waiter = Waiter(
            req=admitted.req,
            account=admitted.account or "",
            scope=admitted.scope,
            profile=profile,
            objective=admitted.route.latency_objective,
            # Not when it was read: it may have waited for a first configuration.
            arrived=self._clock.now(),
            tried=tried,
            wake=woken.set,
        )
        self._admission.enter(waiter, self._clock.now())
        if not waiter.done:
            self._pump_soon()
            delay = seconds(max(waiter.refuse_at - self._clock.now(), 0))
            asyncio.get_running_loop().call_later(delay, self._pump)
        try:
            await woken.wait()
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        return waiter.placement

    def _withdraw(self, waiter: Waiter) -> None:
        """Take back a request whose caller is gone, placed or not."""
        self._admission.withdraw(waiter)
        placement = waiter.placement
        if placement is not None:
            self._balancer.loads.end(placement.upstream.incarnation, placement.load)

    def _note_begin(self, row: Registration) -> None:
        now = self._clock.now()
        if not self._feed.view.all_warm(now):
            self._cold.begin(row, now)

    def _allows(self, row: Registration, now: Millis) -> bool:
        return self._feed.view.all_warm(now) or self._cold.allows(row, now)

    def _cold_rate(self, pool: str) -> float:
        row = self._feed.configuration.pools.get(pool)
        return row.cold_rate if row is not None else 0.0

    def _candidates(self, scope: Scope) -> Sequence[Registration]:
        """Return the upstreams of a scope, without those that fail, if any is left."""
        now = self._clock.now()
        rows = self._feed.view.pool(scope.pool, scope.regions)
        if self._health.all_usable(now):
            return rows
        known = self._sound.get(scope)
        if known is None or known.of is not rows or now - known.at > PUMP_INTERVAL:
            sound = [row for row in rows if self._health.usable(row.incarnation, now)]
            known = self._sound[scope] = _Sound(now, rows, sound or rows)
        return known.rows

    def _pump_soon(self) -> None:
        if len(self._admission) and not self._pumping:
            self._pumping = True
            delay = seconds(PUMP_INTERVAL)
            asyncio.get_running_loop().call_later(delay, self._pump)

    def _pump(self) -> None:
        self._pumping = False
        self._admission.pump(self._clock.now())


def _without(
    rows: Sequence[Registration], tried: set[Incarnation]
) -> Sequence[Registration]:
    """Return upstreams without those that were tried."""
    if not tried:
        return rows
    return [row for row in rows if row.incarnation not in tried]
