"""Process of an entry: feed, gateway, callers' socket, readiness and metrics."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, SystemClock, sleep
from leadseam.feed.client import FeedClient
from leadseam.feed.report_interval import MIN_INTERVAL, interval_for, report_size
from leadseam.feed.staleness import Staleness
from leadseam.handover.receiver import HandOverReceiver
from leadseam.handover.sender import HandOverSender
from leadseam.handover.targets import HandOverTargets
from leadseam.membership.versions import stream_lifetime
from leadseam.membership.view import UpstreamView
from leadseam.peers.limits import PeerLimits
from leadseam.platform.front import ACCEPTORS, UNCONFIGURED, FrontServer, ReadyServer
from leadseam.platform.headers import PlatformDialect
from leadseam.platform.refusal import encode_refusal
from leadseam.platform.watch import SettingsWatch
from leadseam.routing.client import UpstreamClient
from leadseam.routing.entry_room import EntryRooms
from leadseam.routing.gateway import Gateway
from leadseam.routing.part_interest import SEND_INTERVAL
from leadseam.runtime.admin import serve_admin
from leadseam.runtime.entry_room import RoomSensor, resident_bytes
from leadseam.runtime.lag import LoopLag
from leadseam.runtime.metrics import Metrics, RoutingMetrics
from leadseam.runtime.peer_guard import PeerGuard
from leadseam.runtime.suspension import SuspensionWatch
from leadseam.wire.feed import EntryRoom, PartInterest
from leadseam.wire.link import listen

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

    from aiohttp.web import AppRunner
    from websockets.asyncio.server import Server

    from leadseam.control.configuration import Configuration
    from leadseam.control.routes import CallerLimits
    from leadseam.incarnation import Incarnation
    from leadseam.platform.settings import NodeSettings
    from leadseam.routing.retry_budget import SlackUse
    from leadseam.wire.crashes import Crashes
    from leadseam.wire.feed import LoadSums, SlackShare
    from leadseam.wire.messages import AnyMessage

INCARNATION_BITS = 53
REPLICAS_FOLLOWED = 9
"""Control replicas followed at once: all, as upstreams register with any of them."""
SWEEP_INTERVAL: Millis = 500
STOP_NOTICE: Millis = 2_600
"""Time from the request to stop until idle connections are closed. The platform checks
readiness once a second and removes a box after two failed checks; new connections keep
arriving until then."""
STOP_RESERVE: Millis = 700
"""Time reserved for an orderly shutdown before the platform kills the process."""
DRAIN_POLL: Millis = 50
MILLICORES = 1_000
"""Thousandths of a core."""

log = logging.getLogger(__name__)


class EntryNode:
    """One entry with its sockets and background tasks.

    Args:
        settings: Settings of the process.
        path: File from which the settings were read.
        clock: Source of time. Defaults to the system clock.
    """

    def __init__(
        self, settings: NodeSettings, path: Path, *, clock: Clock | None = None
    ) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._metrics = Metrics()
        self._view = UpstreamView(
            settings.regions, heartbeat_interval=settings.heartbeat_interval
        )
        self._feed = FeedClient(
            node=settings.node,
            incarnation=secrets.randbits(INCARNATION_BITS),
            endpoints=settings.seeds,
            clock=self._clock,
            traffic=self._metrics.traffic,
            on_change=self._configure,
            width=REPLICAS_FOLLOWED,
            view=self._view,
            address_of=settings.internal_endpoint,
            on_sums=self._apply_sums,
            on_restarts=self._end_attempts,
            on_crashes=self._receive_crashes,
            greeting=self._initial_messages,
            failure_domain=settings.failure_domain,
            slack_use=self._slack_use,
            on_slack=self._set_slack,
        )
        self._routing_metrics = RoutingMetrics(self._metrics)
        self._room = RoomSensor(self._clock, memory_mb=settings.memory_mb)
        self._guard = PeerGuard(
            PeerLimits.of_box(
                memory_mb=settings.memory_mb,
                resident=resident_bytes(),
                sockets=max(settings.max_sockets - ACCEPTORS, 0),
            ),
            self._clock,
            self._metrics,
        )
        self._lag = LoopLag(self._clock, self._record_lag)
        self._suspension = SuspensionWatch(
            self._clock, self._metrics, on_resume=self._on_resume
        )
        self._staleness = Staleness(self._feed, self._clock)
        self._watch = SettingsWatch(path, settings, self._on_settings)
        internal = settings.internal_endpoint(settings.ip)
        self._address = f"{internal.ip}:{internal.port}"
        self._targets = HandOverTargets(settings.failure_domain, self._address)
        self._sender = HandOverSender(
            self._targets,
            guard=self._guard,
            clock=self._clock,
            metrics=self._metrics,
            encode=encode_refusal,
        )
        self._receiver: HandOverReceiver | None = None
        self._links: Server | None = None
        self._client: UpstreamClient | None = None
        self._gateway: Gateway | None = None
        self._front: FrontServer | None = None
        self._ready = ReadyServer(self._readiness)
        self._admin: AppRunner | None = None
        self._stopping = False

    async def start(self) -> None:
        """Bind all sockets and start serving."""
        settings = self._settings
        assert settings.front is not None
        assert settings.ready is not None
        self._client = UpstreamClient(self._clock)
        self._gateway = Gateway(
            feed=self._feed,
            dialect=PlatformDialect(),
            client=self._client,
            clock=self._clock,
            retry_limits=settings.retry_limits,
            metrics=self._routing_metrics,
            rng=random.Random(secrets.randbits(64)),
            lag=self._lag,
            connections=self._open_connections,
            entry=settings.node,
            failure_domain=settings.failure_domain,
            holders=self._feed.holders,
            rooms=EntryRooms(
                settings.failure_domain,
                enabled=settings.processor_share > 0 and settings.memory_mb > 0,
            ),
            targets=self._targets,
        )
        self._front = FrontServer(
            self._gateway.handle,
            guard=self._guard,
            decide=self._gateway.decide_early,
            pass_on=self._sender.hand_over,
            limits=self._caller_limits,
            on_refusal=self._gateway.count_refusal,
        )
        self._receiver = HandOverReceiver(
            self._front.make_handed_connection,
            lambda: not self._readiness(),
            self._metrics,
        )
        self._links = await listen(
            settings.ip,
            settings.internal_port,
            self._receiver.serve,
            self._metrics.traffic,
        )
        await self._front.start(settings.front)
        await self._ready.start(settings.ready)
        self._admin = await serve_admin(
            settings.ip, settings.metrics_port, self._metrics, self._readiness
        )

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        assert self._gateway is not None
        async with asyncio.TaskGroup() as group:
            group.create_task(self._feed.run())
            group.create_task(self._gateway.placer.account_log.run())
            group.create_task(self._watch.run())
            group.create_task(self._sweep())
            group.create_task(self._report_load())
            group.create_task(self._sender.run())
            group.create_task(self._send_part_interest())
            group.create_task(self._lag.run())
            group.create_task(self._guard.run())
            group.create_task(self._suspension.run())

    async def drain(self) -> None:
        """Report not ready, keep serving, and return after the last response.

        Returns earlier if the grace period of the platform is about to end.
        """
        assert self._gateway is not None
        assert self._front is not None
        started = self._clock.now()
        self._stopping = True
        self._gateway.stopping = True
        deadline = started + self._settings.grace - STOP_RESERVE
        await sleep(STOP_NOTICE)
        await self._front.close_idle()
        while self._in_flight() and self._clock.now() < deadline:
            await sleep(DRAIN_POLL)
        extra = {
            "in_flight": self._in_flight(),
            "ms": self._clock.now() - started,
        }
        log.info("drained", extra=extra)

    def _in_flight(self) -> int:
        """Return the number of callers' requests that have not ended."""
        assert self._gateway is not None
        return self._gateway.in_flight + self._sender.handed

    async def stop(self) -> None:
        """Close all sockets."""
        if self._receiver is not None:
            await self._receiver.close()
        if self._links is not None:
            self._links.close()
        if self._front is not None:
            await self._front.stop()
        if self._client is not None:
            await self._client.close()
        await self._ready.stop()
        if self._admin is not None:
            await self._admin.cleanup()

    async def _sweep(self) -> None:
        while True:
            await sleep(SWEEP_INTERVAL)
            self._view.sweep(self._clock.now())
            if self._gateway is not None:
                self._gateway.crash_guard.review()
                self._gateway.request_log.update_dropped_lines()
                self._gateway.log_retries()
                self._gateway.placer.sweep()
                paused = self._gateway.placer.paused_count()
                self._routing_metrics.paused_upstreams.set({}, paused)
                others = self._gateway.rooms.others_with_room(self._clock.now())
                self._routing_metrics.entries_with_room.set({}, others)
                bound = self._gateway.placer.memory_bound_pools()
                self._routing_metrics.memory_bound_pools.set({}, bound)
            self._feed.streams.sweep(stream_lifetime(self._feed.configuration))
            for pool in self._view.versions.pools():
                count = len(self._view.versions.versions(pool))
                self._routing_metrics.versions_in_service.set({"pool": pool}, count)
            evacuated = len(self._view.evacuated)
            self._routing_metrics.evacuated_domains.set({}, evacuated)

    async def _report_load(self) -> None:
        assert self._gateway is not None
        interval = MIN_INTERVAL
        while True:
            await sleep(interval)
            report = self._gateway.placer.load_report(self._own_room())
            self._feed.report(report)
            interval = interval_for(report_size(report))

    async def _send_part_interest(self) -> None:
        assert self._gateway is not None
        placer = self._gateway.placer
        while True:
            await sleep(SEND_INTERVAL)
            due = placer.part_interest.due(self._clock.now())
            if due:
                self._feed.broadcast(PartInterest(due))
            self._routing_metrics.part_rows.set({}, len(placer.holders))
            count = len(placer.part_interest)
            self._routing_metrics.parts_of_interest.set({}, count)

    def _own_room(self) -> EntryRoom | None:
        """Return whether this entry has room, or None if it does not know its limits.

        One that is not ready gets no callers.
        """
        assert self._gateway is not None
        if not self._gateway.rooms.enabled:
            return None
        # After a long iteration of the loop, this may run before the measurement.
        self._room.record_lag(self._lag.millis)
        has_room = self._room.has_room() and not self._readiness()
        return EntryRoom(
            self._settings.failure_domain,
            has_room,
            self._address if self._links is not None else "",
            round(self._settings.processor_share * MILLICORES),
        )

    def _caller_limits(self) -> CallerLimits:
        configuration = self._feed.configuration
        return configuration.limits if configuration.version else UNCONFIGURED

    def _open_connections(self) -> int:
        return len(self._front.connections) if self._front is not None else 0

    def _on_resume(self) -> None:
        assert self._gateway is not None
        self._staleness.resumed()
        self._gateway.resumed()

    def _record_lag(self, lag: Millis) -> None:
        self._routing_metrics.lag.set({}, lag)
        self._room.record_lag(lag)
        if self._gateway is not None:
            self._gateway.placer.account_log.record_lag(lag)

    def _apply_sums(self, included: int, sums: LoadSums) -> None:
        assert self._gateway is not None
        own = self._gateway.placer.apply_sums(included, sums)
        own_room = own.room if own is not None else None
        now = self._clock.now()
        self._gateway.rooms.apply(sums.rooms, own_room, now)
        if self._gateway.rooms.enabled:
            self._targets.apply(sums.offers, now)

    def _end_attempts(self, ended_incarnations: Iterable[Incarnation]) -> None:
        assert self._gateway is not None
        ended_incarnations = tuple(ended_incarnations)
        ended = self._gateway.restarts.end_attempts(ended_incarnations)
        for incarnation in ended_incarnations:
            self._gateway.crash_guard.ended(incarnation)
        if ended:
            log.info("attempts at earlier starts ended", extra={"attempts": ended})

    def _receive_crashes(self, message: Crashes) -> None:
        assert self._gateway is not None
        self._gateway.crash_guard.receive(message)

    def _slack_use(self) -> dict[str, SlackUse]:
        assert self._gateway is not None
        return self._gateway.budget.slack_use(self._clock.now())

    def _set_slack(self, shares: Iterable[SlackShare], until: Millis) -> None:
        assert self._gateway is not None
        now = self._clock.now()
        for share in shares:
            self._gateway.budget.set_share(share.pool, share.retries, until, now)

    def _initial_messages(self) -> Iterator[AnyMessage]:
        """Yield the messages to a newly followed replica."""
        assert self._gateway is not None
        if report := self._gateway.crash_guard.initial_report():
            yield report
        interest = self._gateway.placer.part_interest
        if parts := interest.current(self._clock.now()):
            yield PartInterest(parts)

    def _configure(self, configuration: Configuration) -> None:
        assert self._gateway is not None
        self._gateway.configure(configuration)

    def _on_settings(self, settings: NodeSettings) -> None:
        self._feed.set_seeds(settings.seeds)

    def _readiness(self) -> str:
        if self._stopping:
            return "stopping"
        if not self._feed.confirmed:
            return "no confirmed configuration"
        if self._staleness.is_stale():
            return "suspended, and not confirmed since"
        return ""
