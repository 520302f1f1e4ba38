"""Process of a control replica: Raft, feed, control calls and metrics."""

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
from leadseam.control.storage import Storage, read_identity
from leadseam.errors import StorageError
from leadseam.feed.evacuation_routes import evacuation_routes
from leadseam.feed.server import FeedServer
from leadseam.feed.stream_file import StreamFile
from leadseam.feed.verdict_routes import verdict_routes
from leadseam.membership.registry import Registry
from leadseam.membership.version_file import VersionFile
from leadseam.peers.limits import PeerLimits
from leadseam.platform.control_api import MAX_DOCUMENT_BYTES, ControlApi
from leadseam.platform.engine_cache import EngineCacheCalls
from leadseam.platform.watch import SettingsWatch
from leadseam.runtime.admin import serve_admin
from leadseam.runtime.entry_room import resident_bytes
from leadseam.runtime.held_connection import HeldAppRunner
from leadseam.runtime.metrics import ControlMetrics, Metrics
from leadseam.runtime.peer_guard import PeerGuard
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
    """One control replica with its sockets and storage.

    The group identifies a box by its IP address, so no directory lookup is needed to
    reach it.

    Args:
        settings: Settings of the process.
        path: File from which the settings were read.
        renew: Whether to write the recovered state to disk again, because a write has
            failed in this process before.
        clock: Source of time. Defaults to the system clock.

    Raises:
        StorageError: If the data folder cannot be read, or if writing it again fails.
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
        version_file = VersionFile(folder)
        if bootstrap and read_identity(folder) is None:
            version_file.create()
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
            failure_domain=settings.failure_domain,
            # After a failed write this is still the process that answered leaders.
            silent_since=None if renew else process_start(),
        )
        self._feed = FeedServer(
            self.replica,
            metrics,
            registry=Registry(settings.heartbeat_interval),
            clock=clock,
            resend_limit=settings.resend_limit,
            event_source=EngineCacheCalls(),
            box=settings.ip,
            failure_domain=settings.failure_domain,
            version_file=version_file,
            stream_file=StreamFile(folder),
            retry_limits=settings.retry_limits,
        )
        self._service = ControlService(
            self.replica,
            self._feed,
            clock,
            metrics,
            min_voters=2 * settings.loss_tolerance + 1,
        )
        self._api = ControlApi(self._service)
        self._guard = PeerGuard(
            PeerLimits.of_box(
                memory_mb=settings.memory_mb,
                resident=resident_bytes(),
                sockets=settings.max_sockets,
            ),
            clock,
            self._metrics,
        )
        self._watch = SettingsWatch(path, settings, self._on_settings)
        # No callback: leases and ages use a clock that includes suspended time.
        self._suspension = SuspensionWatch(clock, self._metrics)
        self._links: LinkServer | None = None
        self._runner: AppRunner | None = None
        self._admin: AppRunner | None = None

    async def start(self) -> None:
        """Bind all sockets and start serving."""
        settings = self._settings
        assert settings.control is not None
        self._links = await listen(
            settings.ip, settings.internal_port, self._feed.serve, self._metrics.traffic
        )
        app = self._api.application()
        self._runner = HeldAppRunner(
            app,
            self._guard,
            max_body=MAX_DOCUMENT_BYTES,
            access_log=None,
            shutdown_timeout=0.2,
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, settings.control.ip, settings.control.port
        ).start()
        self._admin = await serve_admin(
            settings.ip,
            settings.metrics_port,
            self._metrics,
            self.replica.readiness,
            extra_routes=[
                *verdict_routes(self._feed.crashes, own_ip=settings.ip),
                *evacuation_routes(self._service, self._feed, own_ip=settings.ip),
            ],
        )

    async def run(self) -> None:
        """Run the background tasks until cancelled.

        Raises:
            ExceptionGroup: With a `StorageError`, if the disk fails. A new instance of
                this class then recovers the state from disk.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self.replica.run())
            group.create_task(self._guard.run())
            group.create_task(self._feed.run())
            group.create_task(self._watch.run())
            group.create_task(self._raise_on_failure())
            group.create_task(self._suspension.run())

    async def drain(self) -> None:
        """Announce to the group that this box stops.

        No call takes long enough to wait for it.
        """
        await self.replica.leave()

    async def stop(self) -> None:
        """Close all sockets and the storage."""

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
