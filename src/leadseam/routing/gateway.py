"""Admits routed requests of an entry and holds the state that they share."""

from __future__ import annotations

import asyncio
import logging
from contextlib import nullcontext
from dataclasses import replace
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.answer_end import Close, Framing, read_framing
from leadseam.answer_head import HeadFault
from leadseam.clock import seconds
from leadseam.entry.error_responses import error_response
from leadseam.handover.targets import MAX_HANDED_BODY, HandOver, HandOverTargets
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
from leadseam.routing.busy import BusyPeriod
from leadseam.routing.crash_guard import CrashGuard
from leadseam.routing.dialect import Sender
from leadseam.routing.entry_room import FIRST_PAUSE, LAST_PAUSE, EntryRooms
from leadseam.routing.exchange import Exchange
from leadseam.routing.first_configuration import FirstConfiguration
from leadseam.routing.health import UpstreamHealth
from leadseam.routing.origin_lookup import OriginLookup
from leadseam.routing.placer import Placer
from leadseam.routing.reply import CallerGoneError
from leadseam.routing.request_log import RequestLog
from leadseam.routing.restarts import Restarts
from leadseam.routing.retry_budget import PoolRetryBudget
from leadseam.routing.return_time import Rule, is_beyond_share, time_waited
from leadseam.routing.router import Router, choose_pool
from leadseam.routing.scope import allowed_regions
from leadseam.routing.unconfirmed import NEVER
from leadseam.routing.usage import Standing
from leadseam.runtime.held_connection import (
    BodyTimeoutError,
    HeldBaseRequest,
    MalformedBodyError,
    RequestShedError,
)
from leadseam.runtime.tasks import spawn

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from contextlib import AbstractContextManager

    import aiohttp

    from leadseam.answer_end import AnswerEnd
    from leadseam.clock import Clock, Millis
    from leadseam.control.configuration import Account, Configuration
    from leadseam.control.routes import Route
    from leadseam.feed.client import FeedClient
    from leadseam.outcome import Failed, Unknown
    from leadseam.routing.attempt import Ending
    from leadseam.routing.client import UpstreamClient
    from leadseam.routing.dialect import AnswerHead, Dialect, RoutedRequest
    from leadseam.routing.part_holders import PartHolders
    from leadseam.routing.retry_budget import RetryLimits
    from leadseam.routing.stream_origin import StreamOrigin
    from leadseam.runtime.lag import LoopLag
    from leadseam.runtime.metrics import RoutingMetrics
    from leadseam.runtime.upstream_connection import UpstreamConnection
    from leadseam.wire.feed import Registration

NOT_CONFIRMED_PAUSE: Millis = 500
"""Retry-After pause while the configuration is not confirmed: one feed heartbeat."""

MAX_LAG: Millis = 30
"""Lag of the event loop above which new requests are refused: half of the time within
which a refusal is early for the shortest latency objective in use (250 ms)."""
MAX_LAG_WITHIN_SHARE: Millis = 120
"""Such a lag for accounts that request less than their share of a busy entry: their few
requests begin late then, instead of being refused for what others request."""
EXCESS_LAG: Millis = 10
"""Lag of the event loop above which accounts that exceed their share are refused,
before their request is even read: the excess causes most of an entry's lag."""
MAX_KEPT_ALIVE = 256
"""Callers' open connections above which each response closes its own. An idle one takes
some 16 KB, and callers that open one for each request leave thousands."""
END_CHECK_TIMEOUT: Millis = 300
"""Longest time for which the end of an answer is held back while it is checked; all
events have been passed on by then."""
SHED_PAUSE: Millis = 2_000
"""Retry-After pause while the entry holds too much for its callers."""
UNDECIDED_PAUSE: Millis = 1_000
"""Retry-After pause while it is undecided whether a request has crashed an upstream:
twice the interval at which registrations are checked."""

log = logging.getLogger(__name__)

UNPROVEN_HEADS = (None, HeadFault.OTHER_REQUEST, HeadFault.UNREADABLE)
"""Faults of heads that do not show which process has answered."""


