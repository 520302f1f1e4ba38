"""Serves routed requests: who may come in, and what all requests of an entry share."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.entry.error_responses import error_response
from leadseam.outcome import NotRun, Reason
from leadseam.routing.admitted import AdmittedRequest
from leadseam.routing.attempt import (
    FIRST_REDIRECTION,
    FIRST_SERVER_ERROR,
    MISDIRECTED,
    Broken,
    Declined,
    Streaming,
    Unreachable,
    Whole,
    Withheld,
)
from leadseam.routing.balance import expected_service_of_tokens
from leadseam.routing.busy import BusySpell
from leadseam.routing.crash_guard import CrashGuard
from leadseam.routing.dialect import Sender
from leadseam.routing.exchange import Exchange
from leadseam.routing.first_configuration import FirstConfiguration
from leadseam.routing.health import UpstreamHealth
from leadseam.routing.placer import Placer
from leadseam.routing.reply import CallerGoneError
from leadseam.routing.request_log import RequestLog
from leadseam.routing.restarts import Restarts
from leadseam.routing.retry_budget import PoolRetryBudget
from leadseam.routing.router import Router, choose_pool
from leadseam.routing.scope import allowed_regions
from leadseam.routing.usage import Standing

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from leadseam.clock import Clock, Millis
    from leadseam.control.configuration import Account, Configuration
    from leadseam.control.routes import Route
    from leadseam.feed.client import FeedClient
    from leadseam.outcome import Failed, Unknown
    from leadseam.routing.attempt import Ending
    from leadseam.routing.client import UpstreamClient
    from leadseam.routing.dialect import AnswerHead, Dialect, RoutedRequest
    from leadseam.routing.retry_budget import RetryLimits
    from leadseam.runtime.lag import LoopLag
    from leadseam.runtime.metrics import RoutingMetrics
    from leadseam.wire.feed import Registration

NOT_CONFIRMED_PAUSE: Millis = 500
"""Pause told to a caller while the configuration is not confirmed: a feed heartbeat."""

MAX_LAG: Millis = 30
"""Lag of the event loop above which new requests are refused: half of the time in which
a refusal is early for the shortest latency objective of today (250 ms)."""
EXCESS_LAG: Millis = 10
"""The same for accounts that have had their share, refused before their request is even
read: what they send beyond it is most of what makes an entry late."""
MAX_KEPT_ALIVE = 256
"""Callers' connections above which answers end their connection: an idle one takes some
16 KB, and callers that open one for each request leave thousands."""
UNDECIDED_PAUSE: Millis = 1_000
"""Pause told while it is not known if an upstream has ended under a request: twice the
interval at which registrations are looked at."""

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
        connections: Returns the number of callers' open connections.
        entry: Name of this entry.
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
        connections: Callable[[], int] = lambda: 0,
        entry: str = "",
    ) -> None:
        self.dialect = dialect
        self.client = client
        self.budget = PoolRetryBudget(retry_limits)
        self.in_flight = 0
        self.stopping = False
        self._feed = feed
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._lag = lag
        self._spell = BusySpell()
        self._connections = connections
        self._first_configuration = FirstConfiguration(feed)
        self.restarts = Restarts()
        self._running: set[Exchange] = set()
        self.crash_guard = CrashGuard(
            feed=feed, client=client, clock=clock, running=self._running
        )
        self._health = UpstreamHealth()
        self._router = Router(feed.configuration)
        self.placer = Placer(
            feed=feed, health=self._health, clock=clock, rng=rng, entry=entry
        )
        self.request_log = RequestLog(
            feed=feed,
            standing=self.placer.standing,
            account_log=self.placer.account_log,
            clock=clock,
            metrics=metrics,
        )

    def __repr__(self) -> str:
        return f"Gateway(in_flight={self.in_flight}, {self._router!r})"

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self._router = Router(configuration)

    @property
    def uses_account_keys(self) -> bool:
        """Whether callers' bearer keys belong to client accounts."""
        return self._router.uses_account_keys

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

    def refuse_early(self, sender: Sender) -> NotRun | None:
        """Refuse a request of which only the head was looked at, if that is due.

        The rules are those of `_serve`; an account's work counts as asked for where it
        is refused although it may be within its share.
        """
        lag = self._lag.millis
        account = self._account_of(sender) if lag > EXCESS_LAG else None
        if account is None:
            return None
        now = self.now()
        if not self._has_had_its_share(sender, now):
            if lag <= MAX_LAG:
                return None
            service = expected_service_of_tokens(sender.own_tokens, sender.tokens_out)
            self.placer.record_requested_service(account, service, now)
        refusal = self._busy()
        self._note_refusal(sender, refusal, now)
        self._metrics.refusals.inc(refusal.reason.value)
        return refusal

    def resumed(self) -> None:
        """Look at all that may be due after the box was suspended."""
        for exchange in list(self._running):
            exchange.reset_deadline_timer()
        self.placer.place_waiting()
        extra = {
            "requests": len(self._running),
            "connections_closed": self.client.drop_idle(),
            "config_age_ms": self._feed.age,
        }
        log.info("requests under way looked at", extra=extra)

    def prepare(self, response: web.StreamResponse) -> None:
        """End the caller's connection after this response where that is due."""
        if response.prepared:
            return
        if self.stopping or self._connections() > MAX_KEPT_ALIVE:
            response.force_close()

    async def _serve(self, http: web.BaseRequest) -> web.StreamResponse:
        arrived = self.now()
        if self._lag.millis > EXCESS_LAG:
            sender = self.dialect.read_sender(http)
            if self._has_had_its_share(sender, arrived):
                return self._refuse(sender, self._busy(), arrived)
        req = self.dialect.read_request(http)
        if req is None:
            return self.error(NotRun(Reason.MALFORMED_HEADER))
        try:
            body = await http.read()
        except web.HTTPRequestEntityTooLarge:
            return self.error(NotRun(Reason.BODY_TOO_LARGE))
        if not self.stopping:
            await self._first_configuration.wait(req.max_wait)
        admitted = self._admit(req, body, arrived)
        if isinstance(admitted, AdmittedRequest):
            admitted = self._checked(admitted)
        if isinstance(admitted, NotRun):
            return self._refuse(Sender(req.request_id, req.key), admitted, arrived)
        return await self._run(http, admitted)

    def _refuse(self, sender: Sender, refusal: NotRun, arrived: Millis) -> web.Response:
        self._note_refusal(sender, refusal, arrived)
        return self.error(refusal)

    def _note_refusal(self, sender: Sender, refusal: NotRun, arrived: Millis) -> None:
        self.request_log.refusal(
            sender.request_id,
            self._account_of(sender),
            refusal,
            arrived,
            lag=self._lag.millis,
        )

    async def _run(
        self, http: web.BaseRequest, admitted: AdmittedRequest
    ) -> web.StreamResponse:
        exchange = Exchange(self, http, admitted)
        self._running.add(exchange)
        try:
            return await exchange.run()
        except CallerGoneError:
            # The connection is closed or cut already; nothing can be sent on it.
            return web.Response(status=499)
        finally:
            self._running.discard(exchange)
            self.request_log.end(exchange, admitted)

    # Admission

    def _admit(
        self, req: RoutedRequest, body: bytes, arrived: Millis
    ) -> AdmittedRequest | NotRun:
        route = self._router.match(req.host, req.path)
        if route is None:
            return self._absent(Reason.UNKNOWN_ROUTE)
        account = self._account(req, route)
        if isinstance(account, NotRun):
            return account
        if account is not None:
            self.placer.record_request(account.name, req, arrived)
        if self._lag.millis > MAX_LAG:
            return self._busy()
        limit = route.time_limit
        if req.max_wait is not None:
            limit = min(limit, req.max_wait)
        return AdmittedRequest(
            req=req,
            body=body,
            route=route,
            pool=choose_pool(route, self._rng),
            account=account.name if account is not None else None,
            arrived=arrived,
            deadline=arrived + limit,
            regions=allowed_regions(
                route.regions, account.regions if account is not None else ()
            ),
        )

    def _checked(self, admitted: AdmittedRequest) -> AdmittedRequest | NotRun:
        """Refuse a request that ends upstreams, or may do so."""
        match self.crash_guard.refusal(admitted):
            case None:
                return admitted
            case Reason.CRASHES_UPSTREAMS as reason:
                # Nobody is to come back with it, so no pause is told.
                return NotRun(reason)
            case reason:
                return NotRun(reason, self.jitter(UNDECIDED_PAUSE))

    def _busy(self) -> NotRun:
        pause = self._spell.refused(self.now())
        return NotRun(Reason.ENTRY_BUSY, self.jitter(pause))

    def _has_had_its_share(self, sender: Sender, now: Millis) -> bool:
        """Tell whether a sender's account is ahead of others, by its key alone."""
        account = self._account_of(sender)
        if account is None:
            return False
        standing = self.placer.standing(account, now)
        return standing in (Standing.AHEAD, Standing.STOPPED)

    def _account_of(self, sender: Sender) -> str | None:
        """Return the client account that a key belongs to, if any."""
        if sender.key is None:
            return None
        account = self._router.account(sender.key)
        return account.name if account is not None else None

    def _account(self, req: RoutedRequest, route: Route) -> Account | NotRun | None:
        if not self._router.uses_account_keys:
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

    def jitter(self, pause: Millis) -> Millis:
        """Return a pause between half of the given one and all of it."""
        return self._rng.randint(pause // 2, pause)

    def take_retry(self, pool: str) -> bool:
        """Use one retry of the shared budget, if one is left."""
        allowed = self.budget.take(pool, self.now(), self._feed.subscribers)
        if not allowed:
            self._metrics.retries_denied.inc("budget")
        return allowed

    def note_head(
        self,
        upstream: Registration,
        admitted: AdmittedRequest,
        status: int,
        head: AnswerHead,
    ) -> None:
        """Learn what an upstream says of itself in an answer, whatever it is worth."""
        if status == MISDIRECTED:
            # Whoever answers there is not the upstream that was meant.
            return
        if head.pause or head.invalid_pause:
            self.request_log.asks_pause(upstream, admitted, head)
        if head.pause:
            self.placer.pause(upstream, head.pause)
        elif status < FIRST_REDIRECTION:
            self.placer.record_answer(upstream)
        if head.leaving and self._feed.view.left([upstream.incarnation]):
            # Heartbeats may not say it, or this entry may not be told of them.
            self.request_log.says_it_leaves(upstream, admitted, status)

    def note_ending(self, upstream: Registration, ending: Ending) -> None:
        """Learn about an upstream from an attempt."""
        now = self.now()
        self._metrics.attempts.inc(type(ending).__name__.lower())
        match ending:
            case Declined(misdirected=True):
                left_alone = False
                self.crash_guard.ended(upstream.incarnation)
                if self._feed.view.misdirected(upstream.incarnation):
                    self.request_log.address_lost(upstream)
            case Withheld() | Unreachable(local=True) | Declined():
                left_alone = False
            case Unreachable(refused=refused):
                if refused:
                    self.crash_guard.ended(upstream.incarnation)
                left_alone = self._health.unreachable(upstream.incarnation, now)
            case Broken():
                left_alone = self._health.failed(upstream.incarnation, now)
            case Whole(status=status) if status >= FIRST_SERVER_ERROR:
                left_alone = self._health.failed(upstream.incarnation, now)
            case Whole() | Streaming():
                self._health.succeeded(upstream.incarnation)
                self._feed.view.answered(upstream.incarnation, now)
                left_alone = False
        if left_alone:
            self.request_log.left_alone(upstream, ending)

    def note_silence(self, upstream: Registration, admitted: AdmittedRequest) -> None:
        """Learn about an upstream that has not answered for too long."""
        left_alone = self._health.failed(upstream.incarnation, self.now())
        self.request_log.silence(upstream, admitted, left_alone=left_alone)

    def error(self, outcome: NotRun | Failed | Unknown) -> web.Response:
        """Return the response for an outcome without an upstream's answer."""
        self._metrics.refusals.inc(outcome.reason.value)
        response = error_response(outcome)
        if isinstance(outcome, NotRun) and outcome.retry_after is not None:
            response.headers.update(self.dialect.retry_after(outcome.retry_after))
        return response
