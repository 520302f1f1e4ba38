"""Client of the control feed: receives the configuration, registrations and loads."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from typing import TYPE_CHECKING, Any

from msgspec import structs

from leadseam.clock import Clock, Millis, seconds
from leadseam.control.configuration import Configuration, Operation
from leadseam.feed.aggregator_selector import AggregatorSelector
from leadseam.feed.claim_client import ClaimClient
from leadseam.feed.directory import ReplicaDirectory
from leadseam.feed.entry_count import EntryCount
from leadseam.feed.slack_ledger import LEASE
from leadseam.feed.stream_client import StreamClient
from leadseam.membership.view import UpstreamView
from leadseam.routing.part_holders import PartHolders
from leadseam.wire.backoff import Backoff
from leadseam.wire.claim import ClaimReply
from leadseam.wire.codec import decode
from leadseam.wire.crashes import Crashes
from leadseam.wire.feed import (
    CacheChanges,
    Current,
    Delta,
    Evacuated,
    Expired,
    InForce,
    Left,
    LoadSums,
    LoadTotals,
    Registered,
    Replicas,
    SlackNeed,
    Snapshot,
    Subscribe,
)
from leadseam.wire.link import LINK_ERRORS, dial
from leadseam.wire.versions import StreamFound, Versions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable, Mapping

    from leadseam.incarnation import Incarnation
    from leadseam.routing.retry_budget import SlackUse
    from leadseam.settings.models import Endpoint
    from leadseam.wire.feed import LoadReport, Registration, SlackShare
    from leadseam.wire.link import Link
    from leadseam.wire.messages import AnyMessage
    from leadseam.wire.traffic import Traffic

SILENCE_LIMIT: Millis = 2_000
"""Time without a message after which another replica is followed: four feed
heartbeats."""
MAX_RECONNECT_DELAY: Millis = 800
"""Maximum delay before another replica is tried."""
FRESH_LIMIT: Millis = 2_000
"""Maximum age of a confirmation with which something may be reported as absent: four
feed heartbeats."""

log = logging.getLogger(__name__)


class FeedClient:
    """Follows the feed of one or more control replicas.

    Args:
        node: Name of this process.
        incarnation: Incarnation of this process.
        endpoints: Internal addresses of the control replicas known at the start.
        clock: Source of time.
        traffic: Counter of bytes on internal links.
        on_change: Called with each configuration that is put in force.
        width: Number of replicas to follow at once. Defaults to 1.
        view: View that registered upstreams are added to. Defaults to an unused one.
        address_of: Returns the internal address of a control box by its name, or None.
        on_sums: Called with the sequence number of the node's own report that the sums
            include, and with the sums of all entries' loads.
        on_restarts: Called with incarnations of upstreams that have ended, as a later
            start of the same upstream is known.
        on_crashes: Called with reports of requests that crash upstreams.
        greeting: Returns the messages to send to a newly followed replica.
        failure_domain: Failure domain of a node that reports loads. Defaults to none.
        slack_use: Returns the slack of retry budgets that the node needs and has, by
            pool.
        on_slack: Called with leased shares of the slack, and the time until which they
            may be used.

    Attributes:
        configuration: The configuration in force.
        confirmed: Whether a replica has confirmed or sent a version yet.
        entries: Number of entries that replicas have counted recently.
        view: Registered upstreams and evacuated failure domains.
        holders: Prompt parts that engines hold, as replicas tell.
        claims: Client of claims on the same links.
        streams: Streams begun here, and lookups of those begun elsewhere.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        endpoints: tuple[Endpoint, ...],
        clock: Clock,
        traffic: Traffic,
        on_change: Callable[[Configuration], None],
        width: int = 1,
        view: UpstreamView | None = None,
        address_of: Callable[[str], Endpoint | None] = lambda _: None,
        on_sums: Callable[[int, LoadSums], None] = lambda _number, _sums: None,
        on_restarts: Callable[[Iterable[Incarnation]], None] = lambda _: None,
        on_crashes: Callable[[Crashes], None] = lambda _: None,
        greeting: Callable[[], Iterable[AnyMessage]] = lambda: (),
        failure_domain: str = "",
        slack_use: Callable[[], Mapping[str, SlackUse]] = dict,
        on_slack: Callable[[Iterable[SlackShare], Millis], None] = lambda *_: None,
    ) -> None:
        self.configuration = Configuration()
        self.confirmed = False
        self.entries = EntryCount()
        self.view = view or UpstreamView()
        self.holders = PartHolders()
        self._node = node
        self._incarnation = incarnation
        # Shuffled, so that the nodes of a fleet don't all try the same replica first.
        self._directory = ReplicaDirectory(random.sample(endpoints, len(endpoints)))
        self._clock = clock
        self._traffic = traffic
        self._on_change = on_change
        self._width = width
        self._address_of = address_of
        self._on_sums = on_sums
        self._on_restarts = on_restarts
        self._on_crashes = on_crashes
        self._greeting = greeting
        self._slack_use = slack_use
        self._on_slack = on_slack
        self._configured = asyncio.Event()
        self._confirmed_at: Millis = -FRESH_LIMIT
        self._followed: set[Endpoint] = set()
        self._links: list[Link] = []
        self._names: dict[Link, str] = {}
        self._failure_domain = failure_domain
        self._aggregator = AggregatorSelector(failure_domain)
        self.claims = ClaimClient(clock, self._links)
        self.streams = StreamClient(clock, self.view.versions, self.entries.recent_max)

    def __repr__(self) -> str:
        return f"FeedClient({self._node}, version={self.version})"

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first one."""
        return self.configuration.version

    @property
    def age(self) -> Millis:
        """Milliseconds since a replica confirmed this version as the newest, or -1."""
        return self._clock.now() - self._confirmed_at if self.confirmed else -1

    @property
    def fresh(self) -> bool:
        """Whether the configuration is recent enough to report something as absent."""
        return self.confirmed and self.age < FRESH_LIMIT

    async def first_configuration(self) -> None:
        """Wait until a configuration is in force."""
        await self._configured.wait()

    def set_seeds(self, endpoints: Iterable[Endpoint]) -> None:
        """Set the replicas named in the settings. Open links are kept."""
        self._directory.set_seeds(endpoints)

    async def run(self) -> None:
        """Follow the feed until cancelled, switching replicas after failures."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self._width):
                group.create_task(self._keep_following())

    async def _keep_following(self) -> None:
        backoff = Backoff(last=MAX_RECONNECT_DELAY)
        while True:
            endpoint = self._directory.next(self._followed)
            if endpoint is not None:
                await self._try_following(endpoint, backoff)
            await backoff.wait()

    async def _try_following(self, endpoint: Endpoint, backoff: Backoff) -> None:
        self._followed.add(endpoint)
        replica = str(endpoint)
        try:
            with contextlib.suppress(*LINK_ERRORS):
                await self._follow(endpoint, backoff)
        finally:
            self._followed.discard(endpoint)
            self._directory.replica_lost(endpoint)
            self.view.disconnected(replica, self._clock.now())

    def report(self, report: LoadReport) -> None:
        """Send a load report to the replica that aggregates the reports."""
        links = {name: link for link, name in self._names.items()}
        selector = self._aggregator
        before, by_domain = selector.chosen, selector.by_domain
        for name in selector.targets(links, self._clock.now()):
            probe = name != selector.chosen
            links[name].send(structs.replace(report, probe=probe))
        if selector.by_domain != by_domain:
            extra: dict[str, Any] = {"by_domain": selector.by_domain}
            log.info("aggregation by failure domain has changed", extra=extra)
        if selector.chosen != before:
            extra = {"replica": selector.chosen, "before": before}
            log.info("loads are added up by another replica", extra=extra)

    def broadcast(self, message: AnyMessage) -> None:
        """Send a message to all followed replicas."""
        for link in self._links:
            link.send(message)

    async def _follow(self, endpoint: Endpoint, backoff: Backoff) -> None:
        async with dial(endpoint.ip, endpoint.port, self._traffic) as link:
            link.send(self._subscription())
            messages = link.messages()
            try:
                await self._receive(link, messages, endpoint, backoff)
            finally:
                if link in self._links:
                    self._links.remove(link)
                    del self._names[link]
                    self.holders.drop_replica(str(endpoint))
                    self.streams.disconnected(str(endpoint))
                    log.info("replica lost", extra={"replica": str(endpoint)})

    async def _receive(
        self,
        link: Link,
        messages: AsyncIterator[AnyMessage],
        endpoint: Endpoint,
        backoff: Backoff,
    ) -> None:
        replica = str(endpoint)
        while True:
            async with asyncio.timeout(seconds(SILENCE_LIMIT)):
                message = await anext(messages, None)
            if message is None:
                return
            if link not in self._links:
                self._links.append(link)
                self._names[link] = replica
                log.info("replica followed", extra={"replica": replica})
                for greeting in self._greeting():
                    link.send(greeting)
            backoff.reset()
            self._handle(link, replica, message)
            self.streams.heard()
            if isinstance(message, Replicas):
                self._update_members(endpoint, message)
                self.streams.set_group_size(len(message.names))
                if message.holds_streams:
                    self.streams.connected(replica, link)
            if isinstance(message, Current) and message.version > self.version:
                # A delta was lost: subscribe again from the version in force.
                return

    def _subscription(self) -> Subscribe:
        now = self._clock.now()
        return Subscribe(
            self._node,
            self._incarnation,
            self.version,
            now,
            self._width,
            self._failure_domain,
            reads_versions=True,
        )

    def _handle(self, link: Link, replica: str, message: AnyMessage) -> None:
        match message:
            case Snapshot(version=version, data=data):
                # Several replicas may send the same snapshot, and decoding one takes
                # milliseconds.
                if version > self.version:
                    self._put_in_force(link, decode(data, Configuration))
            case Delta(version=version, data=data) if version == self.version + 1:
                operations = decode(data, tuple[Operation, ...])
                self._put_in_force(link, self.configuration.apply(operations))
            case Current(version=version, by_domain=mode):
                self._aggregator.set_mode(replica, mode)
                if version <= self.version:
                    self._confirm(link, message)
            case ClaimReply():
                self.claims.take_reply(message)
            case Crashes():
                self._on_crashes(message)
            case CacheChanges():
                self.holders.apply(replica, message)
            case Versions():
                self.streams.receive(replica, message)
            case StreamFound():
                self.streams.receive_reply(message)
            case _:
                self._handle_membership(replica, message)

    def _handle_membership(self, replica: str, message: AnyMessage) -> None:
        match message:
            case Registered(rows=rows, whole=whole):
                if whole:
                    self.view.connected(replica, self._clock.now())
                self._update_registrations(replica, rows)
            case Expired(incarnations=incarnations):
                self.view.expired(replica, incarnations)
            case Left(incarnations=incarnations):
                departed = self.view.left(incarnations)
                if departed:
                    extra = {"instances": list(map(str, departed))}
                    log.info("upstreams leave", extra=extra)
            case Evacuated(revision=revision, domains=domains):
                self._apply_evacuations(replica, revision, domains)
            case LoadTotals(included=included, data=data):
                if self._aggregator.answered(replica):
                    self._on_sums(included, decode(data, LoadSums))
            case _:
                return

    def _update_registrations(self, replica: str, rows: Iterable[Registration]) -> None:
        ended = self.view.update(replica, rows, self._clock.now())
        self.streams.versions_changed()
        if ended:
            extra = {"earlier": list(map(str, ended)), "replica": replica}
            log.info("upstreams have started again", extra=extra)
            self._on_restarts(ended)

    def _apply_evacuations(
        self, replica: str, revision: int, domains: tuple[str, ...]
    ) -> None:
        if self.view.evacuate(revision, domains, self._clock.now()):
            extra = {"revision": revision, "domains": domains, "replica": replica}
            log.warning("evacuations in force", extra=extra)

    def _update_members(self, replica: Endpoint, message: Replicas) -> None:
        self._aggregator.set_domain(str(replica), message.failure_domain)
        addresses = (self._address_of(name) for name in message.names)
        self._directory.set_members(
            replica, [one for one in addresses if one is not None]
        )

    def _confirm(self, link: Link, message: Current) -> None:
        self.confirmed = True
        self._confirmed_at = max(self._confirmed_at, message.echo)
        self.entries.record(message.subscribers, self._clock.now())
        if message.slack:
            self._on_slack(message.slack, message.echo + LEASE)
        link.send(self._in_force())

    def _in_force(self) -> InForce:
        needs = tuple(
            SlackNeed(pool, use.needed, use.held)
            for pool, use in self._slack_use().items()
        )
        return InForce(self.version, self._clock.now(), needs)

    def _put_in_force(self, link: Link, candidate: Configuration) -> None:
        if candidate.version <= self.version:
            return
        self.configuration = candidate
        self.confirmed = True
        self._on_change(candidate)
        self._configured.set()
        for follower in {link, *self._links}:
            # Replicas that have not sent this version yet then need not send it.
            follower.send(self._in_force())
        extra = {
            "version": candidate.version,
            "routes": len(candidate.routes),
            "accounts": len(candidate.accounts),
            "tokens_per_s": candidate.limits.tokens_per_s,
        }
        log.info("configuration in force", extra=extra)
