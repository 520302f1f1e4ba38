"""The entry program: HTTP interface, links to sidecars, feed and admin routes."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.clock import Clock, Millis, SystemClock, sleep
from leadseam.entry.dispatcher import Dispatcher
from leadseam.entry.http import Frontend
from leadseam.feed.client import FeedClient
from leadseam.feed.staleness import Staleness
from leadseam.peers.limits import PeerLimits
from leadseam.runtime.admin import admin_routes, serve_http
from leadseam.runtime.metrics import EntryMetrics, Metrics
from leadseam.runtime.peer_guard import PeerGuard
from leadseam.runtime.suspension import SuspensionWatch

if TYPE_CHECKING:
    from leadseam.settings.models import EntrySettings

INCARNATION_BITS = 53
DRAIN_POLL: Millis = 50
MIN_IDLE_POLLS = 4


class EntryProgram:
    """An entry process with its HTTP server and its clients.

    Args:
        settings: Settings of the entry.
        clock: Source of time. Defaults to the system clock.
    """

    def __init__(self, settings: EntrySettings, *, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        incarnation = secrets.randbits(INCARNATION_BITS)
        node = settings.identity.node
        self._settings = settings
        self._metrics = Metrics()
        metrics = EntryMetrics(self._metrics)
        self.dispatcher = Dispatcher(
            node=node,
            incarnation=incarnation,
            clock=clock,
            limits=settings.limits,
            metrics=metrics,
            traffic=self._metrics.traffic,
        )
        self._feed = FeedClient(
            node=node,
            incarnation=incarnation,
            endpoints=settings.control,
            clock=clock,
            traffic=self._metrics.traffic,
            on_change=self.dispatcher.configure,
        )
        self._frontend = Frontend(
            dispatcher=self.dispatcher,
            feed=self._feed,
            limits=settings.limits,
            metrics=metrics,
            clock=clock,
        )
        self._staleness = Staleness(self._feed, clock)
        self._suspension = SuspensionWatch(
            clock, self._metrics, on_resume=self._on_resume
        )
        self._guard = PeerGuard(
            PeerLimits(max_bytes=settings.limits.waiting_bytes), clock, self._metrics
        )
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start the HTTP server."""
        app = web.Application(
            client_max_size=self._settings.limits.body_bytes,
            middlewares=[self._frontend.count],
        )
        app.add_routes(self._frontend.routes())
        app.add_routes(admin_routes(self._metrics, self._readiness))
        app.on_response_prepare.append(self._frontend.on_prepare)
        listen = self._settings.listen
        self._runner = await serve_http(
            listen.ip,
            listen.port,
            app,
            guard=self._guard,
            max_body=self._settings.limits.body_bytes,
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.dispatcher.run())
            group.create_task(self._feed.run())
            group.create_task(self._guard.run())
            group.create_task(self._suspension.run())

    async def drain(self) -> None:
        """Fail the readiness check, stop accepting, and wait for requests in flight."""
        self._frontend.stopping = True
        await sleep(self._settings.drain_delay)
        assert self._runner is not None
        for site in list(self._runner.sites):
            await site.stop()
        idle_polls = 0
        while idle_polls < MIN_IDLE_POLLS:
            await sleep(DRAIN_POLL)
            # A connection accepted just before may not have sent its request yet, so
            # several polls in a row must find no request in flight.
            idle_polls = 0 if self._frontend.in_flight else idle_polls + 1

    async def stop(self) -> None:
        """Stop the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _on_resume(self) -> None:
        self._staleness.resumed()
        self.dispatcher.timeouts.rearm()

    def _readiness(self) -> str:
        if self._frontend.stopping:
            return "stopping"
        if not self._feed.confirmed:
            return "no confirmed configuration"
        if self._staleness.is_stale():
            return "suspended, and not confirmed since"
        if not self.dispatcher.connected:
            return "connecting to sidecars"
        return ""
