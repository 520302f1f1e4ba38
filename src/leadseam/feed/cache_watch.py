"""Watches the caches of engines: polls their events and sends changes to entries."""

from __future__ import annotations

import asyncio
import logging
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

from leadseam.clock import Millis, seconds, sleep
from leadseam.feed.prefix_index import (
    ANSWER_LIMIT,
    CHANGES_INTERVAL,
    Continuity,
    EventPage,
    PrefixIndex,
)
from leadseam.runtime.tasks import spawn
from leadseam.wire.backoff import Backoff

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from leadseam.clock import Clock
    from leadseam.control.configuration import Pool
    from leadseam.runtime.metrics import ControlMetrics
    from leadseam.wire.feed import CacheChanges, PartInterest, Registration

POLL_INTERVAL: Millis = 250
"""Time from an answer to the next call to the same engine. Answers within 200 ms are
charged like health probes, and a busy engine answers at once."""
EVENT_WAIT: Millis = 1_000
"""Time for which an engine without new events may hold back its answer; the longest
that engines accept."""
FIRST_PAUSE: Millis = 500
MAX_PAUSE: Millis = 4_000
"""Limits of the pauses after a call that failed or was refused."""
REVIEW_INTERVAL: Millis = 250
"""Interval at which the engines to watch are determined."""
MAX_WATCHED = 100
"""Maximum engines watched by one replica, which makes 400 calls a second."""
MAX_LOGGED_UPSTREAMS = 20
"""Maximum number of engines named in a log line."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class CallRefused:
    """An engine serves too many calls for events already."""


@dataclass(frozen=True, slots=True)
class CallFailed:
    """An engine gave no usable answer.

    Args:
        reason: Why, for the log.
        rejected: Whether the engine rejected the call, and so may reject its cursor.
    """

    reason: str
    rejected: bool = False


EventAnswer: TypeAlias = EventPage | CallRefused | CallFailed


class EventSource(Protocol):
    """Reads cache events of engines; makes no decisions."""

    async def read(
        self, engine: Registration, cursor: str, wait: Millis
    ) -> EventAnswer:
        """Read the events of an engine since a cursor.

        Args:
            engine: The engine.
            cursor: Cursor from the last answer.
            wait: Milliseconds for which the engine may wait for new events.
        """

    async def close(self) -> None:
        """Close all connections."""


def is_watchable(pool: Pool | None) -> bool:
    """Return whether the engines of a pool serve cache events and can fetch parts."""
    profile = pool.engine if pool is not None else None
    if profile is None:
        return False
    return profile.event_calls > 0 and profile.fetch_ms_per_token > 0


class CacheWatch:
    """Watches engines while subscribers are interested in prompt parts.

    Args:
        source: Source of events.
        engines: Returns the engines whose heartbeats this replica receives and that
            may be watched.
        send: Sends a message to subscribers, which are given by number.
        clock: Source of time.
        metrics: Metrics of the replica.
    """

    def __init__(
        self,
        source: EventSource,
        *,
        engines: Callable[[], Iterable[Registration]],
        send: Callable[[Collection[int], CacheChanges], None],
        clock: Clock,
        metrics: ControlMetrics,
    ) -> None:
        self._source = source
        self._engines = engines
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._index = PrefixIndex()
        self._watched: dict[int, Registration] = {}
        self._polls: dict[int, asyncio.Task[None]] = {}
        self._failing: set[int] = set()
        self._reviewed_at: Millis | None = None

    def __repr__(self) -> str:
        return f"CacheWatch({self._index!r})"

    async def run(self) -> None:
        """Watch engines and send changes until cancelled."""
        try:
            while True:
                await sleep(CHANGES_INTERVAL)
                self.step()
        finally:
            for engine in list(self._watched):
                self._stop(engine)
            await self._source.close()

    def step(self) -> None:
        """Start and stop polls as needed, and send changes that are due."""
        now = self._clock.now()
        if self._reviewed_at is None or now - self._reviewed_at >= REVIEW_INTERVAL:
            self._reviewed_at = now
            self._review(now)
        silent = self._index.take_silent(now)
        if silent:
            rows = [self._watched[engine] for engine in silent]
            log.warning("engines send no cache events", extra=_name_engines(rows))
        changes = self._index.take_changes(now)
        if changes is not None:
            self._send(self._index.subscribers, changes)

    def receive(self, subscriber: int, interest: PartInterest) -> None:
        """Record the interest of a subscriber; tell a new one what is known."""
        now = self._clock.now()
        known = self._index.add_interest(subscriber, interest.parts, now)
        if known is not None:
            self._send((subscriber,), known)

    def remove_subscriber(self, subscriber: int) -> None:
        """Remove a subscriber that has disconnected."""
        self._index.remove_subscriber(subscriber)

    def _review(self, now: Millis) -> None:
        """Watch exactly the engines that are to be watched now."""
        wanted: dict[int, Registration] = {}
        if self._index.has_interest(now):
            rows = sorted(self._engines(), key=lambda row: row.incarnation)
            wanted = {row.incarnation.digest(): row for row in rows[:MAX_WATCHED]}
        ended = [
            engine
            for engine, row in self._watched.items()
            if engine not in wanted
            or _address(wanted[engine]) != _address(row)
            or self._polls[engine].done()
        ]
        if ended:
            rows = [self._watched[engine] for engine in ended]
            log.info("cache events no longer watched", extra=_name_engines(rows))
        for engine in ended:
            self._stop(engine)
        begun = [row for engine, row in wanted.items() if engine not in self._watched]
        if begun:
            log.info("cache events watched", extra=_name_engines(begun))
        for row in begun:
            self._start(row)
        self._metrics.engines_watched.set({}, len(self._watched))

    def _start(self, row: Registration) -> None:
        engine = row.incarnation.digest()
        self._watched[engine] = row
        self._index.watch(engine)
        self._polls[engine] = spawn(self._poll(engine, row))

    def _stop(self, engine: int) -> None:
        del self._watched[engine]
        self._failing.discard(engine)
        self._index.unwatch(engine)
        self._polls.pop(engine).cancel()

    async def _poll(self, engine: int, row: Registration) -> None:
        # Spreads the calls to engines that are watched from the same time on.
        await sleep(random.randint(0, POLL_INTERVAL))
        backoff = Backoff(first=FIRST_PAUSE, last=MAX_PAUSE)
        while True:
            await sleep(await self._poll_once(engine, row, backoff))

    async def _poll_once(
        self, engine: int, row: Registration, backoff: Backoff
    ) -> Millis:
        """Call an engine once, and return the pause until the next call."""
        match await self._read(row, self._index.cursor(engine)):
            case EventPage() as page:
                self._apply(engine, row, page)
                backoff.reset()
                self._failing.discard(engine)
                return POLL_INTERVAL
            case CallRefused():
                self._metrics.cache_polls.inc("refused")
                self._log_failure(engine, row, "too many calls")
            case CallFailed(reason=reason, rejected=rejected):
                if rejected:
                    self._index.restart(engine)
                self._metrics.cache_polls.inc("failed")
                self._log_failure(engine, row, reason)
        return backoff.next_pause()

    def _log_failure(self, engine: int, row: Registration, reason: str) -> None:
        """Log the first of several failures in a row."""
        if engine not in self._failing:
            self._failing.add(engine)
            extra = {"instance": str(row.incarnation), "reason": reason}
            log.info("cannot read cache events", extra=extra)

    async def _read(self, row: Registration, cursor: str) -> EventAnswer:
        try:
            async with asyncio.timeout(seconds(ANSWER_LIMIT)):
                return await self._source.read(row, cursor, EVENT_WAIT)
        except TimeoutError:
            return CallFailed("no answer in time")

    def _apply(self, engine: int, row: Registration, page: EventPage) -> None:
        continuity = self._index.apply(engine, page, self._clock.now())
        self._metrics.cache_polls.inc(continuity.value)
        self._metrics.cache_events.add({}, len(page.events))
        extra = {"instance": str(row.incarnation)}
        match continuity:
            case Continuity.GAP:
                log.info("cache events lost, parts are learned again", extra=extra)
            case Continuity.NEW_EPOCH:
                log.info("engine has started again, parts dropped", extra=extra)
            case _:
                pass


def _address(row: Registration) -> tuple[str, int]:
    return row.ip, row.port


def _name_engines(rows: Collection[Registration]) -> dict[str, object]:
    """Return the fields of a log line about engines."""
    names = [str(row.incarnation) for row in rows]
    return {"count": len(names), "instances": names[:MAX_LOGGED_UPSTREAMS]}
