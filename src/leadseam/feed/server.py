"""Server of the control feed: subscribers, changes, heartbeats and load totals."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import secrets
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, SystemClock, seconds, sleep
from leadseam.feed.cache_watch import CacheWatch, is_watchable
from leadseam.feed.claim_server import ClaimServer
from leadseam.feed.configuration_push import (
    PRIMARY_HEAD_START,
    ConfigurationPush,
    Subscriber,
)
from leadseam.feed.crash_server import CrashServer
from leadseam.feed.domain_aggregator import DomainAggregator
from leadseam.feed.evacuation_server import RESEND_LIMIT, EvacuationServer
from leadseam.feed.slack_ledger import SlackLedger
from leadseam.feed.stream_holder import StreamHolder
from leadseam.incarnation import NO_START
from leadseam.membership.departures import Departures
from leadseam.membership.registry import DEFAULT_HEARTBEAT, Registry
from leadseam.routing.retry_budget import RetryLimits
from leadseam.runtime.tasks import spawn
from leadseam.wire.claim import Claim, ClaimDone, ClaimRelease
from leadseam.wire.codec import encode_message
from leadseam.wire.crashes import Crashes
from leadseam.wire.feed import (
    Current,
    DomainSums,
    Expired,
    InForce,
    Left,
    LoadReport,
    PartInterest,
    Registered,
    Replicas,
    Subscribe,
)
from leadseam.wire.messages import Hello
from leadseam.wire.versions import FindStream, StreamsBegan, Versions

if TYPE_CHECKING:
    from collections.abc import Collection

    from leadseam.control.replica import Replica
    from leadseam.feed.cache_watch import EventSource
    from leadseam.feed.stream_file import StreamFile
    from leadseam.membership.version_file import VersionFile
    from leadseam.runtime.metrics import ControlMetrics
    from leadseam.wire.feed import Registration, SlackShare
    from leadseam.wire.link import Link
    from leadseam.wire.messages import AnyMessage

HEARTBEAT_INTERVAL: Millis = 500
"""Interval at which the newest version is confirmed to subscribers."""
REGISTRATION_INTERVAL: Millis = 50
"""Time for which registrations are collected into one message to all subscribers. When
all control boxes have restarted, thousands of upstreams register within a second, and
sending a message for each of them to hundreds of entries takes a replica many
seconds."""
MAX_LOGGED_UPSTREAMS = 20
"""Maximum number of upstreams named in a log line."""
RUN_BITS = 53
"""Bits of the random number of a replica's run."""
MAX_DEPARTURES_SENT = 1_000
"""Maximum number of departed upstreams sent to a new subscriber. Upstreams that
departed earlier have ended long ago."""

log = logging.getLogger(__name__)


