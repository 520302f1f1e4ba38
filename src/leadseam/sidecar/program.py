"""The sidecar program: agent, server for entries' links, feed and admin routes."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from leadseam.clock import Clock, SystemClock, sleep
from leadseam.feed.client import FeedClient
from leadseam.feed.staleness import Staleness
from leadseam.runtime.admin import serve_admin
from leadseam.runtime.metrics import Metrics, SidecarMetrics
from leadseam.runtime.suspension import SuspensionWatch
from leadseam.sidecar.agent import Agent
from leadseam.sidecar.platform import watch_platform
from leadseam.wire.link import listen

if TYPE_CHECKING:
    from aiohttp.web import AppRunner
    from websockets.asyncio.server import Server

    from leadseam.settings.models import SidecarSettings

INCARNATION_BITS = 53


class SidecarProgram:
    """A sidecar process with its servers and clients.

    Args:
        settings: Settings of the sidecar.
        clock: Source of time. Defaults to the system clock.
    """

    def __init__(
        self, settings: SidecarSettings, *, clock: Clock | None = None
    ) -> None:
        clock = clock or SystemClock()
        incarnation = secrets.randbits(INCARNATION_BITS)
        self._settings = settings
        self._metrics = Metrics()
        self.agent = Agent(
            node=settings.identity.node,
            incarnation=incarnation,
            upstream_name=settings.upstream,
            clock=clock,
            metrics=SidecarMetrics(self._metrics),
        )
        self._feed = FeedClient(
            node=settings.identity.node,
            incarnation=incarnation,
            endpoints=settings.control,
            clock=clock,
            traffic=self._metrics.traffic,
            on_change=self.agent.configure,
        )
        self._staleness = Staleness(self._feed, clock)
        self._suspension = SuspensionWatch(
            clock, self._metrics, on_resume=self._on_resume
        )
        self._links: Server | None = None
        self._admin: AppRunner | None = None

    async def start(self) -> None:
        """Start the server for entries' links and the admin server."""
        settings = self._settings
        self._links = await listen(
            settings.listen.ip,
            settings.listen.port,
            self.agent.serve,
            self._metrics.traffic,
        )
        self._admin = await serve_admin(
            settings.admin.ip, settings.admin.port, self._metrics, self._readiness
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.agent.run())
            group.create_task(self._feed.run())
            group.create_task(self._suspension.run())
            if self._settings.platform_list:
                group.create_task(self._watch_platform())

    async def _watch_platform(self) -> None:
        settings = self._settings
        await watch_platform(
            settings.platform_list,
            settings.identity.box,
            lambda: self.agent.leave("platform list"),
        )

    async def drain(self) -> None:
        """Announce the leaving, then wait for running attempts and grants."""
        self.agent.leave("stop requested")
        await sleep(self._settings.leave_delay)
        await self.agent.wait_idle()

    async def stop(self) -> None:
        """Close all connections and stop the servers."""
        await self.agent.close()
        if self._links is not None:
            self._links.close()
            await self._links.wait_closed()
        if self._admin is not None:
            await self._admin.cleanup()

    def _on_resume(self) -> None:
        self._staleness.resumed()
        self.agent.resumed()

    def _readiness(self) -> str:
        if not self._feed.confirmed:
            return "no confirmed configuration"
        if not self.agent.ready:
            return f"upstream {self._settings.upstream!r} is not configured"
        if self.agent.leaving:
            return "leaving"
        if self._staleness.is_stale():
            return "suspended, and not confirmed since"
        return ""
