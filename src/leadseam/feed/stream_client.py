"""Streams that an entry begins, and the lookup of those that other entries began.

While a pool has several versions, an entry tells two replicas of each stream that it
begins, in a large fleet one; whoever continues a stream asks all replicas. So a stream
that is not resumed costs as many rows, whatever the number of entries.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.clock import Millis, seconds, sleep
from leadseam.routing.stream_origin import (
    AMBIGUOUS,
    StreamOrigin,
    StreamTable,
    pack_digests,
    stream_digest,
)
from leadseam.runtime.tasks import spawn
from leadseam.wire.versions import FindStream, StreamFound, StreamsBegan, Versions

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from leadseam.clock import Clock
    from leadseam.membership.versions import VersionTable
    from leadseam.wire.link import Link

HOLDERS = 2
"""Replicas that are told of a stream, so that one of them may be lost."""
MAX_ENTRIES_OF_TWO_HOLDERS = 80
"""Number of entries above which one replica is told. With 22 streams a second at each
entry, a replica would receive more than 20 KB/s otherwise."""
MIN_SEND_INTERVAL: Millis = 10
"""Time between two messages, for which streams are collected, in a small fleet."""
ENTRIES_PER_MILLI = 2
"""Entries of a large fleet for each millisecond of that time, so that all replicas
together receive at most some 4,000 such messages a second."""
ASK_INTERVAL: Millis = 50
"""Time after which a question is repeated: the row may be on its way."""
ASK_MARGIN: Millis = 100
"""Time to ask for, beyond twice the time for which streams are collected: some round
trips and iterations of a busy event loop."""
OUTAGE_LIMIT: Millis = 1_500
"""Time to ask for while no replica is heard, or one has just started."""
CONTACT_LIMIT: Millis = 600
"""Time without a message of any replica after which a version may be in service that
this entry does not know: a feed heartbeat and some delay."""
MAX_RESTART_TIME: Millis = 5_000
"""Time without a message after which the replicas are cut off rather than restarting,
so that waiting for one does not help."""
MAX_LOOKUPS = 256
"""Maximum lookups in progress; further ones fail at once."""
MAX_STREAMS_PER_MESSAGE = 1_000

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Lookup:
    """A question to all followed replicas.

    Args:
        fut: Future of the first positive reply.
        outage: Whether a replica that was told of the stream may not have it yet.
    """

    fut: asyncio.Future[StreamOrigin] = field(default_factory=asyncio.Future)
    outage: bool = False


class StreamClient:
    """Streams begun by one entry, and lookups at the replicas that it follows.

    Args:
        clock: Source of time.
        versions: Versions in service, as the entry knows them.
        entries: Returns the number of entries; 0 if unknown.
    """

    def __init__(
        self,
        clock: Clock,
        versions: VersionTable,
        entries: Callable[[Millis], int],
    ) -> None:
        self._clock = clock
        self._versions = versions
        self._entries = entries
        self._started = clock.now()
        self._last_heard = clock.now()
        self._complete = False
        self._complete_replicas: set[str] = set()
        self._group_size = 0
        self._streams = StreamTable()
        self._links: dict[str, Link] = {}
        self._sent_revision = 0
        self._published: set[str] = set()
        self._unsent: dict[int, StreamOrigin] = {}
        self._sending = False
        self._tickets = itertools.count(1)
        self._lookups: dict[int, _Lookup] = {}

    def __repr__(self) -> str:
        return f"StreamClient({self._streams!r}, lookups={len(self._lookups)})"

    @property
    def replicas(self) -> int:
        """Number of replicas that are told of streams and asked for them."""
        return len(self._links)

    def is_mixed(self, pool: str) -> bool:
        """Return whether streams of a pool may have begun at several versions.

        That is also so while no replica is heard, which would tell of a new version.
        """
        return self.silence() > CONTACT_LIMIT or self._is_known_mixed(pool)

    def silence(self) -> Millis:
        """Return the milliseconds since a message of any replica was handled."""
        return self._clock.now() - self._last_heard

    def heard(self) -> None:
        """Record that a message of any replica has been handled."""
        self._last_heard = self._clock.now()

    def began(self, account: str | None, request_id: str, origin: StreamOrigin) -> None:
        """Record that a caller gets the first event of a stream."""
        stream = stream_digest(account, request_id)
        self._streams.add(stream, origin)
        if self._is_known_mixed(origin.pool):
            self._publish([(stream, origin)])

    async def find(
        self,
        account: str | None,
        request_id: str,
        *,
        pools: Collection[str],
        time_left: Millis,
    ) -> StreamOrigin | None:
        """Return where a stream began, or None if that cannot be determined.

        Args:
            account: Client account of the caller, or None.
            request_id: Id of the caller's attempt that brought the first event.
            pools: Pools that may have begun it. Nothing is asked once none is mixed.
            time_left: Milliseconds for which the caller still waits.
        """
        stream = stream_digest(account, request_id)
        origin = self._streams.find(stream)
        if origin is None:
            origin = await self._ask(stream, pools, time_left)
        return None if origin is AMBIGUOUS else origin

    def connected(self, replica: str, link: Link) -> None:
        """Record a replica that holds streams, and send it what this entry knows."""
        if replica in self._links:
            return
        self._links[replica] = link
        link.send(self._own_versions())
        for pool in filter(self._is_known_mixed, self._versions.pools()):
            _send(link, self._streams.of_pool(pool))

    def set_group_size(self, replicas: int) -> None:
        """Set the number of replicas in the control group, as a replica states it."""
        self._group_size = max(self._group_size, replicas)
        self._update_complete()

    def disconnected(self, replica: str) -> None:
        """Record that a replica is no longer followed."""
        self._links.pop(replica, None)

    def receive(self, replica: str, message: Versions) -> None:
        """Merge versions that a replica knows."""
        self._versions.merge(message.rows, self._clock.now())
        if message.complete:
            self._complete_replicas.add(replica)
            self._update_complete()
        self.versions_changed()

    def receive_reply(self, reply: StreamFound) -> None:
        """Handle a replica's reply; one that no lookup waits for is dropped."""
        lookup = self._lookups.get(reply.ticket)
        if lookup is None:
            return
        lookup.outage = lookup.outage or reply.recent_start
        if reply.known and not lookup.fut.done():
            lookup.fut.set_result(StreamOrigin(reply.pool, reply.version))

    def versions_changed(self) -> None:
        """Tell replicas of new versions, and of all streams of pools now mixed."""
        if self._versions.revision != self._sent_revision:
            self._sent_revision = self._versions.revision
            message = self._own_versions()
            for link in self._links.values():
                link.send(message)
        mixed = set(filter(self._versions.is_mixed, self._versions.pools()))
        for pool in mixed - self._published:
            log.info(
                "pool has several versions",
                extra={"pool": pool, "versions": sorted(self._versions.versions(pool))},
            )
            self._publish(self._streams.of_pool(pool))
        for pool in self._published - mixed:
            log.info("pool has one version", extra={"pool": pool})
        self._published = mixed

    def sweep(self, lifetime: Millis) -> None:
        """Drop streams that can no longer be resumed; call it periodically.

        Args:
            lifetime: Milliseconds for which a stream may be resumed.
        """
        now = self._clock.now()
        self._streams.rotate(now, lifetime)
        self._versions.expire(now, lifetime)
        self._complete = self._complete or now - self._started > lifetime
        self.versions_changed()

    def _own_versions(self) -> Versions:
        return Versions(self._versions.rows(self._clock.now()), self._complete)

    def _publish(self, streams: Iterable[tuple[int, StreamOrigin]]) -> None:
        self._unsent.update(streams)
        if self._unsent and not self._sending:
            self._sending = True
            # Sent before the caller gets its first event, as this entry may be killed.
            self._send_unsent()
            spawn(self._keep_sending())

    async def _keep_sending(self) -> None:
        await sleep(self._send_interval())
        while self._unsent:
            self._send_unsent()
            await sleep(self._send_interval())
        self._sending = False

    def _send_unsent(self) -> None:
        unsent, self._unsent = self._unsent, {}
        links = list(self._links.values())
        # Any will do, as lookups ask all. The same ones for all streams of this time
        # make fewer messages than others for each stream.
        for link in random.sample(links, min(self._holders(), len(links))):
            _send(link, unsent.items())

    async def _ask(
        self, stream: int, pools: Collection[str], time_left: Millis
    ) -> StreamOrigin | None:
        if len(self._lookups) >= MAX_LOOKUPS or self.silence() > MAX_RESTART_TIME:
            return None
        ticket = next(self._tickets)
        lookup = self._lookups[ticket] = _Lookup()
        started = self._clock.now()
        limit = min(2 * self._send_interval() + ASK_MARGIN, time_left)
        try:
            while any(map(self.is_mixed, pools)):
                silent = not self._links or self.silence() > CONTACT_LIMIT
                lookup.outage = lookup.outage or silent
                if lookup.outage:
                    limit = min(OUTAGE_LIMIT, time_left)
                if self._clock.now() - started >= limit:
                    break
                for link in self._links.values():
                    link.send(FindStream(ticket, stream))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(seconds(ASK_INTERVAL)):
                        return await asyncio.shield(lookup.fut)
        finally:
            del self._lookups[ticket]
        return None

    def _update_complete(self) -> None:
        """Trust the table once a majority of the replicas have sent theirs.

        A single replica may have been down or cut off when a version came. Entries
        tell all replicas of one, so that a majority of them contains one that knows it.
        """
        if self._group_size and 2 * len(self._complete_replicas) > self._group_size:
            self._complete = True

    def _is_known_mixed(self, pool: str) -> bool:
        return not self._complete or self._versions.is_mixed(pool)

    def _holders(self) -> int:
        entries = self._entries(self._clock.now())
        return HOLDERS if entries <= MAX_ENTRIES_OF_TWO_HOLDERS else 1

    def _send_interval(self) -> Millis:
        entries = self._entries(self._clock.now())
        return max(MIN_SEND_INTERVAL, entries // ENTRIES_PER_MILLI)


def _send(link: Link, streams: Iterable[tuple[int, StreamOrigin]]) -> None:
    """Send streams to a replica, grouped by origin."""
    by_origin: dict[StreamOrigin, list[int]] = {}
    for stream, origin in streams:
        if origin is not AMBIGUOUS:
            by_origin.setdefault(origin, []).append(stream)
    for origin, digests in by_origin.items():
        for first in range(0, len(digests), MAX_STREAMS_PER_MESSAGE):
            part = digests[first : first + MAX_STREAMS_PER_MESSAGE]
            link.send(StreamsBegan(origin.pool, origin.version, pack_digests(part)))
