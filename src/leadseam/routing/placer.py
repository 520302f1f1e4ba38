"""Finds the upstream for each attempt; requests for engines may wait for room here."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from leadseam.clock import MILLIS_PER_SECOND, seconds
from leadseam.control.routes import EngineProfile
from leadseam.outcome import Reason
from leadseam.routing.account_log import AccountLog
from leadseam.routing.admission import Admission, Waiter
from leadseam.routing.balance import Balancer, service_of
from leadseam.routing.cold import ColdBudget
from leadseam.routing.flight import Flight
from leadseam.routing.pauses import PauseTable
from leadseam.routing.plain import PLACES, WAIT_PART, PlainQueue, PlainWaiter
from leadseam.routing.scope import Scope
from leadseam.routing.usage import MEMORY, UsageBook

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from leadseam.clock import Clock, Millis
    from leadseam.feed.client import FeedClient
    from leadseam.incarnation import Incarnation
    from leadseam.routing.admitted import AdmittedRequest
    from leadseam.routing.dialect import RoutedRequest
    from leadseam.routing.health import UpstreamHealth
    from leadseam.routing.placement import Placement
    from leadseam.routing.usage import Standing
    from leadseam.wire.feed import LoadReport, LoadSums, Registration

_W = TypeVar("_W", Waiter, PlainWaiter)

PUMP_INTERVAL: Millis = 5
"""Least pause between two looks at all that waits: small against objectives of 250 ms,
and at an overloaded entry it bounds the processor time of looking."""
PAUSE_SPREAD = 10
"""Part of a pause, one in so many, over which entries spread its end by chance: they do
not know of each other's pauses."""


@dataclass(frozen=True, slots=True)
class _Sound:
    """Upstreams of a scope that may be used, kept for all that look at once.

    Args:
        at: When they were worked out.
        of: Upstreams of the scope.
        rows: Those that are not paused and do not fail. If all fail, all that are not
            paused.
    """

    at: Millis
    of: Sequence[Registration]
    rows: Sequence[Registration]


