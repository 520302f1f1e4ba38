"""Simulates a fleet: production entries between emulated callers and engines.

Each entry is a production `Placer`, and the load that entries share is summed by a
production `LoadAggregator`. Not modelled: processor time, upstreams that join or leave,
and faults other than engines that refuse requests.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

from leadseam.clock import MILLIS_PER_SECOND, seconds, sleep
from leadseam.control.routes import CallerLimits, EngineProfile, PoolShare, Route
from leadseam.emulate.callers import ArrivalGenerator
from leadseam.emulate.engine import Engine, Run, call_after
from leadseam.emulate.tally import Tally
from leadseam.emulate.virtual import VirtualClock, VirtualLoop
from leadseam.feed.entry_count import EntryCount
from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.feed.report_interval import MIN_INTERVAL, interval_for
from leadseam.incarnation import Incarnation
from leadseam.outcome import Reason
from leadseam.routing.admitted import AdmittedRequest
from leadseam.routing.exchange import MAX_SENDS
from leadseam.routing.health import UpstreamHealth
from leadseam.routing.part_holders import part_digest
from leadseam.routing.placer import Placer
from leadseam.routing.return_time import time_waited
from leadseam.routing.scope import Scope
from leadseam.routing.usage import Standing
from leadseam.wire.codec import decode
from leadseam.wire.feed import CacheChanges, EngineCache, LoadSums, Registration

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterable, Sequence

    from leadseam.clock import Millis
    from leadseam.emulate.callers import Arrival
    from leadseam.emulate.settings import FleetSettings, RequestKind
    from leadseam.feed.client import FeedClient
    from leadseam.routing.flight import Flight
    from leadseam.routing.scope import Regions

POOL = "emulated"
HOP_LATENCY: Millis = 1
"""Latency between two boxes: between failure domains it is 1 to 2 ms."""
SUMS_DELAY: Millis = 100
"""Time after which all entries know that an engine is idle: the longest age of the sums
at their shortest interval, which is waited for once at the entry and once at the
aggregator."""
DRAIN_TIME: Millis = 4_000
"""Time after the last arrival during which retries are made and finish."""
ADDRESSES_PER_SUBNET = 250
REPLICA = "replica"
"""Name of the replica that watches the engines."""
EVENT_CALLS = 12
"""Concurrent calls for cache events that an engine is stated to accept."""


@dataclass(frozen=True, slots=True)
class _PoolStub:
    engine: EngineProfile


@dataclass(frozen=True, slots=True)
class _ConfigurationStub:
    limits: CallerLimits
    pools: dict[str, _PoolStub]


class _ViewStub:
    def __init__(self, rows: Sequence[Registration]) -> None:
        self._rows = rows
        self._by_digest = {row.incarnation.digest(): row for row in rows}

    def pool(
        self, _: str, _regions: Regions = None, _version: str | None = None
    ) -> Sequence[Registration]:
        return self._rows

    def sources(self, _: str, _regions: Regions = None) -> dict[int, Registration]:
        return self._by_digest

    def all_warm(self, _: Millis) -> bool:
        return True

    def cold_until(self, _: Registration) -> Millis:
        return 0

    def available_fraction(self, _: Iterable[str]) -> float:
        return 1.0


class _FeedStub:
    """The part of a `FeedClient` that a `Placer` uses."""

    def __init__(self, rows: Sequence[Registration], cfg: FleetSettings) -> None:
        speed = cfg.engine
        profile = EngineProfile(
            slots=speed.slots,
            memory_tokens=speed.memory_tokens,
            fetches=speed.link_mbps > 0,
            token_bytes=speed.token_bytes,
            link_mbps=speed.link_mbps,
            event_calls=EVENT_CALLS,
        )
        limits = CallerLimits(tokens_per_s=cfg.stated)
        self.view = _ViewStub(rows)
        self.entries = EntryCount()
        self.configuration = _ConfigurationStub(limits, {POOL: _PoolStub(profile)})


class Fleet:
    """An emulated fleet, which needs a running `VirtualLoop`.

    Args:
        cfg: Settings of the fleet.
        seed: Seed of all random generators.
    """

    def __init__(self, cfg: FleetSettings, *, seed: int) -> None:
        self.tally = Tally()
        self._cfg = cfg
        self._arrivals = ArrivalGenerator(cfg, seed)
        self._rng = random.Random(-seed)
        self._clock = VirtualClock(cast(VirtualLoop, asyncio.get_running_loop()))
        rows = [_make_registration(number, cfg) for number in range(cfg.engines)]
        self.engines = {row.incarnation: Engine(row, cfg.engine) for row in rows}
        feed = cast("FeedClient", _FeedStub(rows, cfg))
        self._placers = [self._make_placer(feed) for _ in range(cfg.entries)]
        self._routes = {kind.name: _make_route(kind) for kind in cfg.kinds}
        self._aggregator = LoadAggregator()
        self._shared_parts: set[str] = set()
        self._hurried = {f"account-{rank}" for rank in cfg.hurried}
        self._tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"Fleet(entries={len(self._placers)}, engines={len(self.engines)})"

    async def run(self) -> Tally:
        """Simulate the configured span and return the counts."""
        for number in range(len(self._placers)):
            self._spawn(self._report_load(number))
        self._spawn(self._aggregate_loads())
        if self._cfg.cache_events:
            self._spawn(self._report_caches())
        for arrival in self._arrivals.arrivals():
            await sleep(max(arrival.at - self._clock.now(), 0))
            self._spawn(self._serve(arrival))
        await sleep(DRAIN_TIME)
        for task in self._tasks:
            task.cancel()
        return self.tally

    def _make_placer(self, feed: FeedClient) -> Placer:
        rng = random.Random(self._rng.random())
        return Placer(feed=feed, health=UpstreamHealth(), clock=self._clock, rng=rng)

    # Callers

    async def _serve(self, arrival: Arrival) -> None:
        """Send a request; if it is refused, retry it once at a random entry."""
        self._shared_parts.update(part.identity for part in arrival.req.parts[:-1])
        self.tally.arrived(arrival, arrival.service)
        deadline = self._clock.now() + arrival.kind.patience
        if await self._attempt_entry(arrival, arrival.entry, deadline):
            return
        self.tally.retried["all"] += 1
        remaining = deadline - self._clock.now()
        placer = self._placers[arrival.entry]
        found = placer.return_time(arrival.account, Scope(POOL), remaining)
        self.tally.return_times[found.rule.value] += 1
        await sleep(found.pause)
        other = self._rng.randrange(self._cfg.entries)
        if await self._attempt_entry(arrival, other, deadline):
            self.tally.retried["served"] += 1
        else:
            self.tally.ends["refused"] += 1

    async def _attempt_entry(
        self, arrival: Arrival, entry: int, deadline: Millis
    ) -> bool:
        placer = self._placers[entry]
        now = self._clock.now()
        stated = deadline - now
        if arrival.account in self._hurried:
            stated //= 2
        admitted = AdmittedRequest(
            req=arrival.req,
            body=b"",
            route=self._routes[arrival.kind.name],
            pool=POOL,
            account=arrival.account,
            arrived=now,
            deadline=deadline,
            waited=time_waited(arrival.kind.patience, stated),
        )
        placer.record_request(arrival.account, arrival.req, now)
        if self._is_busy(entry, now):
            self.tally.ends["entry busy"] += 1
            return False
        tried: set[Incarnation] = set()
        while len(tried) < MAX_SENDS:
            flight = await placer.place(admitted, tried, again=bool(tried))
            if isinstance(flight, Reason):
                if placer.standing(arrival.account, now) is not Standing.STOPPED:
                    self._note_refusal(now)
                return False
            pause = self._requested_pause(flight)
            if not pause:
                self._send_to_engine(arrival, flight, placer)
                return True
            await sleep(2 * HOP_LATENCY)
            self.tally.ends["turned away"] += 1
            tried.add(flight.upstream.incarnation)
            flight.end()
            placer.pause(flight.upstream, pause)
        return False

    def _note_refusal(self, arrived: Millis) -> None:
        idle_since = min(one.idle_since for one in self.engines.values())
        if idle_since <= seconds(arrived - SUMS_DELAY):
            self.tally.idle_refusals[arrived // MILLIS_PER_SECOND] += 1

    def _is_busy(self, entry: int, now: Millis) -> bool:
        """Return whether an entry refuses a request because it is busy."""
        return any(
            entry < period.entries
            and period.at <= now < period.at + period.span
            and self._rng.random() < period.part
            for period in self._cfg.busy
        )

    def _requested_pause(self, flight: Flight) -> Millis:
        """Return the pause that the engine of a flight asks for; 0 if it accepts it."""
        now = self._clock.now()
        number = list(self.engines).index(flight.upstream.incarnation)
        for period in self._cfg.spells:
            if number < period.engines and period.at <= now < period.at + period.span:
                return period.pause
        return 0

    def _send_to_engine(self, arrival: Arrival, flight: Flight, placer: Placer) -> None:
        def record_first_token() -> None:
            flight.first_byte()
            now = self._clock.now()
            placer.record_answer(flight.upstream)
            in_time = now - arrival.at <= arrival.kind.objective
            self.tally.answered(arrival, arrival.service, now, in_time=in_time)

        def deliver() -> None:
            if not self.engines[flight.upstream.incarnation].submit(run):
                self.tally.ends["engine full"] += 1
                flight.end()

        source = flight.placement.source
        run = Run(
            arrival.req,
            arrival.made,
            on_first=lambda: call_after(HOP_LATENCY, record_first_token),
            on_end=lambda: call_after(HOP_LATENCY, flight.end),
            source=None if source is None else self.engines[source.incarnation],
        )
        call_after(HOP_LATENCY, deliver)

    # Cache events

    async def _report_caches(self) -> None:
        """Tell all entries regularly which shared parts engines hold, as replicas do.

        All parts of a prompt are reported at the next time after they are cached.
        """
        while True:
            changes = self.cache_changes()
            for placer in self._placers:
                placer.holders.apply(REPLICA, changes)
            await sleep(self._cfg.cache_events)

    def cache_changes(self) -> CacheChanges:
        """Return the changes of the engines' caches since the last call."""
        engines = self.engines.values()
        return CacheChanges(
            tuple(_cache_row(one, self._shared_parts) for one in engines)
        )

    # Load sums

    async def _report_load(self, number: int) -> None:
        interval = self._cfg.interval or MIN_INTERVAL
        await sleep(self._rng.randrange(interval))
        while True:
            await sleep(interval)
            report = self._placers[number].load_report()
            if self._is_aggregator_lost():
                continue
            self._aggregator.update(number, report, self._clock.now())

    async def _aggregate_loads(self) -> None:
        interval = self._cfg.interval or MIN_INTERVAL
        while True:
            await sleep(interval)
            if self._is_aggregator_lost():
                self._aggregator = LoadAggregator()
                continue
            for number, totals in self._aggregator.totals(self._clock.now()).items():
                sums = decode(totals.data, LoadSums)
                self._placers[number].apply_sums(totals.included, sums)
                interval = self._cfg.interval or interval_for(len(totals.data))

    def _is_aggregator_lost(self) -> bool:
        now = self._clock.now()
        return any(loss.at <= now < loss.at + loss.span for loss in self._cfg.losses)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def simulate_fleet(
    cfg: FleetSettings, *, seed: int, fleet_type: type[Fleet] = Fleet
) -> Fleet:
    """Simulate a fleet in virtual time and return it with its tally.

    Args:
        cfg: Settings of the fleet.
        seed: Seed of all random generators.
        fleet_type: Class of the fleet, for simulated failures.
    """

    async def run() -> Fleet:
        fleet = fleet_type(cfg, seed=seed)
        await fleet.run()
        return fleet

    loop = VirtualLoop()
    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def _make_registration(number: int, cfg: FleetSettings) -> Registration:
    return Registration(
        incarnation=Incarnation(f"i-{number}"),
        pool=POOL,
        ip=f"10.0.{number // ADDRESSES_PER_SUBNET}.{number % ADDRESSES_PER_SUBNET + 1}",
        port=80,
        failure_domain=f"domain-{number % cfg.domains}",
        slots=cfg.engine.slots,
        ready=True,
        sequence=1,
    )


def _cache_row(engine: Engine, shared_parts: set[str]) -> EngineCache:
    changes = {
        part_digest(identity): tokens
        for identity, tokens in engine.take_cache_changes().items()
        if identity in shared_parts
    }
    return EngineCache(
        engine.row.incarnation.digest(),
        whole=False,
        held=tuple((part, tokens) for part, tokens in changes.items() if tokens),
        gone=tuple(part for part, tokens in changes.items() if not tokens),
    )


def _make_route(kind: RequestKind) -> Route:
    return Route(
        name=kind.name,
        host="emulated",
        prefix=f"/{kind.name}/",
        pools=(PoolShare(POOL),),
        time_limit=kind.patience,
        latency_objective=kind.objective,
    )