class FeedServer:
    """Serves the subscribers of one replica.

    Args:
        replica: Replica whose state is sent.
        metrics: Metrics of the replica.
        registry: Upstreams that register by heartbeat. Defaults to an empty one.
        clock: Source of time. Defaults to the system clock.
        resend_limit: Milliseconds for which operators may resend an order.
        event_source: Source of engines' cache events. Defaults to none, so that no
            engine is watched.
        box: Name of the replica's box. Defaults to none.
        failure_domain: Failure domain of the box; if empty, this replica does not
            exchange sums of loads with others.
        version_file: Where versions in service are kept. By default nowhere.
        stream_file: Where streams that entries begin are kept. By default nowhere.
        retry_limits: Fleet-wide limits on retries, whose slack is leased to entries.
            Defaults to no slack.

    Attributes:
        crashes: Server for reports of requests that crash upstreams.
        evacuations: Server for orders on failure domains.
        streams: Versions in service, and streams that entries have begun.
    """

    def __init__(
        self,
        replica: Replica,
        metrics: ControlMetrics,
        *,
        registry: Registry | None = None,
        clock: Clock | None = None,
        resend_limit: Millis = RESEND_LIMIT,
        event_source: EventSource | None = None,
        box: str = "",
        failure_domain: str = "",
        version_file: VersionFile | None = None,
        stream_file: StreamFile | None = None,
        retry_limits: RetryLimits | None = None,
    ) -> None:
        self._replica = replica
        self._metrics = metrics
        self._registry = registry or Registry(DEFAULT_HEARTBEAT)
        self._clock = clock or SystemClock()
        self._reported_departures = Departures()
        self._configured_pools: frozenset[str] = frozenset()
        self._failure_domain = failure_domain
        self._slack = SlackLedger(retry_limits or RetryLimits(slack=0))
        self._loads = DomainAggregator(box, failure_domain, secrets.randbits(RUN_BITS))
        self._subscribers: dict[int, Subscriber] = {}
        self._peer_links: dict[str, Link] = {}
        self._next_id = 0
        self._claims = ClaimServer(replica, metrics)
        self.crashes = CrashServer(
            replica, self._clock, metrics, self._broadcast, self._send_to_one
        )
        self.evacuations = EvacuationServer(
            replica, self._clock, metrics, self._broadcast, resend_limit=resend_limit
        )
        self.streams = StreamHolder(
            replica,
            self._clock,
            metrics,
            self._broadcast_versions,
            file=version_file,
            stream_file=stream_file,
        )
        self._pending_registrations: dict[str, Registration] = {}
        self._registered = asyncio.Event()
        self._push = ConfigurationPush(replica, metrics)
        self._pushing_later = False
        self._cache_watch: CacheWatch | None = None
        if event_source is not None:
            self._cache_watch = CacheWatch(
                event_source,
                engines=self._watchable_engines,
                send=self._send_to,
                clock=self._clock,
                metrics=metrics,
            )

    @property
    def subscribers(self) -> list[Subscriber]:
        """Nodes that are subscribed now."""
        return list(self._subscribers.values())

    async def run(self) -> None:
        """Send changes, heartbeats, totals and registrations until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._claims.run())
            group.create_task(self.crashes.run())
            group.create_task(self._push_changes())
            group.create_task(self._push_heartbeats())
            group.create_task(self._push_totals())
            group.create_task(self._push_registrations())
            if self._cache_watch is not None:
                group.create_task(self._cache_watch.run())

    def register(self, registration: Registration) -> None:
        """Record an upstream's heartbeat, and schedule a message if it has changed."""
        if registration.incarnation in self._replica.state.departed:
            return
        if not self._registry.heartbeat(registration, self._clock.now()):
            return
        if self._has_configured_pool(registration):
            self.streams.registered((registration,))
            self._pending_registrations[registration.instance] = registration
            self._registered.set()

    def push_registrations(self) -> None:
        """Send subscribers the registrations that have changed."""
        rows, self._pending_registrations = (
            tuple(self._pending_registrations.values()),
            {},
        )
        if not rows:
            return
        extra = {
            "count": len(rows),
            "instances": [str(row.incarnation) for row in rows[:MAX_LOGGED_UPSTREAMS]],
            "pools": sorted({row.pool for row in rows}),
            "versions": sorted({row.version or "" for row in rows}),
        }
        log.info("upstreams registered", extra=extra)
        self._broadcast(Registered(rows))

    async def _push_registrations(self) -> None:
        while True:
            await self._registered.wait()
            await sleep(REGISTRATION_INTERVAL)
            self._registered.clear()
            self.push_registrations()

    def accepts(self, registration: Registration) -> bool:
        """Return whether a registration is accepted.

        One for a pool that is not in the configuration is refused: entries can't use
        it, whoever sent it, and it might claim the address of another upstream. An
        upstream whose heartbeats this replica already receives is accepted even if its
        pool has been removed, and so are all until there is a configuration.
        """
        if not self._replica.state.configuration.version:
            return True
        return self._has_configured_pool(registration) or self._registry.is_registered(
            registration
        )

    def _has_configured_pool(self, registration: Registration) -> bool:
        return registration.pool in self._replica.state.configuration.pools

    def start_of(self, instance: str) -> int | None:
        """Return the start of an upstream that leaves without stating one, if known."""
        start = self._registry.start_of(instance)
        if start is None and not self._registry.reports_start_times:
            return NO_START
        return start

    def requests_in(self, domain: str) -> int | None:
        """Return the number of requests in progress in a failure domain.

        Returns:
            None if no entry reports its load to this replica.
        """
        rows = self._registry.rows()
        digests = {
            row.incarnation.digest() for row in rows if row.failure_domain == domain
        }
        return self._loads.requests_at(digests, self._clock.now())

    async def serve(self, link: Link) -> None:
        """Handle an internal link from another replica or from a subscriber."""
        async for message in link.messages():
            match message:
                case Subscribe():
                    await self._serve_subscriber(link, message)
                    return
                case Hello():
                    await self._serve_replica(link, message)
                    return
                case _:
                    self._metrics.unexpected_messages.inc({})
                    return

    async def _serve_replica(self, link: Link, hello: Hello) -> None:
        self._loads.connected(hello.node, hello.failure_domain)
        self._peer_links[hello.node] = link
        try:
            async for message in link.messages():
                if isinstance(message, DomainSums):
                    self._receive_sums(hello, message)
                else:
                    self._replica.receive(link, message)
        finally:
            # A restarted replica may have opened another link before.
            if self._peer_links[hello.node] is link:
                del self._peer_links[hello.node]
                self._loads.disconnected(hello.node)

    async def _serve_subscriber(self, link: Link, message: Subscribe) -> None:
        self._next_id += 1
        number = self._next_id
        subscriber = Subscriber(
            number,
            message.node,
            link,
            message.version,
            in_force=message.version,
            clock=message.clock,
            single_replica=message.replica_count == 1,
            reads_versions=message.reads_versions,
            incarnation=message.incarnation,
        )
        self._subscribers[number] = subscriber
        self._loads.subscribed(
            number, message.node, message.incarnation, message.failure_domain
        )
        try:
            self._send_initial_state(subscriber)
            async for request in link.messages():
                self._handle(subscriber, request)
        finally:
            del self._subscribers[number]
            self._loads.unsubscribed(number)
            if self._cache_watch is not None:
                self._cache_watch.remove_subscriber(number)

    def _send_initial_state(self, subscriber: Subscriber) -> None:
        """Send a new subscriber the complete state."""
        named = tuple(
            row for row in self._registry.rows() if self._has_configured_pool(row)
        )
        subscriber.link.send(Registered(named, whole=True))
        left = tuple(self._replica.state.departed)[-MAX_DEPARTURES_SENT:]
        if left:
            subscriber.link.send(Left(left))
        if subscriber.reads_versions:
            subscriber.link.send(self.streams.greeting())
        # Sent before the configuration, so that no node serves requests without them.
        if evacuated := self.evacuations.greeting():
            subscriber.link.send(evacuated)
        if crashes := self.crashes.greeting():
            subscriber.link.send(crashes)
        self._push.send(subscriber)
        self._send_heartbeat(subscriber)

    def _broadcast(self, message: AnyMessage) -> None:
        if not self._subscribers:
            return
        prepared = encode_message(message)
        for subscriber in self.subscribers:
            subscriber.link.send(prepared)

    def _send_to_one(self, message: AnyMessage) -> None:
        if self._subscribers:
            random.choice(self.subscribers).link.send(message)

    def _broadcast_versions(self, message: Versions) -> None:
        for subscriber in self.subscribers:
            if subscriber.reads_versions:
                subscriber.link.send(message)

    def _send_to(self, numbers: Collection[int], message: AnyMessage) -> None:
        """Send a message, encoded once, to some subscribers."""
        prepared = encode_message(message)
        for number in numbers:
            self._subscribers[number].link.send(prepared)

    def _watchable_engines(self) -> list[Registration]:
        pools = self._replica.state.configuration.pools
        names = {name for name, pool in pools.items() if is_watchable(pool)}
        if not names:
            return []
        return [row for row in self._registry.rows() if row.pool in names]

    def _handle(self, subscriber: Subscriber, message: AnyMessage) -> None:
        match message:
            case PartInterest():
                if self._cache_watch is not None:
                    self._cache_watch.receive(subscriber.number, message)
            case LoadReport():
                self._loads.report(subscriber.number, message, self._clock.now())
            case Crashes():
                self.crashes.receive(message)
            case InForce(version=version, clock=clock):
                subscriber.in_force = max(subscriber.in_force, version)
                subscriber.clock = max(subscriber.clock, clock)
                subscriber.slack = message.slack
            case Versions():
                self.streams.receive(message)
            case StreamsBegan():
                self.streams.began(message)
            case FindStream():
                subscriber.link.send(self.streams.find(message))
            case Claim() | ClaimDone() | ClaimRelease():
                spawn(self._claims.handle(subscriber.link, message))
            case _:
                self._metrics.unexpected_messages.inc({})

    async def _push_changes(self) -> None:
        while True:
            await self._replica.wait_for_apply()
            self._push_departures()
            self.evacuations.on_applied()
            self.crashes.on_applied()
            self._push_newly_configured()
            for subscriber in self.subscribers:
                if self._push.is_primary_for(subscriber):
                    self._push.send(subscriber)
            self._push_later()

    def _push_later(self) -> None:
        """Schedule a push to subscribers that their primary replica has not served."""
        if not self._pushing_later:
            self._pushing_later = True
            delay = seconds(PRIMARY_HEAD_START)
            asyncio.get_running_loop().call_later(delay, self._push_to_all)

    def _push_to_all(self) -> None:
        self._pushing_later = False
        for subscriber in self.subscribers:
            self._push.send(subscriber)

    def _push_departures(self) -> None:
        """Send the departures that were committed since the last call."""
        departed = self._replica.state.departed
        new = [one for one in departed if self._reported_departures.add(one)]
        if not new:
            return
        for incarnation in new:
            self._registry.remove(incarnation)
        log.info("upstreams leave", extra={"instances": list(map(str, new))})
        self._broadcast(Left(tuple(new)))

    def _push_newly_configured(self) -> None:
        """Send upstreams that registered before their pool was configured."""
        pools = frozenset(self._replica.state.configuration.pools)
        new = pools - self._configured_pools
        self._configured_pools = pools
        rows = tuple(row for row in self._registry.rows() if row.pool in new)
        if rows:
            self._broadcast(Registered(rows))

    async def _push_heartbeats(self) -> None:
        while True:
            await sleep(HEARTBEAT_INTERVAL)
            self._expire()
            self.streams.sweep(filter(self._has_configured_pool, self._registry.rows()))
            self.crashes.expire()
            self._review_loads()
            self._review_slack()
            for subscriber in self.subscribers:
                self._push.send(subscriber)
                self._send_heartbeat(subscriber)

    async def _push_totals(self) -> None:
        while True:
            await sleep(self._loads.interval)
            if self._loads.totals_overdue():
                self._send_totals()
            self._send_sums()
            self._send_totals_if_due()

    def _send_totals_if_due(self) -> None:
        if self._loads.totals_due(self._clock.now()):
            self._send_totals()

    def _send_totals(self) -> None:
        for number, totals in self._loads.totals(self._clock.now()).items():
            self._subscribers[number].link.send(totals)

    def _send_sums(self) -> None:
        """Send the sums of the reports to this replica to the other replicas."""
        now = self._clock.now()
        outgoing = self._loads.begin_interval(now)
        if outgoing is None:
            return
        prepared = encode_message(outgoing.message)
        for name in outgoing.receivers:
            if self._replica.send(name, prepared):
                self._loads.sent(name, now)
                self._metrics.domain_sums_bytes.add({}, len(prepared.data))

    def _receive_sums(self, hello: Hello, message: DomainSums) -> None:
        """Keep another replica's sums, and send totals if they are the last awaited."""
        fault = "sender"
        if message.replica == hello.node:
            fault = self._loads.receive(message, self._clock.now()) or ""
        if fault:
            self._metrics.domain_sums_rejected.inc({"fault": fault})
            return
        self._send_totals_if_due()

    def _review_loads(self) -> None:
        """Update the mode of aggregation and its metrics."""
        now = self._clock.now()
        self._loads.retain_only(self._replica.members | self._loads.peers.keys())
        self._loads.update_mode(now)
        self._metrics.by_domain.set({}, int(self._loads.mode))
        for domain, count in self._loads.entries_by_domain().items():
            self._metrics.entries_reporting.set({"failure_domain": domain}, count)
        for name, (domain, age) in self._loads.ages(now).items():
            labels = {"failure_domain": domain, "replica": name}
            value = math.nan if age is None else age
            self._metrics.domain_sums_age.set(labels, value)

    def _review_slack(self) -> None:
        """Drop shares that no longer count, and update the metrics."""
        now = self._clock.now()
        self._slack.lead(self._replica.leader_term, now)
        self._slack.expire(now)
        for pool, leased in self._slack.leased.items():
            self._metrics.slack_leased.set({"pool": pool}, leased)

    def _expire(self) -> None:
        lost = self._registry.expire(self._clock.now())
        if lost:
            extra = {"instances": list(map(str, lost))}
            log.warning("upstreams are silent", extra=extra)
            self._broadcast(Expired(lost))

    def _send_heartbeat(self, subscriber: Subscriber) -> None:
        names = tuple(sorted(self._replica.members))
        if subscriber.replicas != names:
            subscriber.replicas = names
            subscriber.link.send(
                Replicas(names, self._failure_domain, holds_streams=True)
            )
        if self._replica.is_current():
            version = self._replica.state.configuration.version
            count = len(self._subscribers)
            mode = int(self._loads.mode)
            slack = self._lease_slack(subscriber)
            subscriber.link.send(Current(version, subscriber.clock, count, mode, slack))

    def _lease_slack(self, subscriber: Subscriber) -> tuple[SlackShare, ...]:
        now = self._clock.now()
        self._slack.lead(self._replica.leader_term, now)
        return self._slack.lease(subscriber.process, subscriber.slack, now)
