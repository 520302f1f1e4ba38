"""Serves routed requests: admission, and what all requests of an entry share."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.clock import seconds
from leadseam.control.routes import EngineProfile
from leadseam.entry.answers import error_response, outcome_name
from leadseam.outcome import Answered, NotRun, Outcome, Reason
from leadseam.routing.admission import Admission, Waiter
from leadseam.routing.attempt import (
    FIRST_SERVER_ERROR,
    Broken,
    Declined,
    Streaming,
    Unreachable,
    Whole,
)
from leadseam.routing.balance import Balancer, ranked_for, service_of
from leadseam.routing.budget import PoolRetryBudget
from leadseam.routing.exchange import Admitted, CallerGoneError, Exchange
from leadseam.routing.flight import Flight
from leadseam.routing.health import UpstreamHealth
from leadseam.routing.router import Router, choose_pool
from leadseam.routing.usage import WINDOW, UsageBook
from leadseam.runtime.logs import LineBudget

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from leadseam.clock import Clock, Millis
    from leadseam.control.configuration import Account, Configuration
    from leadseam.control.routes import Route
    from leadseam.feed.client import FeedClient
    from leadseam.outcome import Failed, Unknown
    from leadseam.routing.attempt import Ending
    from leadseam.routing.budget import RetryLimits
    from leadseam.routing.client import UpstreamClient
    from leadseam.routing.dialect import Dialect, RoutedRequest
    from leadseam.routing.placement import Placement
    from leadseam.runtime.lag import LoopLag
    from leadseam.runtime.metrics import RoutingMetrics
    from leadseam.wire.messages import LoadReport, LoadTotals, Registration

NOT_CONFIRMED_PAUSE: Millis = 500
"""Pause told to a caller while the configuration is not confirmed: a feed heartbeat."""

MAX_LAG: Millis = 30
"""Lag of the event loop above which new requests are refused: half of the time in which
a refusal is early for the shortest latency objective of today (250 ms). Callers come
back through another entry."""
BUSY_PAUSE: Millis = 150
"""Pause told to a caller that a busy entry refuses; other entries have time now."""
PUMP_INTERVAL: Millis = 5
"""Least pause between two looks at all that waits: small against objectives of 250 ms,
and at an overloaded entry it bounds the processor time of looking."""

log = logging.getLogger(__name__)


class Gateway:
    """Forwards routed requests.

    Args:
        feed: Configuration and registered upstreams.
        dialect: Names on the wire.
        client: Connections to upstreams.
        clock: Source of time.
        retry_limits: Fleet-wide bounds on retries.
        metrics: Counters.
        rng: Source of random numbers.
        lag: Lag of this process' event loop.
    """

    def __init__(
        self,
        *,
        feed: FeedClient,
        dialect: Dialect,
        client: UpstreamClient,
        clock: Clock,
        retry_limits: RetryLimits,
        metrics: RoutingMetrics,
        rng: random.Random,
        lag: LoopLag,
    ) -> None:
        self._lag = lag
        self.dialect = dialect
        self.client = client
        self.balancer = Balancer(rng)
        self.budget = PoolRetryBudget(retry_limits)
        self.in_flight = 0
        self.stopping = False
        self._feed = feed
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._health = UpstreamHealth()
        self._router = Router(feed.configuration)
        self._lines = LineBudget(clock)
        self._usage = UsageBook()
        self._admission = Admission(
            balancer=self.balancer,
            candidates=self._candidates,
            over_share=self._usage.over_share,
            level=self._usage.level,
        )
        self._pumping = False

    def __repr__(self) -> str:
        return f"Gateway(in_flight={self.in_flight}, {self._router!r})"

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self._router = Router(configuration)

    @property
    def keyed(self) -> bool:
        """Whether callers' bearer keys belong to client accounts."""
        return self._router.keyed

    def now(self) -> Millis:
        """Return the time."""
        return self._clock.now()

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller."""
        self.in_flight += 1
        try:
            response = await self._serve(http)
        finally:
            self.in_flight -= 1
        self.prepare(response)
        return response

    def prepare(self, response: web.StreamResponse) -> None:
        """Have callers go elsewhere after this response while stopping."""
        if self.stopping and not response.prepared:
            response.force_close()

    async def _serve(self, http: web.BaseRequest) -> web.StreamResponse:
        arrived = self.now()
        req = self.dialect.read_request(http)
        if req is None:
            return self.error(NotRun(Reason.MALFORMED_HEADER))
        try:
            body = await http.read()
        except web.HTTPRequestEntityTooLarge:
            return self.error(NotRun(Reason.BODY_TOO_LARGE))
        admitted = self._admit(req, body, arrived)
        if isinstance(admitted, NotRun):
            return self._reject(req, admitted, arrived)
        return await self._run(http, admitted)

    async def _run(
        self, http: web.BaseRequest, admitted: Admitted
    ) -> web.StreamResponse:
        exchange = Exchange(self, http, admitted)
        try:
            return await exchange.run()
        except CallerGoneError:
            # The connection is closed or cut already; nothing can be sent on it.
            return web.Response(status=499)
        finally:
            self._note_end(exchange, admitted)

    # Admission

    def _admit(
        self, req: RoutedRequest, body: bytes, arrived: Millis
    ) -> Admitted | NotRun:
        route = self._router.match(req.host, req.path)
        if route is None:
            return self._absent(Reason.UNKNOWN_ROUTE)
        account = self._account(req, route)
        if isinstance(account, NotRun):
            return account
        if self._lag.millis > MAX_LAG:
            return NotRun(Reason.ENTRY_BUSY, self.spread(BUSY_PAUSE))
        limit = route.time_limit
        if req.patience is not None:
            limit = min(limit, req.patience)
        if account is not None:
            self._usage.asked(account.name, service_of(req), arrived)
        return Admitted(
            req=req,
            body=body,
            route=route,
            pool=choose_pool(route, self._rng),
            account=account.name if account is not None else None,
            arrived=arrived,
            deadline=arrived + limit,
        )

    def _account(self, req: RoutedRequest, route: Route) -> Account | NotRun | None:
        if not self._router.keyed:
            return None
        if req.key is None:
            return None if route.anonymous else self._absent(Reason.NO_KEY)
        return self._router.account(req.key) or self._absent(Reason.WRONG_KEY)

    def _absent(self, reason: Reason) -> NotRun:
        """Refuse what the configuration does not hold, if it is known to be newest."""
        if self._feed.fresh:
            return NotRun(reason)
        return NotRun(Reason.NO_CONFIGURATION, NOT_CONFIRMED_PAUSE)

    # Shared by exchanges

    async def place(
        self, admitted: Admitted, tried: set[str], *, again: bool
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
                self.balancer.begin(placement)
        if placement is None:
            return reason
        if admitted.account is not None:
            service = service_of(admitted.req)
            self._usage.served(admitted.account, service, self.now())
        return Flight(
            placement, admitted.req, self.balancer, self._clock, self._pump_soon
        )

    def _place_at_once(
        self, admitted: Admitted, tried: set[str], *, again: bool
    ) -> Placement | EngineProfile | None:
        """Place a request that need not wait; else return its pool's profile."""
        rows = [
            row for row in self._candidates(admitted.pool) if row.instance not in tried
        ]
        pool = self._feed.configuration.pools.get(admitted.pool)
        profile = pool.engine if pool is not None else None
        if not rows:
            return None
        if profile is None:
            return self.balancer.least_loaded(rows, self.now())
        if again:
            ranked = ranked_for(rows, admitted.req)
            return self.balancer.place_anyway(ranked, admitted.req, self.now())
        return profile

    async def _wait_for_room(
        self, admitted: Admitted, profile: EngineProfile, tried: set[str]
    ) -> Placement | None:
        woken = asyncio.Event()
        waiter = Waiter(
            req=admitted.req,
            account=admitted.account or "",
            pool=admitted.pool,
            profile=profile,
            objective=admitted.route.latency_objective,
            arrived=admitted.arrived,
            tried=tried,
            wake=woken.set,
        )
        self._admission.enter(waiter, self.now())
        if not waiter.done:
            self._pump_soon()
            delay = seconds(max(waiter.refuse_at - self.now(), 0))
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
            self.balancer.loads.end(placement.upstream.instance, placement.load)

    def _candidates(self, pool: str) -> Sequence[Registration]:
        """Return the upstreams of a pool, without those that fail, if any is left."""
        now = self.now()
        rows = self._feed.view.pool(pool)
        sound = [row for row in rows if self._health.usable(row.instance, now)]
        return sound or rows

    def _pump_soon(self) -> None:
        if len(self._admission) and not self._pumping:
            self._pumping = True
            delay = seconds(PUMP_INTERVAL)
            asyncio.get_running_loop().call_later(delay, self._pump)

    def _pump(self) -> None:
        self._pumping = False
        self._admission.pump(self.now())

    def load_report(self) -> LoadReport:
        """Return this entry's counts for the other entries."""
        return self.balancer.loads.report(self._usage.rows(self.now()))

    def take_totals(self, totals: LoadTotals) -> None:
        """Take the counts of all entries."""
        own = self.balancer.loads.totals(totals, self.now())
        limits = self._feed.configuration.limits
        capacity = limits.tokens_per_s * WINDOW // 1_000
        self._usage.totals(totals, own, capacity=capacity)
        self._pump_soon()

    def spread(self, pause: Millis) -> Millis:
        """Return a pause between half of the given one and all of it."""
        return self._rng.randint(pause // 2, pause)

    def take_retry(self, pool: str) -> bool:
        """Use one retry of the shared budget, if one is left."""
        allowed = self.budget.take(pool, self.now(), self._feed.subscribers)
        if not allowed:
            self._metrics.retries_denied.inc({"rule": "budget"})
        return allowed

    def note_ending(self, upstream: Registration, ending: Ending) -> None:
        """Learn about an upstream from an attempt."""
        now = self.now()
        self._metrics.attempts.inc({"ending": type(ending).__name__.lower()})
        match ending:
            case Unreachable():
                left_alone = self._health.unreachable(upstream.instance, now)
            case Broken():
                left_alone = self._health.failed(upstream.instance, now)
            case Whole(status=status) if status >= FIRST_SERVER_ERROR:
                left_alone = self._health.failed(upstream.instance, now)
            case Declined():
                left_alone = False
            case Whole() | Streaming():
                self._health.succeeded(upstream.instance)
                left_alone = False
        if left_alone:
            extra = {"instance": upstream.instance, "ending": repr(ending)}
            log.warning("upstream left alone for a while", extra=extra)

    def note_silence(self, upstream: Registration, admitted: Admitted) -> None:
        """Learn about an upstream that has not answered for too long."""
        left_alone = self._health.failed(upstream.instance, self.now())
        if self._lines.take():
            extra = {
                **self._context(admitted),
                "instance": upstream.instance,
                "left_alone": left_alone,
            }
            log.info("upstream silent", extra=extra)

    def error(self, outcome: NotRun | Failed | Unknown) -> web.Response:
        """Return the response for an outcome without an upstream's answer."""
        self._metrics.refusals.inc({"reason": outcome.reason.value})
        response = error_response(outcome)
        if isinstance(outcome, NotRun) and outcome.retry_after is not None:
            response.headers.update(self.dialect.retry_after(outcome.retry_after))
        return response

    # Log lines

    def log_attempt(
        self, exchange: Exchange, admitted: Admitted, ending: Ending, *, retry: bool
    ) -> None:
        """Write a line for an attempt that did not end well."""
        failed = isinstance(ending, Whole) and ending.status >= FIRST_SERVER_ERROR
        if not failed and isinstance(ending, Whole | Streaming):
            return
        if self._lines.take():
            extra = {
                **self._context(admitted),
                "instance": exchange.instance,
                "send": exchange.sends,
                "ending": type(ending).__name__.lower(),
                "retry": retry,
            }
            log.info("attempt failed", extra=extra)

    def _reject(
        self, req: RoutedRequest, refusal: NotRun, arrived: Millis
    ) -> web.StreamResponse:
        self._metrics.requests.inc({"outcome": "not_run"})
        if self._lines.take():
            extra = {
                "request": req.request_id,
                "reason": refusal.reason.value,
                "config": self._feed.version,
                "config_age_ms": self._feed.age,
                "ms": self.now() - arrived,
            }
            log.info("request refused", extra=extra)
        return self.error(refusal)

    def _note_end(self, exchange: Exchange, admitted: Admitted) -> None:
        now = self.now()
        outcome: Outcome = exchange.outcome
        self._metrics.requests.inc({"outcome": outcome_name(outcome)})
        self._metrics.duration.add({}, (now - admitted.arrived) / 1_000)
        if exchange.first_byte_at >= 0:
            first = exchange.first_byte_at - admitted.arrived
            self._metrics.first_byte.add({}, first / 1_000)
        if self._lines.take():
            self._log_end(exchange, admitted, outcome, now)

    def _log_end(
        self, exchange: Exchange, admitted: Admitted, outcome: Outcome, now: Millis
    ) -> None:
        extra = {
            **self._context(admitted),
            "instance": exchange.instance,
            "sends": exchange.sends,
            "outcome": outcome_name(outcome),
            "ms": now - admitted.arrived,
        }
        if exchange.first_byte_at >= 0:
            extra["first_ms"] = exchange.first_byte_at - admitted.arrived
        if isinstance(outcome, Answered):
            extra["status"] = outcome.status
        else:
            extra["reason"] = outcome.reason.value
        log.info("request ended", extra=extra)

    def _context(self, admitted: Admitted) -> dict[str, object]:
        return {
            "request": admitted.req.request_id,
            "route": admitted.route.name,
            "pool": admitted.pool,
            "account": admitted.account,
            "config": self._feed.version,
            "config_age_ms": self._feed.age,
        }
