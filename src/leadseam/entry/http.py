"""HTTP interface for callers."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.clock import Clock
from leadseam.control.claims import MAX_STORED_BODY, Verdict
from leadseam.entry.admission import (
    Admitted,
    admit,
    authenticate,
    may_use,
    route_model,
    route_service,
)
from leadseam.entry.error_responses import error_response, outcome_name
from leadseam.entry.relay import CallerGoneError, Relay
from leadseam.entry.retry import RetryBudget
from leadseam.outcome import Answered, Failed, NotRun, Outcome, Reason, Unknown
from leadseam.runtime.tasks import spawn
from leadseam.wire.claim import ClaimDone, ClaimRelease

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aiohttp.typedefs import Handler

    from leadseam.control.configuration import Account, Pool
    from leadseam.entry.dispatcher import Dispatcher
    from leadseam.feed.client import FeedClient
    from leadseam.runtime.metrics import EntryMetrics
    from leadseam.settings.models import EntryLimits
    from leadseam.wire.claim import ClaimReply

CLAIM_RETRY_AFTER = 2_000
COMPLETIONS = ("/v1/chat/completions", "/v1/completions")


class Frontend:
    """Handles the HTTP requests of callers.

    Args:
        dispatcher: Queues requests and dispatches them to sidecars.
        feed: Client for the configuration and for claims.
        limits: Limits on requests in this entry.
        metrics: Metrics of this entry.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        feed: FeedClient,
        limits: EntryLimits,
        metrics: EntryMetrics,
        clock: Clock,
    ) -> None:
        self.in_flight = 0
        self.stopping = False
        self._dispatcher = dispatcher
        self._feed = feed
        self._limits = limits
        self._metrics = metrics
        self._clock = clock
        self._budget = RetryBudget()

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the HTTP routes for callers."""
        completions = [web.post(path, self._completion) for path in COMPLETIONS]
        return [
            *completions,
            web.get("/v1/models", self._models),
            web.route("*", "/services/{service}/{path:.*}", self._service),
        ]

    @web.middleware
    async def count(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Count a request as in flight before its body has arrived.

        A planned stop waits for the requests in flight.
        """
        with self._track_in_flight():
            return await handler(request)

    async def on_prepare(self, _: web.Request, response: web.StreamResponse) -> None:
        """While stopping, close the connection after this response.

        The caller then sends its next request to another entry.
        """
        if self.stopping:
            response.force_close()

    async def _models(self, http: web.Request) -> web.StreamResponse:
        account = self._account(http)
        if isinstance(account, NotRun):
            return self._refuse(account)
        data = [
            {"id": f"{pool.model}:{pool.version}", "object": "model"}
            for pool in self._feed.configuration.pools.values()
            if may_use(account, pool)
        ]
        return web.json_response({"object": "list", "data": data})

    async def _completion(self, http: web.Request) -> web.StreamResponse:
        body = await self._read_body(http)
        if isinstance(body, NotRun):
            return self._refuse(body)
        account = self._account(http)
        if isinstance(account, NotRun):
            return self._refuse(account)
        pool = route_model(self._feed.configuration, account, body)
        return await self._handle(http, account, pool, http.path, body)

    async def _service(self, http: web.Request) -> web.StreamResponse:
        body = await self._read_body(http)
        if isinstance(body, NotRun):
            return self._refuse(body)
        account = self._account(http)
        if isinstance(account, NotRun):
            return self._refuse(account)
        name = http.match_info["service"]
        pool = route_service(self._feed.configuration, account, name)
        path = http.raw_path.removeprefix(f"/services/{name}")
        return await self._handle(http, account, pool, path, body)

    def _account(self, http: web.Request) -> Account | NotRun:
        if not self._feed.confirmed:
            return NotRun(Reason.NO_CONFIGURATION, CLAIM_RETRY_AFTER)
        return authenticate(self._feed.configuration, http.headers)

    async def _read_body(self, http: web.Request) -> bytes | NotRun:
        try:
            return await http.read()
        except web.HTTPRequestEntityTooLarge:
            return NotRun(Reason.BODY_TOO_LARGE)

    async def _handle(
        self,
        http: web.Request,
        account: Account,
        pool: Pool | NotRun,
        path: str,
        body: bytes,
    ) -> web.StreamResponse:
        if isinstance(pool, NotRun):
            return self._refuse(pool)
        admitted = admit(
            self._feed.configuration,
            account,
            pool,
            method=http.method,
            path=path,
            headers=http.headers,
            body=body,
            now=self._clock.now(),
            default_deadline=self._limits.default_deadline,
        )
        if isinstance(admitted, NotRun):
            return self._refuse(admitted)
        return await self._relay_request(http, admitted)

    async def _relay_request(
        self, http: web.Request, admitted: Admitted
    ) -> web.StreamResponse:
        if admitted.key and not admitted.req.repeatable:
            return await self._relay_claimed(http, admitted)
        relay = self._new_relay(http, admitted)
        with self._track_in_flight():
            outcome = await self._run(relay)
        return self._finish(relay, outcome)

    async def _relay_claimed(
        self, http: web.Request, admitted: Admitted
    ) -> web.StreamResponse:
        """Run a request only while holding the claim on its Idempotency-Key.

        The request continues if the caller disconnects, so that a resend with the same
        key gets its answer.
        """
        return await asyncio.shield(spawn(self._run_claimed(http, admitted)))

    async def _run_claimed(
        self, http: web.Request, admitted: Admitted
    ) -> web.StreamResponse:
        with self._track_in_flight():
            return await self._claim_and_run(http, admitted)

    async def _claim_and_run(
        self, http: web.Request, admitted: Admitted
    ) -> web.StreamResponse:
        account = admitted.req.account
        owner = secrets.token_hex(16)
        reply = await self._feed.claims.claim(
            account=account, key=admitted.key, digest=admitted.digest, owner=owner
        )
        match reply.verdict:
            case Verdict.GRANTED:
                pass
            case Verdict.ANSWERED:
                return self._replay(reply)
            case Verdict.HELD:
                return self._refuse(Unknown(Reason.CLAIM_HELD))
            case Verdict.MISMATCH:
                return self._refuse(NotRun(Reason.CLAIM_MISMATCH))
            case _:
                self._feed.claims.release(ClaimRelease(account, admitted.key, owner))
                refusal = NotRun(Reason.CLAIM_UNAVAILABLE, CLAIM_RETRY_AFTER)
                return self._refuse(refusal)
        relay = self._new_relay(http, admitted, outlives_caller=True)
        outcome: Outcome = Unknown(Reason.LINK_LOST)
        try:
            outcome = await self._run(relay)
        finally:
            self._settle_claim(admitted, owner, relay, outcome)
        return self._finish(relay, outcome)

    def _settle_claim(
        self, admitted: Admitted, owner: str, relay: Relay, outcome: Outcome
    ) -> None:
        account, key = admitted.req.account, admitted.key
        match outcome:
            case NotRun():
                self._feed.claims.release(ClaimRelease(account, key, owner))
            case Answered(status=status) if len(relay.stored_body) <= MAX_STORED_BODY:
                body = bytes(relay.stored_body)
                done = ClaimDone(account, key, owner, status, relay.content_type, body)
                self._feed.claims.complete(done)
            case _:
                pass

    def _replay(self, reply: ClaimReply) -> web.Response:
        self._metrics.requests.inc({"outcome": "replayed"})
        headers = {"X-Leadseam-Replayed": "yes"}
        if reply.content_type:
            headers["Content-Type"] = reply.content_type
        return web.Response(status=reply.status, body=reply.body, headers=headers)

    def _new_relay(
        self, http: web.Request, admitted: Admitted, *, outlives_caller: bool = False
    ) -> Relay:
        return Relay(
            http,
            admitted.req,
            dispatcher=self._dispatcher,
            budget=self._budget,
            limits=self._limits,
            metrics=self._metrics,
            clock=self._clock,
            outlives_caller=outlives_caller,
        )

    @contextlib.contextmanager
    def _track_in_flight(self) -> Iterator[None]:
        """Count the enclosed work as in flight, so that a planned stop waits for it."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def _run(self, relay: Relay) -> Outcome:
        try:
            return await relay.run()
        except (CallerGoneError, asyncio.CancelledError):
            self._metrics.requests.inc({"outcome": "caller_gone"})
            raise

    def _finish(self, relay: Relay, outcome: Outcome) -> web.StreamResponse:
        if isinstance(outcome, Answered):
            self._metrics.requests.inc({"outcome": "answered"})
            assert relay.response is not None
            return relay.response
        if relay.response is not None:
            self._count_refusal(outcome)
            return relay.response
        return self._refuse(outcome)

    def _refuse(self, outcome: NotRun | Failed | Unknown) -> web.Response:
        self._count_refusal(outcome)
        return error_response(outcome)

    def _count_refusal(self, outcome: NotRun | Failed | Unknown) -> None:
        self._metrics.requests.inc({"outcome": outcome_name(outcome)})
        self._metrics.refusals.inc({"reason": outcome.reason.value})
