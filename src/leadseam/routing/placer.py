"""Chooses the upstream for each attempt and holds requests until one has capacity."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from leadseam.clock import MILLIS_PER_SECOND, seconds
from leadseam.control.routes import EngineProfile
from leadseam.outcome import Reason
from leadseam.routing.account_log import AccountLog
from leadseam.routing.admission import Admission, Waiter
from leadseam.routing.balance import MEMORY_PART, Balancer, expected_service
from leadseam.routing.cold_budget import ColdBudget
from leadseam.routing.engine_load import (
    LOADED_PART,
    EngineUse,
    LoadAverage,
    mean_used_part,
)
from leadseam.routing.flight import Flight
from leadseam.routing.load import MAX_TOTALS_AGE
from leadseam.routing.memory_pressure import MemoryPressure
from leadseam.routing.part_holders import PartHolders
from leadseam.routing.part_interest import PartInterestTable
from leadseam.routing.pauses import PauseTable
from leadseam.routing.plain_queue import (
    MAX_PER_SLOT,
    MAX_WAIT_PART,
    PlainQueue,
    PlainWaiter,
)
from leadseam.routing.prefix_fetch import PrefixFetch, can_fetch
from leadseam.routing.return_time import AccountState, ReturnTime, return_time
from leadseam.routing.scope import Scope
from leadseam.routing.unconfirmed import UnconfirmedUpstreams
from leadseam.routing.usage import DECAY_TIME, UsageTable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping, Sequence

    from leadseam.clock import Clock, Millis
    from leadseam.feed.client import FeedClient
    from leadseam.incarnation import Incarnation
    from leadseam.routing.admitted import AdmittedRequest
    from leadseam.routing.dialect import RoutedRequest
    from leadseam.routing.health import UpstreamHealth
    from leadseam.routing.placement import Placement
    from leadseam.routing.usage import Standing
    from leadseam.wire.feed import EntryRoom, LoadReport, LoadSums, Registration

log = logging.getLogger(__name__)

_W = TypeVar("_W", Waiter, PlainWaiter)

PUMP_INTERVAL: Millis = 5
"""Minimum interval between two passes over the waiting requests. It is small against
objectives of 250 ms, and it bounds the processor time of these passes at an overloaded
entry."""
PAUSE_JITTER_DIVISOR = 10
"""The end of a pause is delayed by a random time of up to its length divided by this.
Entries do not know of each other's pauses; the jitter spreads the times at which they
resume."""


@dataclass(frozen=True, slots=True)
class _UsableUpstreams:
    """Cached usable upstreams of a scope, shared by requests placed at the same time.

    Args:
        computed_at: When the rows were computed.
        candidates: All upstreams of the scope.
        rows: The upstreams that are neither paused nor failing. If all of them fail,
            all that are not paused.
    """

    computed_at: Millis
    candidates: Sequence[Registration]
    rows: Sequence[Registration]


@dataclass(frozen=True, slots=True)
class _PlainWait:
    """Signals that a request for a plain pool has to wait for capacity."""


class Placer:
    """Places the requests of one entry, based on the loads of all entries.

    Args:
        feed: Configuration and registered upstreams.
        health: Which upstreams are excluded because they fail.
        clock: Source of time.
        rng: Source of random numbers, for ties and jitter.
        entry: Name of this entry.
        failure_domain: Failure domain of this entry, or an empty string.
        holders: Prompt parts that engines hold. Defaults to an empty table.

    Attributes:
        account_log: Counts of recent requests by client account.
        holders: Prompt parts that engines hold.
        part_interest: Shared prompt parts whose holders this entry wants to know.
    """

    def __init__(
        self,
        *,
        feed: FeedClient,
        health: UpstreamHealth,
        clock: Clock,
        rng: random.Random,
        entry: str = "",
        failure_domain: str = "",
        holders: PartHolders | None = None,
    ) -> None:
        self._feed = feed
        self._health = health
        self._clock = clock
        self._rng = rng
        self._pauses = PauseTable()
        self._unconfirmed = UnconfirmedUpstreams()
        self._cold = ColdBudget(
            entry,
            rate_of=self._cold_rate,
            cold_until=feed.view.cold_until,
            entries=feed.entries.recent_max,
        )
        # An empty table is false, so it must not be replaced by `or`.
        self.holders = PartHolders() if holders is None else holders
        self.part_interest = PartInterestTable()
        self._memory = MemoryPressure()
        self._fetches = PrefixFetch(
            self.holders,
            enabled=self._fetches_parts,
            sources=self._sources,
            usable=self._is_usable_source,
        )
        self._balancer = Balancer(
            rng,
            allows=self._allows,
            on_begin=self._note_begin,
            fetches=self._fetches,
            failure_domain=failure_domain,
        )
        self._usage = UsageTable()
        self._engine_load = LoadAverage(DECAY_TIME)
        self.account_log = AccountLog(self._usage, clock)
        self._admission = Admission(
            balancer=self._balancer,
            candidates=self._candidates,
            standing=self._usage.standing,
            recent_service=self._usage.recent_service,
        )
        self._plain = PlainQueue(
            candidates=self._candidates,
            pick=self._pick_plain,
            begin=self._balancer.begin,
        )
        self._pumping = False
        self._spare_at: Millis | None = None
        self._usable: dict[Scope, _UsableUpstreams] = {}

    def __repr__(self) -> str:
        return f"Placer(waiting={len(self._admission)}, {self._balancer!r})"

    def record_request(self, account: str, req: RoutedRequest, now: Millis) -> None:
        """Count a request of a client account, whether it is placed later or not."""
        self.record_requested_service(account, expected_service(req), now)

    def record_requested_service(self, account: str, service: int, now: Millis) -> None:
        """Count the service that a request of a client account is expected to take."""
        self._usage.record_requested(account, service, now)
        self.account_log.record_requested(account, service)

    def record_handed(self, account: str, service: int, now: Millis) -> None:
        """Count a request of a client account that is handed over to another entry."""
        self._usage.record_handed(account, service, now)
        self.account_log.record_handed(account)

    def standing(self, account: str, now: Millis) -> Standing:
        """Return the standing of a client account, which limits what it may claim."""
        return self._usage.standing(account, now)

    def return_time(
        self, account: str | None, scope: Scope | None, time_left: Millis | None
    ) -> ReturnTime:
        """Return when a caller should return that is refused for lack of capacity.

        Args:
            account: Client account of the request, or None.
            scope: Engines that the request may be sent to; None if it is not known.
            time_left: Time that the caller has left, or None if it states none.
        """
        state = self._account_state(account, scope) if account is not None else None
        return return_time(state, time_left, self._rng)

    def _account_state(self, account: str, scope: Scope | None) -> AccountState | None:
        """Return the state of an account; None if it is outdated or has no engines."""
        now = self._clock.now()
        if not self._has_engines(scope) or not self._usage.are_sums_current(now):
            return None
        queue = self._admission
        return AccountState(
            standing=self._usage.standing(account, now),
            requested=self._usage.recently_requested(account, now),
            served_at=self._usage.shares.served_again,
            waiting_ahead=queue.waiting_ahead(account, scope, now) if scope else 0,
            placed=queue.recently_placed(scope, now) if scope else 0,
        )

    def _has_engines(self, scope: Scope | None) -> bool:
        """Return whether a scope, or any pool, consists of engines."""
        pools = self._feed.configuration.pools
        if scope is None:
            return any(pool.engine is not None for pool in pools.values())
        pool = pools.get(scope.pool)
        return pool is not None and pool.engine is not None

    async def place(
        self,
        admitted: AdmittedRequest,
        tried: set[Incarnation],
        *,
        again: bool,
        fetching: bool = True,
        begun: bool = False,
    ) -> Flight | Reason:
        """Find the upstream for an attempt.

        A first attempt may wait until an upstream has capacity. A retry does not wait.

        Args:
            admitted: The request.
            tried: Incarnations that must not be used.
            again: Whether the request was already sent to an upstream.
            fetching: Whether the engine of a retry may be told to fetch prompt parts.
            begun: Whether the caller has a part of the answer, which is cut unless a
                retry goes on with it: failing upstreams are then used if there are no
                others left.

        Returns:
            The request in flight, or the reason why it is refused.
        """
        if not again:
            self._note_request(admitted)
        placement = self._place_at_once(
            admitted, tried, again=again, fetching=fetching, begun=begun
        )
        if isinstance(placement, EngineProfile):
            placement = await self._wait_for_engine(admitted, placement, tried)
            reason = Reason.UPSTREAM_FULL
        elif isinstance(placement, _PlainWait):
            placement = await self._wait_for_plain(admitted, tried)
            reason = Reason.UPSTREAM_FULL
        else:
            reason = Reason.NO_UPSTREAM
            if placement is not None:
                now = self._clock.now()
                self._balancer.begin(placement, admitted.req.parts, now)
        if placement is None:
            return (
                Reason.UPSTREAMS_PAUSED if self.pause_left(admitted.scope) else reason
            )
        if admitted.account is not None:
            service = expected_service(admitted.req)
            self._usage.record_served(admitted.account, service, self._clock.now())
            self.account_log.record_placed(admitted.account, service)
        return Flight(
            placement, admitted.req, self._balancer, self._clock, self._pump_soon
        )

    def may_send(self, row: Registration) -> bool:
        """Return whether a request may still be written to its chosen upstream.

        Between the placement and the write the request may have waited for its turn or
        for a connection, and the upstream may have left, paused or been evacuated.
        """
        view = self._feed.view
        if view.has_left(row.incarnation) or row.failure_domain in view.evacuated:
            return False
        return not self._pauses.is_paused(row.incarnation, self._clock.now())

    def pause(self, row: Registration, length: Millis) -> None:
        """Send nothing to an upstream for the time that it requested."""
        jitter = self._rng.randint(0, length // PAUSE_JITTER_DIVISOR)
        until = self._clock.now() + length + jitter
        self._pauses.pause(row.incarnation, until)
        self._usable.clear()

    def record_answer(self, row: Registration) -> None:
        """Record a good answer, after which a paused upstream may get more requests."""
        if self._pauses.answered(row, self._clock.now()):
            self._pump_soon()

    def record_disconnect(self, row: Registration, *, alive_at: Millis) -> None:
        """Record that a connection to an upstream was refused or has broken off.

        Args:
            row: The upstream.
            alive_at: When it was last heard on that connection; `NEVER` if refused.
        """
        now = self._clock.now()
        self._unconfirmed.disconnected(row.incarnation, now, alive_at=alive_at)

    def may_have_restarted(self, row: Registration) -> bool:
        """Return whether an upstream may have started again under its id."""
        return not self._unconfirmed.exclude([row], self._clock.now())

    def when_same_process(self, row: Registration, call: Callable[[], None]) -> None:
        """Call once an upstream proves not to have started again, if it does."""
        self._unconfirmed.when_confirmed(row.incarnation, call, self._clock.now())

    def record_same_process(
        self, row: Registration, *, connected: Millis, written: Millis
    ) -> None:
        """Record an answer on a connection that may be older than a lost one.

        Args:
            row: Upstream that answered.
            connected: When the connection was opened.
            written: When the request was written.
        """
        if self._unconfirmed.answered(row.incarnation, connected, written):
            self._pump_soon()

    def pause_left(self, scope: Scope) -> Millis:
        """Return the time until the first pause in a scope ends, if all are paused.

        Returns:
            Milliseconds; 0 if the scope has no upstream, or one that is not paused.
        """
        now = self._clock.now()
        if not self._pauses.any_paused(now):
            return 0
        ends = (self._pauses.until(row.incarnation) for row in self._upstreams(scope))
        return max(min(ends, default=0) - now, 0)

    def paused_count(self) -> int:
        """Return the number of paused upstreams."""
        return self._pauses.count(self._clock.now())

    def sweep(self) -> None:
        """Remove expired pauses and doubts."""
        now = self._clock.now()
        self._pauses.sweep(now)
        self._unconfirmed.sweep(now)

    def has_other(self, scope: Scope, tried: set[Incarnation]) -> bool:
        """Return whether a scope has an upstream to use that was not tried."""
        return bool(_exclude_tried(self._candidates(scope), tried))

    def place_waiting(self) -> None:
        """Try to place all waiting requests now, without waiting for a timer."""
        now = self._clock.now()
        self._admission.pump(now)
        self._plain.pump(now)

    def load_report(self, room: EntryRoom | None = None) -> LoadReport:
        """Return this entry's load and usage counts for the other entries.

        Args:
            room: Whether this entry has room for more requests, or None if unknown.
        """
        return self._balancer.loads.report(self._usage.rows(self._clock.now()), room)

    def apply_sums(self, included: int, sums: LoadSums) -> LoadReport | None:
        """Apply the fleet-wide sums.

        Args:
            included: Sequence number of the own report that the sums contain.
            sums: Counts of all entries.

        Returns:
            The own report that the sums contain, or None if it is no longer kept.
        """
        now = self._clock.now()
        own = self._balancer.loads.apply_sums(included, sums, now)
        cfg = self._feed.configuration
        profiles = {
            name: pool.engine
            for name, pool in cfg.pools.items()
            if pool.engine is not None
        }
        # Evacuated engines generate no tokens, so shares exclude their capacity.
        rate = cfg.limits.tokens_per_s * self._feed.view.available_fraction(
            list(profiles)
        )
        capacity = round(rate * DECAY_TIME / MILLIS_PER_SECOND)
        parts = [self._used_part(name, profile) for name, profile in profiles.items()]
        used_part = self._engine_load.add(parts, now)
        used = [part for part in parts if part is not None]
        idle = not profiles or (bool(used) and max(used) < LOADED_PART)
        self._spare_at = now if idle else None
        self._usage.apply_sums(
            sums, own, capacity=capacity, now=now, used_part=used_part
        )
        self._pump_soon()
        return own

    def _used_part(self, pool: str, profile: EngineProfile) -> float | None:
        """Return the mean used part of a pool's engines; None if it has none."""
        now = self._clock.now()
        loads = self._balancer.loads
        return mean_used_part(
            EngineUse(
                row.slots,
                round(profile.memory_tokens * MEMORY_PART),
                loads.total(row.incarnation, now),
            )
            for row in self._candidates(Scope(pool))
        )

    def engines_have_spare(self, now: Millis) -> bool:
        """Return whether the last sums showed spare capacity at each engine pool."""
        return self._spare_at is not None and now - self._spare_at <= MAX_TOTALS_AGE

    def uses_other_entries(self, account: str, now: Millis) -> bool:
        """Return whether callers of a client account also use other entries."""
        return self._usage.uses_other_entries(account, now)

    def is_within_entry_share(self, account: str, now: Millis) -> bool:
        """Return whether others use up this entry, and not this client account."""
        return self._usage.is_within_entry_share(account, now)

    def memory_bound_pools(self) -> int:
        """Return the number of memory-bound pools."""
        return self._memory.bound_pools()

    def _note_request(self, admitted: AdmittedRequest) -> None:
        """Count the size of a request for an engine pool."""
        pool = self._feed.configuration.pools.get(admitted.pool)
        profile = pool.engine if pool is not None else None
        if profile is None:
            return
        before = self._memory.is_memory_bound(admitted.pool, profile)
        self._memory.record(admitted.pool, admitted.req)
        bound = self._memory.is_memory_bound(admitted.pool, profile)
        if bound is not before:
            extra = {
                "pool": admitted.pool,
                "memory_bound": bound,
                "mean_tokens": self._memory.mean_tokens(admitted.pool),
                "fetches": can_fetch(profile),
            }
            log.info("memory limits of a pool changed", extra=extra)
        if bound and can_fetch(profile):
            self.part_interest.saw(admitted.req.parts, self._clock.now())

    def _fetches_parts(self, pool: str, profile: EngineProfile) -> bool:
        return can_fetch(profile) and self._memory.is_memory_bound(pool, profile)

    def _sources(self, scope: Scope) -> Mapping[int, Registration]:
        return self._feed.view.sources(scope.pool, scope.regions)

    def _is_usable_source(self, row: Registration, now: Millis) -> bool:
        return not self._pauses.is_paused(row.incarnation, now) and self._health.usable(
            row.incarnation, now
        )

    def _place_at_once(
        self,
        admitted: AdmittedRequest,
        tried: set[Incarnation],
        *,
        again: bool,
        fetching: bool,
        begun: bool,
    ) -> Placement | EngineProfile | _PlainWait | None:
        """Place a request that does not have to wait.

        Returns:
            The placement of a retry. For a first attempt that has candidates, the
            engine profile of its pool, or `_PlainWait` for a plain pool. None if no
            upstream may be used.
        """
        rows = self._candidates(admitted.scope)
        if begun and not _exclude_tried(rows, tried):
            rows = self._confirmed(admitted.scope, self._awake(admitted.scope))
        pool = self._feed.configuration.pools.get(admitted.pool)
        profile = pool.engine if pool is not None else None
        now = self._clock.now()
        if profile is None:
            if again:
                return self._balancer.least_loaded(_exclude_tried(rows, tried), now)
            return _PlainWait() if _exclude_tried(rows, tried) else None
        if again:
            order = self._balancer.order_for(
                admitted.scope, rows, admitted.req, profile
            )
            ranked = _exclude_tried(order, tried)
            return self._balancer.place_over_limits(
                ranked,
                admitted.req,
                now,
                scope=admitted.scope,
                profile=profile,
                fetching=fetching,
            )
        return profile if _exclude_tried(rows, tried) else None

    def _pick_plain(
        self, scope: Scope, tried: set[Incarnation], now: Millis
    ) -> Placement | None:
        """Return the least loaded upstream of a plain pool, or None if it is full."""
        rows = _exclude_tried(self._candidates(scope), tried)
        placement = self._balancer.least_loaded(rows, now)
        if placement is None:
            return None
        row = placement.upstream
        taken = self._balancer.loads.total(row.incarnation, now).requests
        return placement if taken < MAX_PER_SLOT * row.slots else None

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
            refuse_at=now + round(admitted.route.latency_objective * MAX_WAIT_PART),
            wake=woken.set,
        )
        self._plain.enter(waiter, now)
        return await self._until_done(self._plain.withdraw, waiter, woken)

    async def _wait_for_engine(
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
            # Not the time when the request was read: it may have waited for the first
            # configuration since.
            arrived=now,
            tried=tried,
            wake=woken.set,
            retried=admitted.waited > 0,
        )
        self._admission.enter(waiter, now)
        return await self._until_done(self._admission.withdraw, waiter, woken)

    async def _until_done(
        self, withdraw: Callable[[_W], None], waiter: _W, woken: asyncio.Event
    ) -> Placement | None:
        """Wait until a request is placed or refused, or its caller has disconnected."""
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
                self._balancer.end_fetch(placement)
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
        return self._feed.view.pool(scope.pool, scope.regions, scope.version)

    def _candidates(self, scope: Scope) -> Sequence[Registration]:
        """Return the usable upstreams of a scope.

        Where a version is required, upstreams that may run another one by now are not.
        """
        return self._confirmed(scope, self._usable_in(scope))

    def _confirmed(
        self, scope: Scope, rows: Sequence[Registration]
    ) -> Sequence[Registration]:
        """Return those of some upstreams that surely run the version of a scope."""
        if scope.version is None:
            return rows
        return self._unconfirmed.exclude(rows, self._clock.now())

    def _awake(self, scope: Scope) -> Sequence[Registration]:
        """Return the upstreams of a scope that are not paused, also failing ones."""
        now = self._clock.now()
        return [
            row
            for row in self._upstreams(scope)
            if not self._pauses.is_paused(row.incarnation, now)
        ]

    def _usable_in(self, scope: Scope) -> Sequence[Registration]:
        """Return the usable upstreams of a scope, cached for `PUMP_INTERVAL`."""
        now = self._clock.now()
        rows = self._upstreams(scope)
        if self._health.all_usable(now) and not self._pauses.any_paused(now):
            return rows
        cached = self._usable.get(scope)
        if (
            cached is None
            or cached.candidates is not rows
            or now - cached.computed_at > PUMP_INTERVAL
        ):
            cached = self._usable[scope] = _UsableUpstreams(
                now, rows, self._find_usable(rows, now)
            )
        return cached.rows

    def _find_usable(
        self, rows: Sequence[Registration], now: Millis
    ) -> Sequence[Registration]:
        """Return the upstreams that are neither paused nor failing.

        A failure is this entry's guess, so failing upstreams are used if there are no
        others. A pause was requested by the upstream itself and is always respected.
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
        self.place_waiting()


def _exclude_tried(
    rows: Sequence[Registration], tried: set[Incarnation]
) -> Sequence[Registration]:
    """Return the upstreams that have not been tried."""
    if not tried:
        return rows
    return [row for row in rows if row.incarnation not in tried]