class Gateway:
    """Admits routed requests and forwards them to upstreams.

    Args:
        feed: Source of the configuration and of registered upstreams.
        dialect: Reads and writes the headers of the wire format.
        client: HTTP client for upstreams.
        clock: Source of time.
        retry_limits: Fleet-wide bounds on retries.
        metrics: Metrics of routed requests.
        rng: Source of random numbers.
        lag: Measured lag of the event loop.
        connections: Returns the number of callers' open connections.
        entry: Name of this entry.
        failure_domain: Failure domain of this entry, or an empty string.
        holders: Prompt parts that engines hold. Defaults to an empty table.
        rooms: Which entries have room for callers of this one. By default none.
        targets: Entries that connections may be handed over to. By default none.
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
        failure_domain: str = "",
        holders: PartHolders | None = None,
        rooms: EntryRooms | None = None,
        targets: HandOverTargets | None = None,
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
        self._busy_period = BusyPeriod()
        self.rooms = rooms or EntryRooms()
        self._targets = targets or HandOverTargets()
        self._connections = connections
        self._first_configuration = FirstConfiguration(feed)
        self.restarts = Restarts()
        self._running: set[Exchange] = set()
        self.crash_guard = CrashGuard(
            feed=feed, client=client, clock=clock, running=self._running
        )
        self._origins = OriginLookup(feed, metrics)
        self._health = UpstreamHealth()
        self._router = Router(feed.configuration)
        self.placer = Placer(
            feed=feed,
            health=self._health,
            clock=clock,
            rng=rng,
            entry=entry,
            failure_domain=failure_domain,
            holders=holders,
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
        """Apply a configuration."""
        self._router = Router(configuration)

    @property
    def uses_account_keys(self) -> bool:
        """Whether callers' bearer keys belong to client accounts."""
        return self._router.uses_account_keys

    def now(self) -> Millis:
        """Return the current time."""
        return self._clock.now()

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request of a caller."""
        self.in_flight += 1
        try:
            response = await self._serve(http)
        finally:
            self.in_flight -= 1
        self.set_keep_alive(response)
        return response

    def decide_early(self, sender: Sender) -> NotRun | HandOver | None:
        """Decide on a request by its head alone, if the event loop lags too much.

        A request that may be served is handed over if another entry has room. Else the
        rules are those of `_serve`. The work of an account that is refused although it
        may be within its share is counted as requested, unless the caller is redirected
        or handed over: then the entry that serves it counts it.

        Returns:
            The refusal, where to hand the connection over, or None to serve it here.
        """
        decision = self._decide_early(sender)
        refused = isinstance(decision, NotRun)
        self.placer.account_log.record_connection(refused=refused)
        return decision

    def _decide_early(self, sender: Sender) -> NotRun | HandOver | None:
        lag = self._lag.millis
        account = self._account_of(sender) if lag > EXCESS_LAG else None
        if account is None:
            return None
        now = self.now()
        exceeds_share = self._exceeds_share(account, now)
        service = expected_service_of_tokens(sender.tokens_in, sender.tokens_out)
        if not exceeds_share and sender.body_size <= MAX_HANDED_BODY:
            handed = self._targets.choose(now)
            if handed is not None:
                self.placer.record_handed(account, service, now)
                return handed
        redirects = self._redirects(account, now)
        busy = redirects or self._is_too_busy_for(account, now)
        if not exceeds_share and not busy:
            return None
        if not exceeds_share and not redirects:
            self.placer.record_requested_service(account, service, now)
        refusal = self._busy_refusal(account, sender.max_wait, redirects=redirects)
        self._note_refusal(sender, refusal, now)
        self._metrics.refusals.inc(refusal.reason.value)
        return refusal

    def resumed(self) -> None:
        """Check all deadlines and waiting requests after the box was suspended."""
        for exchange in list(self._running):
            exchange.reset_deadline_timer()
        self.placer.place_waiting()
        extra = {
            "requests": len(self._running),
            "connections_closed": self.client.drop_idle(),
            "config_age_ms": self._feed.age,
        }
        log.info("requests under way looked at", extra=extra)

    def stream_began(self, request: AdmittedRequest, origin: StreamOrigin) -> None:
        """Record that a caller gets the first event of an answer."""
        self._origins.began(request, origin)

    def keep_spare(self, upstream: Registration) -> None:
        """Keep an idle connection to an upstream while versions of its pool differ.

        If a connection breaks off, an answer on this one shows that the upstream has
        not started again.
        """
        if self._feed.streams.is_mixed(upstream.pool):
            spawn(self.client.keep_spare(upstream.ip, upstream.port))

    def set_keep_alive(self, response: web.StreamResponse) -> None:
        """Close the caller's connection after this response, if necessary.

        That is so while the entry stops, and above `MAX_KEPT_ALIVE` connections.
        """
        if response.prepared:
            return
        if self.stopping or self._connections() > MAX_KEPT_ALIVE:
            response.force_close()

    async def _serve(self, http: web.BaseRequest) -> web.StreamResponse:
        arrived = self.now()
        if self._lag.millis > EXCESS_LAG:
            sender = self.dialect.read_sender(http)
            account = self._account_of(sender)
            if self._exceeds_share(account, arrived):
                redirects = not _is_handed(http) and self._redirects(account, arrived)
                refusal = self._busy_refusal(
                    account, sender.max_wait, redirects=redirects
                )
                return self._refuse(sender, refusal, arrived)
        req = self.dialect.read_request(http)
        if req is None:
            return self.error(NotRun(Reason.MALFORMED_HEADER))
        announced = http.content_length or 0
        limit = http.client_max_size
        if limit and announced > limit:
            return self.error(NotRun(Reason.BODY_TOO_LARGE))
        if not self.stopping:
            await self._first_configuration.wait(req.max_wait)
        body = await self._read_body(http, req)
        if isinstance(body, NotRun):
            return self._refuse(Sender(req.request_id, req.key), body, arrived)
        admitted = self._admit(req, body, arrived, is_handed=_is_handed(http))
        if isinstance(admitted, AdmittedRequest) and admitted.resumes_stream:
            admitted = await self._origins.bind(admitted, now=self.now())
        if isinstance(admitted, NotRun):
            return self._refuse(Sender(req.request_id, req.key), admitted, arrived)
        return await self._run(http, admitted)

    async def _read_body(
        self, http: web.BaseRequest, req: RoutedRequest
    ) -> bytes | NotRun:
        """Read the body of a request that may be served as far as its head tells."""
        route = self._find_route(req)
        if isinstance(route, NotRun):
            return route
        account = self._authenticate(req, route)
        if isinstance(account, NotRun):
            return account
        limit = route.time_limit
        if req.max_wait is not None:
            limit = min(limit, req.max_wait)
        try:
            async with asyncio.timeout(seconds(limit)):
                return await http.read()
        except web.HTTPRequestEntityTooLarge:
            return NotRun(Reason.BODY_TOO_LARGE)
        except MalformedBodyError:
            return NotRun(Reason.MALFORMED_BODY)
        except RequestShedError:
            return NotRun(Reason.MEMORY_FULL, self.jitter(SHED_PAUSE))
        except (BodyTimeoutError, TimeoutError):
            return NotRun(Reason.BODY_TIMEOUT)

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
            # The connection is already closed or aborted; nothing can be sent on it.
            return web.Response(status=499)
        finally:
            self._running.discard(exchange)
            self.request_log.end(exchange, admitted)

    # Admission

    def _admit(
        self,
        req: RoutedRequest,
        body: bytes,
        arrived: Millis,
        *,
        is_handed: bool = False,
    ) -> AdmittedRequest | NotRun:
        route = self._find_route(req)
        if isinstance(route, NotRun):
            return route
        account = self._authenticate(req, route)
        if isinstance(account, NotRun):
            return account
        admitted = self._admit_to(route, account, req, body, arrived)
        refused = self._check_crash_guard(admitted)
        if refused is not None:
            # It counts as no demand of its account, whose other requests are served.
            return refused
        name = admitted.account
        # Reading the body may have taken long, so rooms are judged now.
        now = self.now()
        # The caller of a handed request would return to the entry that handed it over.
        redirects = (
            not is_handed
            and self._lag.millis > EXCESS_LAG
            and self._redirects(name, now)
        )
        busy = redirects or self._is_too_busy_for(name, now)
        if name is not None and not redirects:
            self.placer.record_request(name, req, arrived)
        if busy:
            return self._busy_refusal(name, req.max_wait, redirects=redirects)
        return admitted

    def _admit_to(
        self,
        route: Route,
        account: Account | None,
        req: RoutedRequest,
        body: bytes,
        arrived: Millis,
    ) -> AdmittedRequest:
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
            waited=time_waited(route.time_limit, req.max_wait),
            regions=allowed_regions(
                route.regions, account.regions if account is not None else ()
            ),
        )

    def _check_crash_guard(self, admitted: AdmittedRequest) -> NotRun | None:
        """Return the refusal of a request that crashes upstreams, or may do so."""
        match self.crash_guard.refusal(admitted):
            case None:
                return None
            case Reason.CRASHES_UPSTREAMS as reason:
                # No Retry-After: the request must not be sent again.
                fingerprint = self.crash_guard.refused_for(admitted)
                return NotRun(reason, fingerprint=fingerprint or "")
            case reason:
                return NotRun(reason, self.jitter(UNDECIDED_PAUSE))

    def _redirects(self, account: str | None, now: Millis) -> bool:
        """Return whether this entry, if busy, redirects a caller to another entry.

        A caller retries once. While engines are loaded or its account is stopped, a
        retry within milliseconds is refused again, and a pause spreads the callers of a
        flood over time. Callers of an account that uses no other entry would return to
        this one.
        """
        if not self.rooms.redirects(now) or not self.placer.engines_have_spare(now):
            return False
        if account is None:
            return True
        if not self.placer.uses_other_entries(account, now):
            return False
        return self.placer.standing(account, now) is not Standing.STOPPED

    def _busy_refusal(
        self, account: str | None, time_left: Millis | None, *, redirects: bool
    ) -> NotRun:
        """Refuse a request at a busy entry, with a pause by the account's state.

        Args:
            account: Client account of the request, or None.
            time_left: Time that the caller has left, or None if it states none.
            redirects: Whether the caller is redirected to another entry. Otherwise the
                pause of an account beyond its share follows its recent service, as
                other entries would refuse it too.
        """
        now = self.now()
        # Redirected callers count as well: their entry is as busy.
        busy_for = self._busy_period.refused(now)
        if redirects:
            self._metrics.busy.inc("redirected")
            return NotRun(Reason.ENTRY_BUSY, self._rng.randint(FIRST_PAUSE, LAST_PAUSE))
        self._metrics.busy.inc("paused")
        pause = self.jitter(busy_for)
        if account is not None and self._exceeds_share(account, now):
            found = self.placer.return_time(account, None, time_left)
            if found.rule is Rule.DECAY:
                self._metrics.add_return_time(found.rule.value, found.pause)
                # This entry stays the one that its callers use.
                pause = max(pause, found.pause)
        return NotRun(Reason.ENTRY_BUSY, pause)

    def _is_too_busy_for(self, account: str | None, now: Millis) -> bool:
        """Return whether the event loop lags too much to serve a request."""
        lag = self._lag.millis
        if lag <= MAX_LAG or account is None:
            return lag > MAX_LAG
        if lag > MAX_LAG_WITHIN_SHARE:
            return True
        return not self.placer.is_within_entry_share(account, now)

    def _exceeds_share(self, account: str | None, now: Millis) -> bool:
        if account is None:
            return False
        return is_beyond_share(self.placer.standing(account, now))

    def _account_of(self, sender: Sender) -> str | None:
        """Return the client account that a key belongs to, if any."""
        if sender.key is None:
            return None
        account = self._router.account(sender.key)
        return account.name if account is not None else None

    def _find_route(self, req: RoutedRequest) -> Route | NotRun:
        route = self._router.match(req.host, req.path)
        return route or self._not_configured(Reason.UNKNOWN_ROUTE)

    def _authenticate(
        self, req: RoutedRequest, route: Route
    ) -> Account | NotRun | None:
        if not self._router.uses_account_keys:
            return None
        if req.key is None:
            return None if route.anonymous else self._not_configured(Reason.NO_KEY)
        return self._router.account(req.key) or self._not_configured(Reason.WRONG_KEY)

    def _not_configured(self, reason: Reason) -> NotRun:
        """Return the refusal for a route, key or account that is not configured.

        Unless the configuration is known to be the newest, the request may be valid,
        and the caller is asked to retry instead.
        """
        if self._feed.fresh:
            return NotRun(reason)
        return NotRun(Reason.NO_CONFIGURATION, NOT_CONFIRMED_PAUSE)

    # Shared by exchanges

    def return_pause(self, admitted: AdmittedRequest, time_left: Millis) -> Millis:
        """Return the Retry-After pause of a request for which no engine is free."""
        found = self.placer.return_time(admitted.account, admitted.scope, time_left)
        self._metrics.add_return_time(found.rule.value, found.pause)
        return found.pause

    def jitter(self, pause: Millis) -> Millis:
        """Return a random pause between half of the given one and all of it."""
        return self._rng.randint(pause // 2, pause)

    def take_retry(self, pool: str) -> bool:
        """Take a retry from the pool's shared budget; return whether one was left."""
        allowed = self.budget.take(pool, self.now())
        if not allowed:
            self._metrics.retries_denied.inc("budget")
        return allowed

    def return_retry(self, pool: str, taken: Millis) -> None:
        """Return a retry that was taken at some time, as nothing was sent."""
        self.budget.put_back(pool, taken, self.now())

    def log_retries(self) -> None:
        """Log decisions on retries since the last call."""
        self.request_log.retries(self.budget.activity(self.now()))

    def note_head(
        self,
        upstream: Registration,
        admitted: AdmittedRequest,
        status: int,
        head: AnswerHead,
    ) -> None:
        """Process what the head of an answer states about its upstream.

        Args:
            upstream: The upstream that the request was sent to.
            admitted: The request.
            status: HTTP status of the answer.
            head: Head of the answer, which need not be a good one.
        """
        if status == MISDIRECTED:
            # The answer comes from another upstream than the one intended.
            return
        if head.pause or head.invalid_pause:
            self.request_log.requests_pause(upstream, admitted, head)
        if head.pause:
            self.placer.pause(upstream, head.pause)
        elif status < FIRST_REDIRECTION:
            self.placer.record_answer(upstream)
        if head.leaving and self._feed.view.left([upstream.incarnation]):
            # Heartbeats may not announce it, or may not reach this entry.
            self.request_log.announces_leaving(upstream, admitted, status)

    def watch_end(
        self, upstream: Registration, resp: aiohttp.ClientResponse
    ) -> AbstractContextManager[None]:
        """Keep a connection by which the end of an answer can be checked.

        Nothing is opened for an answer whose own bytes tell whether it is whole.

        Args:
            upstream: Upstream of the answer.
            resp: The answer.
        """
        if read_framing(resp.method, resp.status, resp.headers) is Framing.CONNECTION:
            return self.client.liveness.watching(upstream.ip, upstream.port)
        return nullcontext()

    async def check_end(self, upstream: Registration, end: AnswerEnd) -> AnswerEnd:
        """Check if an upstream still runs that has closed the connection of an answer.

        An upstream that leaves is no exception, as it may be gone ahead of its last
        answer.

        Args:
            upstream: Upstream of the answer.
            end: How the answer ended.
        """
        path = self._feed.configuration.health_paths.get(upstream.pool, "")
        check = self.dialect.health_check(upstream.incarnation, path)
        liveness = await self.client.liveness.check(
            upstream.ip, upstream.port, check, timeout=END_CHECK_TIMEOUT
        )
        return replace(end, liveness=liveness)

    def note_ending(
        self, upstream: Registration, ending: Ending, *, alive_at: Millis = NEVER
    ) -> None:
        """Update what is known of an upstream from how an attempt at it ended.

        Args:
            upstream: Upstream of the attempt.
            ending: How it ended.
            alive_at: When the upstream was last heard on the attempt's connection.
        """
        now = self.now()
        self._metrics.attempts.inc(type(ending).__name__.lower())
        match ending:
            case Declined(misdirected=True):
                excluded = False
                self.crash_guard.ended(upstream.incarnation)
                if self._feed.view.misdirected(upstream.incarnation):
                    self.request_log.address_lost(upstream)
            case Withheld() | Unreachable(local=True) | Declined():
                excluded = False
            case Unreachable(refused=refused):
                self.placer.record_disconnect(upstream, alive_at=NEVER)
                if refused:
                    self.crash_guard.ended(upstream.incarnation)
                excluded = self._health.unreachable(upstream.incarnation, now)
            case Broken(end=end, head=head):
                is_own = head not in UNPROVEN_HEADS
                dropped = end is not None and end.close is Close.DROPPED
                if not (is_own or dropped):
                    self.placer.record_disconnect(upstream, alive_at=alive_at)
                excluded = self._health.failed(upstream.incarnation, now)
            case Whole(status=status) if status >= FIRST_SERVER_ERROR:
                excluded = self._health.failed(upstream.incarnation, now)
            case Whole() | Streaming():
                self._health.succeeded(upstream.incarnation)
                self._feed.view.answered(upstream.incarnation, now)
                excluded = False
        if excluded:
            self.request_log.excluded(upstream, ending)

    def note_idle_lost(self, upstream: Registration, conn: UpstreamConnection) -> None:
        """Record that an upstream closed a connection that was kept for reuse."""
        self.placer.record_disconnect(upstream, alive_at=conn.alive_at)

    def note_silence(self, upstream: Registration, admitted: AdmittedRequest) -> None:
        """Count a failure of an upstream that has been silent for too long."""
        excluded = self._health.failed(upstream.incarnation, self.now())
        self.request_log.silence(upstream, admitted, excluded=excluded)

    def count_refusal(self, reason: Reason) -> None:
        """Count a request that was refused before it was read."""
        self._metrics.refusals.inc(reason.value)

    def error(self, outcome: NotRun | Failed | Unknown) -> web.Response:
        """Return the error response for an outcome without an upstream's answer."""
        self._metrics.refusals.inc(outcome.reason.value)
        response = error_response(outcome)
        if isinstance(outcome, NotRun) and outcome.retry_after is not None:
            response.headers.update(self.dialect.retry_after(outcome.retry_after))
        return response


def _is_handed(http: web.BaseRequest) -> bool:
    """Return whether another entry has handed the connection of a request over."""
    return isinstance(http, HeldBaseRequest) and http.is_handed
