"""Streams in a fleet whose upstreams change their version, in virtual time.

Feed servers, feed clients and the lookup are those of production. Callers, upstreams
and the connections between boxes are simulated.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING, Any, cast

import msgspec

from leadseam.clock import Millis, sleep
from leadseam.control.configuration import Configuration, Pool, PoolKind
from leadseam.feed.stream_holder import StreamHolder
from leadseam.membership.versions import stream_lifetime
from leadseam.outcome import NotRun
from leadseam.routing.origin_lookup import OriginLookup
from leadseam.routing.stream_origin import StreamOrigin
from leadseam.runtime.metrics import ControlMetrics, Metrics, RoutingMetrics
from tests.feed.domain_fleet import SimEntry, SimFleet, SimReplica
from tests.routing.samples import make_admitted, make_route, make_upstream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.wire.feed import Registration
    from leadseam.wire.versions import StreamsBegan, VersionRow

POOL = "p"
TIME_LIMIT: Millis = 8_000
"""Time for which callers wait, resumed attempts included."""
HEARTBEAT: Millis = 1_000
SWEEP: Millis = 500
ROUTE = msgspec.structs.replace(
    make_route("r", "/chat/", POOL, time_limit=TIME_LIMIT), resumable=True
)
CONFIGURATION = Configuration(
    1, pools={POOL: Pool(POOL, PoolKind.ENGINE)}, routes={"r": ROUTE}
)


@dataclass
class Upstream:
    """A simulated upstream.

    Args:
        row: Its registration.
        replica: Replica that gets its heartbeats.
        serves: Whether it begins and continues streams.
    """

    row: Registration
    replica: str = ""
    serves: bool = True


class MemoryFile:
    """A file of versions that outlives the replicas of a box."""

    def __init__(self) -> None:
        self._rows: tuple[VersionRow, ...] = ()

    def load(self) -> tuple[VersionRow, ...]:
        """Return the rows that were stored last."""
        return self._rows

    def store(self, rows: tuple[VersionRow, ...]) -> None:
        """Store rows."""
        self._rows = rows


class MemoryStreamFile:
    """A file of streams that outlives the replicas of a box."""

    def __init__(self) -> None:
        self._generations: list[list[StreamsBegan]] = [[], []]

    def load(self) -> list[StreamsBegan]:
        """Return the streams of both generations."""
        return [message for one in self._generations for message in one]

    def append(self, message: StreamsBegan) -> None:
        """Add streams to the current generation."""
        self._generations[1].append(message)

    def rotate(self) -> None:
        """Begin a generation."""
        self._generations = [self._generations[1], []]

    def clear(self) -> None:
        """Lose all streams."""
        self._generations = [[], []]


@dataclass
class Streams:
    """Counts of streams.

    Args:
        begun: Streams that began.
        resumed: Streams that callers resumed at another entry, by result: `same`,
            `mixed`, `gone`, `unknown` or `unplaced`.
        log: Results in order, with their time.
    """

    begun: int = 0
    resumed: Counter[str] = field(default_factory=Counter)
    log: list[tuple[Millis, str, str]] = field(default_factory=list)


class VersionFleet:
    """Callers and upstreams of a fleet.

    Args:
        fleet: The control boxes and entries.
        seed: Seed of all random numbers.
    """

    def __init__(self, fleet: SimFleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.streams = Streams()
        self.upstreams: list[Upstream] = []
        self._numbers = 0
        self._files = {name: MemoryFile() for name in fleet.replicas}
        self._stream_files = {name: MemoryStreamFile() for name in fleet.replicas}
        for replica in fleet.replicas.values():
            self._equip(replica)
        fleet.spawn(self._send_heartbeats())
        fleet.spawn(self._sweep())

    def add_upstream(self, version: str, start: int = 0) -> Upstream:
        """Start an upstream."""
        self._numbers += 1
        row = make_upstream(self._numbers, start=start)
        upstream = Upstream(msgspec.structs.replace(row, version=version))
        self.upstreams.append(upstream)
        self._beat(upstream)
        return upstream

    def leave(self, upstream: Upstream) -> None:
        """Let an upstream leave, as committed at all replicas."""
        upstream.serves = False
        self.upstreams.remove(upstream)
        for replica in self.fleet.replicas.values():
            replica.state.departed.add(upstream.row.incarnation)
            replica.feed._push_departures()

    def crash(self, upstream: Upstream) -> None:
        """End an upstream without a word."""
        upstream.serves = False
        self.upstreams.remove(upstream)

    def start_replica(self, name: str) -> None:
        """Start a replica that was killed."""
        departed = [
            one
            for replica in self.fleet.replicas.values()
            for one in replica.state.departed
        ]
        self.fleet.start(name)
        replica = self.fleet.replicas[name]
        self._equip(replica)
        for one in departed:
            replica.state.departed.add(one)

    def restart_all(self, *, lose_streams: bool = False) -> None:
        """Kill all processes and start them again.

        Args:
            lose_streams: Whether the files of streams are lost too.
        """
        names = sorted(self.fleet.replicas)
        for name in names:
            self.fleet.kill(name)
            if lose_streams:
                self._stream_files[name].clear()
        for entry in list(self.fleet.entries):
            self.restart_entry(entry.number)
        for name in names:
            self.start_replica(name)

    def _equip(self, replica: SimReplica) -> None:
        """Give a new replica its configuration and the file of its box."""
        replica.state.configuration = CONFIGURATION
        replica.feed.streams = StreamHolder(
            cast("Any", replica),
            self.fleet.clock,
            ControlMetrics(Metrics()),
            replica.feed._broadcast_versions,
            file=cast("Any", self._files[replica.name]),
            stream_file=cast("Any", self._stream_files[replica.name]),
        )

    def restart_entry(self, number: int) -> None:
        """Kill an entry and start it again."""
        fleet, entry = self.fleet, self.fleet.entries[number]
        for task in self._tasks_of(entry):
            task.cancel()
        domain = entry.box.split("-")[0]
        fleet.entries[number] = SimEntry(fleet, number, domain)

    def _tasks_of(self, entry: SimEntry) -> list[asyncio.Task[Any]]:
        return [
            task
            for task in self.fleet.tasks
            if (frame := task.get_coro().cr_frame) is not None  # type: ignore[union-attr]
            and frame.f_locals.get("self") in (entry, entry.feed)
        ]

    async def call(self, *, break_after: Millis) -> None:
        """Begin a stream, break it, and resume it at another entry."""
        entry, other = self.rng.sample(self.fleet.entries, 2)
        rows = self._usable(entry.feed.view.pool(POOL))
        if not rows:
            return
        self._numbers += 1
        request = replace(make_admitted(f"r-{self._numbers}"), route=ROUTE)
        row = self.rng.choice(rows)
        version = row.version or ""
        self.streams.begun += 1
        self._lookup(entry).began(request, StreamOrigin(row.pool, version))
        await sleep(break_after)
        other = self.fleet.entries[other.number]
        if not other.feed.confirmed:
            return
        req = replace(
            request.req,
            request_id=f"{request.req.request_id}-again",
            resumes=request.req.request_id,
            resume_after="1",
        )
        result = await self._resume(other, replace(request, req=req), version)
        self.streams.resumed[result] += 1
        self.streams.log.append((self.fleet.clock.now(), result, version))

    async def _resume(self, entry: SimEntry, request: Any, version: str) -> str:
        bound = await self._lookup(entry).bind(request, now=request.arrived)
        if isinstance(bound, NotRun):
            return bound.reason.value
        scope = bound.scope
        view = entry.feed.view
        rows = self._usable(view.pool(scope.pool, scope.regions, scope.version))
        if not rows:
            return "unplaced"
        return "same" if self.rng.choice(rows).version == version else "mixed"

    async def keep_calling(self, span: Millis, *, every: Millis = 25) -> None:
        """Begin streams for some time, and wait until all have been resumed."""
        end = self.fleet.clock.now() + span
        async with asyncio.TaskGroup() as group:
            while self.fleet.clock.now() < end:
                await sleep(self.rng.randint(1, 2 * every))
                after = self.rng.randint(5, 3_000)
                group.create_task(self.call(break_after=after))

    def _usable(self, rows: Iterable[Registration]) -> list[Registration]:
        alive = {one.row.incarnation: one.row.version for one in self.upstreams}
        return [row for row in rows if row.incarnation in alive]

    def _lookup(self, entry: SimEntry) -> OriginLookup:
        return OriginLookup(entry.feed, RoutingMetrics(Metrics()))

    def _beat(self, upstream: Upstream) -> None:
        if upstream.replica not in self.fleet.replicas:
            names = sorted(set(self.fleet.replicas) - self.fleet.frozen)
            upstream.replica = self.rng.choice(names) if names else ""
        replica: SimReplica | None = self.fleet.replicas.get(upstream.replica)
        if replica is None or replica.name in self.fleet.frozen:
            return
        row = upstream.row
        upstream.row = msgspec.structs.replace(row, sequence=row.sequence + 1)
        replica.feed.register(upstream.row)
        replica.feed.push_registrations()

    async def _send_heartbeats(self) -> None:
        while True:
            for upstream in list(self.upstreams):
                delay = self.rng.randint(0, HEARTBEAT - 1)
                self.fleet.call_later(delay, partial(self._beat_if_up, upstream))
            await sleep(HEARTBEAT)

    def _beat_if_up(self, upstream: Upstream) -> None:
        if upstream in self.upstreams:
            self._beat(upstream)

    async def _sweep(self) -> None:
        while True:
            await sleep(SWEEP)
            for entry in self.fleet.entries:
                if entry.box not in self.fleet.frozen:
                    entry.feed.view.sweep(self.fleet.clock.now())
                    entry.feed.streams.sweep(stream_lifetime(CONFIGURATION))
