"""The control process: a replica, its feed, the operators' RPC and the admin routes."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from pathlib import Path
from typing import TYPE_CHECKING

from grpclib.server import Server

from leadseam.clock import Clock, SystemClock
from leadseam.control.operator_service import OperatorService
from leadseam.control.replica import Replica
from leadseam.control.replica_identity import prepare_folder
from leadseam.control.storage import Storage, read_identity
from leadseam.errors import StorageError
from leadseam.feed.server import FeedServer
from leadseam.runtime.admin import serve_admin
from leadseam.runtime.metrics import ControlMetrics, Metrics
from leadseam.runtime.suspension import SuspensionWatch
from leadseam.wire.link import listen

if TYPE_CHECKING:
    from aiohttp.web import AppRunner
    from websockets.asyncio.server import Server as LinkServer

    from leadseam.settings.models import ControlSettings


def open_folder(settings: ControlSettings, *, bootstrap: bool) -> str:
    """Initialize the data folder if it is empty.

    Args:
        settings: Settings of the process.
        bootstrap: Whether to bootstrap a new group rather than join one.

    Returns:
        The replica's identity.

    Raises:
        StorageError: If the folder cannot be used, or if `bootstrap` is set and the
            folder is already in use.
    """
    folder = Path(settings.data_dir)
    existing = read_identity(folder)
    if existing is not None and bootstrap:
        raise StorageError(
            f"{folder}: holds {existing}; cannot bootstrap a group again"
        )
    bootstrap_boxes = tuple(settings.replicas) if bootstrap else ()
    return prepare_folder(
        folder, settings.identity.node, bootstrap_boxes=bootstrap_boxes
    )


class ControlProgram:
    """A control replica and all services of its process.

    Args:
        settings: Settings of the process.
        bootstrap: Whether to bootstrap a new group with an empty data folder.
        clock: Source of time. Defaults to the system clock.
    """

    def __init__(
        self,
        settings: ControlSettings,
        *,
        bootstrap: bool = False,
        clock: Clock | None = None,
    ) -> None:
        identity = open_folder(settings, bootstrap=bootstrap)
        clock = clock or SystemClock()
        metrics = Metrics()
        control_metrics = ControlMetrics(metrics)
        self._settings = settings
        self._metrics = metrics
        self._storage = Storage(Path(settings.data_dir))
        self.replica = Replica(
            name=settings.identity.node,
            identity=identity,
            endpoints=settings.replicas,
            storage=self._storage,
            recovered=self._storage.open(),
            clock=clock,
            metrics=control_metrics,
            traffic=metrics.traffic,
            seed=secrets.randbits(64),
            tolerated_losses=(len(settings.replicas) - 1) // 2,
        )
        self._feed = FeedServer(self.replica, control_metrics)
        service = OperatorService(
            self.replica, self._feed, settings.operators, control_metrics
        )
        self._operator = Server([service])
        self._suspension = SuspensionWatch(clock, metrics)
        self._links: LinkServer | None = None
        self._admin: AppRunner | None = None

    async def start(self) -> None:
        """Bind all sockets."""
        settings = self._settings
        inner = settings.replicas[settings.identity.node]
        admin = settings.admin
        self._links = await listen(
            inner.ip, inner.port, self._feed.serve, self._metrics.traffic
        )
        await self._operator.start(settings.operator.ip, settings.operator.port)
        self._admin = await serve_admin(
            admin.ip, admin.port, self._metrics, self.replica.readiness
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.replica.run())
            group.create_task(self._feed.run())
            group.create_task(self._suspension.run())

    async def drain(self) -> None:
        """Notify the group that this replica stops.

        Requests take too little time here to wait for them.
        """
        await self.replica.leave()

    async def stop(self) -> None:
        """Close all sockets and the storage."""
        self._operator.close()
        if self._links is not None:
            self._links.close()
        if self._admin is not None:
            await self._admin.cleanup()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1):
                await self._operator.wait_closed()
        self._storage.close()