@dataclass(frozen=True, slots=True)
class _Wait:
    """A request for a plain pool may wait for room."""


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
        self._rng = rng
        self._pauses = PauseTable()
        self._cold = ColdBudget(
            entry,
            rate_of=self._cold_rate,
            cold_until=feed.view.cold_until,
            entries=feed.entries.recent_max,
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
        self._plain = PlainQueue(
            candidates=self._candidates,
            pick=self._pick_plain,
            begin=self._balancer.begin,
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
        self, admitted: AdmittedRequest, tried: set[Incarnation], *, again: bool
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
        elif isinstance(placement, _Wait):
            placement = await self._wait_for_plain(admitted, tried)
            reason = Reason.UPSTREAM_FULL
        else:
            reason = Reason.NO_UPSTREAM
            if placement is not None:
                self._balancer.begin(placement)
        if placement is None:
            return (
                Reason.UPSTREAMS_PAUSED if self.pause_left(admitted.scope) else reason
            )
        if admitted.account is not None:
            service = service_of(admitted.req)
            self._usage.served(admitted.account, service, self._clock.now())
            self.account_log.placed(admitted.account, service)
        return Flight(
            placement, admitted.req, self._balancer, self._clock, self._pump_soon
        )

    def may_send(self, row: Registration) -> bool:
        """Tell whether a request may still be written to the upstream it is placed at.

        It may have waited for its turn, or for a connection, since that was decided.
        """
        view = self._feed.view
        if view.has_left(row.incarnation) or row.failure_domain in view.evacuated:
            return False
        return not self._pauses.is_paused(row.incarnation, self._clock.now())

    def pause(self, row: Registration, length: Millis) -> None:
        """Send nothing to an upstream for a while, as it asks."""
        spread = self._rng.randint(0, length // PAUSE_SPREAD)
        until = self._clock.now() + length + spread
        self._pauses.pause(row.incarnation, until)
        self._sound.clear()

    def answered(self, row: Registration) -> None:
        """Note a good answer of an upstream, which may get more after a pause."""
        if self._pauses.answered(row, self._clock.now()):
            self._pump_soon()

    def pause_left(self, scope: Scope) -> Millis:
        """Return the time until an upstream of a scope is used again, if all pause.

        Returns:
            Milliseconds; 0 if there is none, or one that is not paused.
        """
        now = self._clock.now()
        if not self._pauses.any_paused(now):
            return 0
        ends = (self._pauses.until(row.incarnation) for row in self._upstreams(scope))
        return max(min(ends, default=0) - now, 0)

    def paused(self) -> int:
        """Return the number of upstreams that are paused."""
        return self._pauses.count(self._clock.now())

    def sweep(self) -> None:
        """Forget what is over."""
        self._pauses.sweep(self._clock.now())

    def look(self) -> None:
        """Look at all that waits now, whatever its timers say."""
        now = self._clock.now()
        self._admission.pump(now)
        self._plain.pump(now)

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
        self, admitted: AdmittedRequest, tried: set[Incarnation], *, again: bool
    ) -> Placement | EngineProfile | _Wait | None:
        """Place a request that need not wait; else return its pool's profile."""
        rows = self._candidates(admitted.scope)
        pool = self._feed.configuration.pools.get(admitted.pool)
        profile = pool.engine if pool is not None else None
        now = self._clock.now()
        if profile is None:
            if again:
                return self._balancer.least_loaded(_without(rows, tried), now)
            return _Wait() if _without(rows, tried) else None
        if again:
            order = self._balancer.orders.of(admitted.scope, rows, admitted.req)
            ranked = _without(order, tried)
            return self._balancer.place_anyway(ranked, admitted.req, now)
        return profile if _without(rows, tried) else None

    def _pick_plain(
        self, scope: Scope, tried: set[Incarnation], now: Millis
    ) -> Placement | None:
        """Return the upstream of a plain pool with the most room, if it has any."""
        rows = _without(self._candidates(scope), tried)
        placement = self._balancer.least_loaded(rows, now)
        if placement is None:
            return None
        row = placement.upstream
        taken = self._balancer.loads.total(row.incarnation, now).requests
        return placement if taken < PLACES * row.slots else None

    async def _wait_for_plain(
        self, admitted: AdmittedRequest, tried: set[Incarnation]
    ) -> Placement | None:
        woken = asyncio.Event()
        now = self._clock.now()
        waiter = PlainWaiter(
            account=admitted.account or "",
            scope=admitted.scope,
            tried=tried,
            arrived=now,
            refuse_at=now + round(admitted.route.latency_objective * WAIT_PART),
            wake=woken.set,
        )
        self._plain.enter(waiter, now)
        return await self._until_done(self._plain.withdraw, waiter, woken)

    async def _wait_for_room(
        self, admitted: AdmittedRequest, profile: EngineProfile, tried: set[Incarnation]
    ) -> Placement | None:
        woken = asyncio.Event()
        now = self._clock.now()
        waiter = Waiter(
            req=admitted.req,
            account=admitted.account or "",
            scope=admitted.scope,
            profile=profile,
            objective=admitted.route.latency_objective,
            # Not when it was read: it may have waited for a first configuration.
            arrived=now,
            tried=tried,
            wake=woken.set,
        )
        self._admission.enter(waiter, now)
        return await self._until_done(self._admission.withdraw, waiter, woken)

    async def _until_done(
        self, withdraw: Callable[[_W], None], waiter: _W, woken: asyncio.Event
    ) -> Placement | None:
        """Wait until a request is placed or refused, or its caller is gone."""
        if not waiter.done:
            self._pump_soon()
            delay = seconds(max(waiter.refuse_at - self._clock.now(), 0))
            asyncio.get_running_loop().call_later(delay, self._pump)
        try:
            await woken.wait()
        except asyncio.CancelledError:
            withdraw(waiter)
            placement = waiter.placement
            if placement is not None:
                self._balancer.loads.end(placement.upstream.incarnation, placement.load)
            raise
        return waiter.placement

    def _note_begin(self, row: Registration) -> None:
        now = self._clock.now()
        self._pauses.sent(row.incarnation, now)
        if not self._feed.view.all_warm(now):
            self._cold.begin(row, now)

    def _allows(self, row: Registration, now: Millis) -> bool:
        if not self._pauses.allows(row.incarnation, now):
            return False
        return self._feed.view.all_warm(now) or self._cold.allows(row, now)

    def _cold_rate(self, pool: str) -> float:
        row = self._feed.configuration.pools.get(pool)
        return row.cold_rate if row is not None else 0.0

    def _upstreams(self, scope: Scope) -> Sequence[Registration]:
        return self._feed.view.pool(scope.pool, scope.regions)

    def _candidates(self, scope: Scope) -> Sequence[Registration]:
        """Return the upstreams of a scope that may be used."""
        now = self._clock.now()
        rows = self._upstreams(scope)
        if self._health.all_usable(now) and not self._pauses.any_paused(now):
            return rows
        known = self._sound.get(scope)
        if known is None or known.of is not rows or now - known.at > PUMP_INTERVAL:
            known = self._sound[scope] = _Sound(now, rows, self._sound_of(rows, now))
        return known.rows

    def _sound_of(
        self, rows: Sequence[Registration], now: Millis
    ) -> Sequence[Registration]:
        """Return the upstreams that neither pause nor fail.

        Those that fail are a guess, and get work if there are no others. A pause is the
        upstream's own word, and always kept.
        """
        pauses, health = self._pauses, self._health
        awake = [row for row in rows if not pauses.is_paused(row.incarnation, now)]
        return [row for row in awake if health.usable(row.incarnation, now)] or awake

    def _pump_soon(self) -> None:
        if (len(self._admission) or len(self._plain)) and not self._pumping:
            self._pumping = True
            delay = seconds(PUMP_INTERVAL)
            asyncio.get_running_loop().call_later(delay, self._pump)

    def _pump(self) -> None:
        self._pumping = False
        self.look()


def _without(
    rows: Sequence[Registration], tried: set[Incarnation]
) -> Sequence[Registration]:
    """Return upstreams without those that were tried."""
    if not tried:
        return rows
    return [row for row in rows if row.incarnation not in tried]
