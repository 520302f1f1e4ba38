"""Streams and versions that a replica holds for entries that look them up.

An entry that continues a stream may be another one than the entry that began it, which
may be gone. Entries send their tables to each replica that they begin to follow; files
keep both tables in case that all entries end too.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.membership.versions import VersionTable, stream_lifetime
from leadseam.routing.stream_origin import (
    AMBIGUOUS,
    StreamOrigin,
    StreamTable,
    pack_digests,
    unpack_digests,
)
from leadseam.wire.versions import FindStream, StreamFound, StreamsBegan, Versions

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from leadseam.clock import Clock
    from leadseam.control.replica import Replica
    from leadseam.feed.stream_file import StreamFile
    from leadseam.membership.version_file import VersionFile
    from leadseam.runtime.metrics import ControlMetrics
    from leadseam.wire.feed import Registration

REFILL_TIME: Millis = 2_500
"""Time after a start within which entries follow a replica and send it their streams:
a few reconnection delays of 0.8 s."""

log = logging.getLogger(__name__)


class StreamHolder:
    """Streams and versions known to one replica.

    Args:
        replica: Source of the configuration.
        clock: Source of time.
        metrics: Metrics of the replica.
        broadcast: Sends a message to the subscribers that read `Versions`.
        file: Where the versions are kept over a restart; by default nowhere.
        stream_file: Where the streams are kept over a restart; by default nowhere.
    """

    def __init__(
        self,
        replica: Replica,
        clock: Clock,
        metrics: ControlMetrics,
        broadcast: Callable[[Versions], None],
        *,
        file: VersionFile | None = None,
        stream_file: StreamFile | None = None,
    ) -> None:
        self._replica = replica
        self._clock = clock
        self._metrics = metrics
        self._broadcast = broadcast
        self._file = file
        self._stream_file = stream_file
        self._versions = VersionTable()
        self._streams = StreamTable()
        self._started = clock.now()
        self._complete = False
        stored = file.load() if file is not None else None
        if stored is not None:
            # They may have begun streams until this process ended.
            self._versions.merge(stored, self._started)
            self._complete = True
        # The streams that are read now are kept for as long as new ones.
        self._streams.rotate(self._started, 0)
        for message in stream_file.load() if stream_file is not None else ():
            self._add(message)

    def __repr__(self) -> str:
        return f"StreamHolder({self._versions!r}, {self._streams!r})"

    def greeting(self) -> Versions:
        """Return the message for a new subscriber."""
        rows = self._versions.rows(self._clock.now())
        return Versions(rows, self._is_complete())

    def registered(self, rows: Iterable[Registration]) -> None:
        """Record upstreams that are registered at this replica."""
        before = self._versions.revision
        self._versions.see(rows, self._clock.now())
        self._note_changes(before)

    def receive(self, message: Versions) -> None:
        """Merge versions that an entry knows, and pass on those that are new."""
        before = self._versions.revision
        self._versions.merge(message.rows, self._clock.now())
        self._complete = self._complete or message.complete
        if self._note_changes(before):
            self._broadcast(self.greeting())

    def began(self, message: StreamsBegan) -> None:
        """Record streams that an entry has begun."""
        added = self._add(message)
        if added and self._stream_file is not None:
            self._stream_file.append(
                StreamsBegan(message.pool, message.version, pack_digests(added))
            )

    def find(self, message: FindStream) -> StreamFound:
        """Return the reply to a question of an entry."""
        origin = self._streams.find(message.stream)
        if origin is None or origin is AMBIGUOUS:
            recent = self._clock.now() - self._started < REFILL_TIME
            return StreamFound(message.ticket, known=False, recent_start=recent)
        return StreamFound(message.ticket, True, origin.pool, origin.version)

    def sweep(self, rows: Iterable[Registration]) -> None:
        """Record registered upstreams and drop what is too old; call it periodically.

        Args:
            rows: All upstreams that are registered at this replica.
        """
        now = self._clock.now()
        self.registered(rows)
        lifetime = stream_lifetime(self._replica.state.configuration)
        if self._streams.rotate(now, lifetime) and self._stream_file is not None:
            self._stream_file.rotate()
        self._metrics.streams_held.set({}, len(self._streams))
        if self._versions.expire(now, lifetime):
            self._store()

    def _add(self, message: StreamsBegan) -> list[int]:
        """Record streams, and return those that were not recorded yet."""
        origin = StreamOrigin(message.pool, message.version)
        streams = unpack_digests(message.streams)
        return [stream for stream in streams if self._streams.add(stream, origin)]

    def _is_complete(self) -> bool:
        """Return whether no other version can have begun a stream of late."""
        if not self._complete:
            lifetime = stream_lifetime(self._replica.state.configuration)
            self._complete = self._clock.now() - self._started > lifetime
        return self._complete

    def _note_changes(self, before: int) -> bool:
        if self._versions.revision == before:
            return False
        versions = {
            pool: sorted(self._versions.versions(pool))
            for pool in self._versions.pools()
        }
        log.info("versions in service", extra={"versions": versions})
        self._store()
        return True

    def _store(self) -> None:
        if self._file is not None:
            self._file.store(self._versions.rows(self._clock.now()))
