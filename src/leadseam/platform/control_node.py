"""A control replica on the platform: Raft, feed, control calls, metrics."""

from __future__ import annotations

import asyncio
import logging
import secrets
from pathlib import Path
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.clock import Clock, Millis, SystemClock, process_start, sleep
from leadseam.control.replica import Replica
from leadseam.control.replica_identity import prepare_folder
from leadseam.control.service import ControlService
from leadseam.control.storage import Storage
from leadseam.errors import StorageError
from leadseam.feed.evacuation_routes import evacuation_routes
from leadseam.feed.server import FeedServer
from leadseam.feed.verdict_routes import verdict_routes
from leadseam.membership.registry import Registry
from leadseam.platform.control_api import ControlApi
from leadseam.platform.watch import SettingsWatch
from leadseam.runtime.admin import serve_admin
from leadseam.runtime.metrics import ControlMetrics, Metrics
from leadseam.runtime.suspension import SuspensionWatch
from leadseam.wire.link import listen

if TYPE_CHECKING:
    from aiohttp.web import AppRunner
    from websockets.asyncio.server import Server as LinkServer

    from leadseam.control.storage import RecoveredState
    from leadseam.platform.settings import NodeSettings

FAILURE_POLL: Millis = 200

log = logging.getLogger(__name__)


class ControlNode:
    """One control replica and everything it serves.

    A box is named by its IP number in the group, so its address needs no directory.

    Args:
        settings: Its settings.
        path: File that they came from.
        renew: Whether a write has failed before, so that the disk has to take all that
            it holds once more.
        clock: Source of time. Defaults to the machine's.

    Raises:
        StorageError: If the disk cannot be read, or written where that is tried.
    """

    def __init__(
        self,
        settings: NodeSettings,
        path: Path,
        *,
        renew: bool = False,
        clock: Clock | None = None,
    ) -> None:
        assert settings.data_dir is not None
        assert settings.control is not None
        clock = clock or SystemClock()
        folder = Path(settings.data_dir)
        seeds = {endpoint.ip: endpoint for endpoint in settings.seeds}
        bootstrap = settings.bootstrap and settings.ip in seeds
        identity = prepare_folder(
            folder, settings.ip, bootstrap_boxes=tuple(seeds) if bootstrap else ()
        )
        self._settings = settings
        self._metrics = Metrics()
        metrics = ControlMetrics(self._metrics)
        self._storage = Storage(folder)
        recovered = self._storage.open()
        if renew:
            self._rewrite_storage(recovered)
        self.replica = Replica(
            name=settings.ip,
            identity=identity,
            endpoints=seeds,
            address_of=settings.internal_endpoint,
            storage=self._storage,
            recovered=recovered,
            clock=clock,
            metrics=metrics,
            traffic=self._metrics.traffic,
            seed=secrets.randbits(64),
            tolerated_losses=settings.loss_tolerance,
            # After a failed write it is the same process that answered leaders before.
            silent_since=None if renew else process_start(),
        )
        self._feed = FeedServer(
            self.replica,
            metrics,
            registry=Registry(settings.heartbeat_interval),
            clock=clock,
            resend_limit=settings.resend_limit,
        )
        self._service = ControlService(
            self.replica,
            self._feed,
            clock,
            metrics,
            min_voters=2 * settings.loss_tolerance + 1,
        )
        self._api = ControlApi(self._service)
        self._watch = SettingsWatch(path, settings, self._on_settings)
        # Nothing to do: leases and ages go by a clock that counts the time away.
        self._suspension = SuspensionWatch(clock, self._metrics)
        self._links: LinkServer | None = None
        self._runner: AppRunner | None = None
        self._admin: AppRunner | None = None

    async def start(self) -> None:
        """Bind all sockets."""
        settings = self._settings
        assert settings.control is not None
        self._links = await listen(
            settings.ip, settings.internal_port, self._feed.serve, self._metrics.traffic
        )
        app = self._api.application()
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
        await self._runner.setup()
        await web.TCPSite(
            self._runner, settings.control.ip, settings.control.port
        ).start()
        self._admin = await serve_admin(
            settings.ip,
            settings.metrics_port,
            self._metrics,
            self.replica.readiness,
            more=[
                *verdict_routes(self._feed.crashes, own_ip=settings.ip),
                *evacuation_routes(self._service, self._feed, own_ip=settings.ip),
            ],
        )

    async def run(self) -> None:
        """Serve until cancelled.

        Raises:
            ExceptionGroup: With a `StorageError`, if the disk fails. Another node of
                this class reads again what it holds.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self.replica.run())
            group.create_task(self._feed.run())
            group.create_task(self._watch.run())
            group.create_task(self._raise_on_failure())
            group.create_task(self._suspension.run())

    async def drain(self) -> None:
        """Nothing is in flight for long; the group is told that this box stops."""
        await self.replica.leave()

    async def stop(self) -> None:
        """Release all sockets and the disk."""
        if self._links is not None:
            self._links.close()
        for runner in (self._runner, self._admin):
            if runner is not None:
                await runner.cleanup()
        self.replica.close()
        self._storage.close()

    def _rewrite_storage(self, recovered: RecoveredState) -> None:
        try:
            self._storage.rewrite(recovered)
        except StorageError:
            self._storage.close()
            raise

    async def _raise_on_failure(self) -> None:
        while not self.replica.failure:
            await sleep(FAILURE_POLL)
        raise StorageError(self.replica.failure)

    def _on_settings(self, settings: NodeSettings) -> None:
        self.replica.set_endpoints({one.ip: one for one in settings.seeds})
