"""Entries of one failure domain with little processor time, in virtual time.

Each entry is a `Gateway` that decides early refusals; its processor is simulated. The
sums are made by a `LoadAggregator`. Upstreams are not simulated: they are never short.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from leadseam.clock import sleep
from leadseam.control.configuration import Account, Configuration
from leadseam.control.routes import CallerLimits
from leadseam.emulate.virtual import VirtualClock, VirtualLoop
from leadseam.feed.entry_count import EntryCount
from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.membership.view import UpstreamView
from leadseam.outcome import NotRun
from leadseam.routing.balance import expected_service_of_tokens
from leadseam.routing.dialect import Sender
from leadseam.routing.entry_room import LAST_PAUSE, EntryRooms
from leadseam.routing.gateway import Gateway
from leadseam.routing.retry_budget import RetryLimits
from leadseam.routing.return_time import LONGEST_PART
from leadseam.routing.usage import Standing
from leadseam.runtime.entry_room import RoomSensor
from leadseam.runtime.lag import DECAY, INTERVAL
from leadseam.runtime.metrics import Metrics, RoutingMetrics
from leadseam.wire.codec import decode
from leadseam.wire.feed import DomainRoom, EntryRoom, LoadSums

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


DOMAIN = "a"
ENTRIES = 8
SHARE = 0.4
"""Processor share of an entry in cores; the first entry has a tenth of it."""
SERVE_COST, REFUSE_COST = 0.7, 0.07
"""Processor time in ms at one core to serve a short request and to refuse it early."""
HOP, CONNECT_TIME = 1, 4
SERVICE_TIME = 60
SUMS_INTERVAL = 50
OBJECTIVE, CALLER_TIMEOUT = 400, 3_000
SPAN = 4_000
SMALL_PART = 0.6
"""Fraction of callers whose first call is to an entry with little processor time."""
ACCOUNTS = 20
TOKENS = 700
CAPACITY = 1_000_000
"""Stated capacity of the upstreams in tokens per second, above all that is requested.
"""


class Processor:
    """Processor of one entry; has the lag of its event loop like `LoopLag`."""

    def __init__(self, clock: VirtualClock, share: float) -> None:
        self._clock = clock
        self._share = share
        self._free_at = 0.0
        self._lag = 0.0

    @property
    def _backlog(self) -> float:
        return max(self._free_at - self._clock.now(), 0.0)

    @property
    def millis(self) -> int:
        """The lag in milliseconds."""
        return round(max(self._lag, self._backlog))

    def measure(self) -> int:
        """Update the lag as `LoopLag` does, and return it."""
        self._lag = max(self._backlog, self._lag * DECAY)
        return self.millis

    async def work(self, cost: float) -> None:
        """Wait until a piece of work is done, after all that came before it."""
        now = self._clock.now()
        self._free_at = max(self._free_at, now) + cost / self._share
        await asyncio.sleep((self._free_at - now) / 1_000)


class BusyEntry:
    """One entry and its processor.

    Args:
        clock: Clock of the virtual loop.
        share: Processor share in cores.
        redirects: Whether the entry knows its limits, and thus may redirect callers.
        seed: Seed of its random numbers.
    """

    def __init__(
        self, clock: VirtualClock, share: float, *, redirects: bool, seed: float
    ) -> None:
        names = [f"account-{number}" for number in range(ACCOUNTS)]
        accounts = {
            name: Account(name, key_hashes=(hashlib.sha256(name.encode()).hexdigest(),))
            for name in names
        }
        feed = SimpleNamespace(
            configuration=Configuration(
                accounts=accounts, limits=CallerLimits(tokens_per_s=CAPACITY)
            ),
            confirmed=True,
            version=1,
            age=0,
            view=UpstreamView(),
            entries=EntryCount(),
        )
        self.processor = Processor(clock, share)
        self.sensor = RoomSensor(clock, memory_mb=100, resident=lambda: 0)
        self.rooms = EntryRooms(DOMAIN, enabled=redirects)
        self.alive = True
        self.claims_room = False
        self.gateway = Gateway(
            feed=cast("Any", feed),
            dialect=cast("Any", None),
            client=cast("Any", None),
            clock=clock,
            retry_limits=RetryLimits(),
            metrics=RoutingMetrics(Metrics()),
            rng=random.Random(seed),
            lag=cast("Any", self.processor),
            rooms=self.rooms,
        )

    def room(self) -> EntryRoom | None:
        """Return the room that the entry reports."""
        if not self.rooms.enabled:
            return None
        return EntryRoom(DOMAIN, self.claims_room or self.sensor.has_room())


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal by a busy entry.

    Args:
        at: When it was made.
        pause: The pause that the caller was asked for.
    """

    at: int
    pause: int

    @property
    def redirected(self) -> bool:
        """Whether the caller was redirected to another entry."""
        return self.pause <= LAST_PAUSE


@dataclass
class BusyFleet:
    """Entries, the replica that adds up their rooms, and callers that retry once.

    Args:
        clock: Clock of a running `VirtualLoop`.
        seed: Seed of all random generators.
        redirects: Whether entries know their limits, and thus may redirect callers.
        small: Numbers of the entries with a tenth of the processor time.
        ends: Counts of callers by how they ended.
        refusals: All refusals.
        largest_lags: Largest measured lag of each entry.
    """

    clock: VirtualClock
    seed: int
    redirects: bool = True
    small: tuple[int, ...] = (0,)
    ends: Counter[str] = field(default_factory=Counter)
    refusals: list[Refusal] = field(default_factory=list)
    largest_lags: Counter[int] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._aggregator = LoadAggregator()
        self.sums_flow = True
        self.entries = [
            BusyEntry(
                self.clock,
                SHARE / 10 if number in self.small else SHARE,
                redirects=self.redirects,
                seed=self._rng.random(),
            )
            for number in range(ENTRIES)
        ]

    @property
    def fraction_in_time(self) -> float:
        """Fraction of all callers that were served within the objective."""
        return self.ends["in time"] / self.ends.total()

    def rooms(self) -> DomainRoom:
        """Return the rooms in the newest sums."""
        (row,) = self._aggregator._rooms()
        return row

    async def run(self, rate: float) -> None:
        """Simulate `SPAN` ms with `rate` new callers per second."""
        tasks = [asyncio.create_task(self._measure())]
        tasks.append(asyncio.create_task(self._exchange_sums()))
        others = [n for n in range(ENTRIES) if n not in self.small]
        async with asyncio.TaskGroup() as group:
            while self.clock.now() < SPAN:
                await asyncio.sleep(self._rng.expovariate(rate))
                small = not others or self._rng.random() < SMALL_PART
                entry = self._rng.choice(self.small if small else others)
                group.create_task(self._call(entry))
        for task in tasks:
            task.cancel()

    async def _call(self, entry: int) -> None:
        began = self.clock.now()
        account = f"account-{self._rng.randrange(ACCOUNTS)}"
        pause = await self._attempt(entry, account)
        if pause is not None:
            left = began + CALLER_TIMEOUT - self.clock.now()
            await sleep(min(pause, round(left * LONGEST_PART)) + CONNECT_TIME)
            other = self._rng.choice([n for n in range(ENTRIES) if n != entry])
            pause = await self._attempt(other, account)
        if pause is not None:
            self.ends["refused"] += 1
            return
        in_time = self.clock.now() - began <= OBJECTIVE
        self.ends["in time" if in_time else "late"] += 1

    async def _attempt(self, number: int, account: str) -> int | None:
        """Return the pause of a refusal, or None if the request was served."""
        entry = self.entries[number]
        await sleep(HOP)
        if not entry.alive:
            return 0
        now = self.clock.now()
        sender = Sender("r", account, tokens_in=TOKENS, tokens_out=0)
        refusal = entry.gateway.decide_early(sender)
        if refusal is not None:
            assert isinstance(refusal, NotRun)
            await entry.processor.work(REFUSE_COST)
            assert refusal.retry_after is not None
            self.refusals.append(Refusal(now, refusal.retry_after))
            return refusal.retry_after
        placer = entry.gateway.placer
        service = expected_service_of_tokens(TOKENS, 0)
        placer.record_requested_service(account, service, now)
        placer._usage.record_served(account, service, now)
        await entry.processor.work(SERVE_COST)
        await sleep(SERVICE_TIME + HOP)
        return None

    async def run_at_first_entry(self, rates: Mapping[str, float]) -> dict[str, float]:
        """Simulate `SPAN` ms of accounts that use the first entry only.

        All are within their share of the upstreams.

        Args:
            rates: Requests per second by account. They are not retried.

        Returns:
            Served fraction of each account's requests.
        """
        sent: Counter[str] = Counter()
        served: Counter[str] = Counter()
        placer = cast("Any", self.entries[0].gateway.placer)
        placer.standing = lambda account, now: Standing.WITHIN

        async def call(account: str) -> None:
            sent[account] += 1
            served[account] += await self._attempt(0, account) is None

        async def send(account: str, rate: float) -> None:
            async with asyncio.TaskGroup() as group:
                while self.clock.now() < SPAN:
                    await asyncio.sleep(self._rng.expovariate(rate))
                    group.create_task(call(account))

        tasks = [asyncio.create_task(self._measure())]
        tasks.append(asyncio.create_task(self._exchange_sums()))
        async with asyncio.TaskGroup() as group:
            for account, rate in rates.items():
                group.create_task(send(account, rate))
        for task in tasks:
            task.cancel()
        return {account: served[account] / sent[account] for account in sent}

    async def _measure(self) -> None:
        while True:
            await sleep(INTERVAL)
            for number, entry in enumerate(self.entries):
                lag = entry.processor.measure()
                entry.sensor.record_lag(lag)
                self.largest_lags[number] = max(self.largest_lags[number], lag)

    async def _exchange_sums(self) -> None:
        while True:
            await sleep(SUMS_INTERVAL)
            if not self.sums_flow:
                continue
            now = self.clock.now()
            for number, entry in enumerate(self.entries):
                if entry.alive:
                    report = entry.gateway.placer.load_report(entry.room())
                    self._aggregator.update(number, report, now)
            for number, totals in self._aggregator.totals(now).items():
                entry = self.entries[number]
                if entry.alive:
                    sums = decode(totals.data, LoadSums)
                    own = entry.gateway.placer.apply_sums(totals.included, sums)
                    entry.rooms.apply(sums.rooms, own.room if own else None, now)


def simulate_busy_fleet(
    *,
    rate: float = 400,
    change: Callable[[BusyFleet], object] = lambda _: None,
    **fields: Any,
) -> BusyFleet:
    """Simulate a fleet in virtual time and return it with its counts.

    Args:
        rate: New callers per second.
        change: Called with the fleet after half of the time.
        fields: Fields of the fleet.
    """
    loop = VirtualLoop()

    async def run() -> BusyFleet:
        fleet = BusyFleet(VirtualClock(loop), **fields)
        loop.call_at(SPAN / 2_000, change, fleet)
        await fleet.run(rate)
        return fleet

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def simulate_first_entry(rates: Mapping[str, float], *, seed: int) -> dict[str, float]:
    """Simulate accounts that use one entry with little processor time.

    Args:
        rates: Requests per second by account.
        seed: Seed of all random generators.

    Returns:
        Served fraction of each account's requests.
    """
    loop = VirtualLoop()

    async def run() -> dict[str, float]:
        return await BusyFleet(VirtualClock(loop), seed).run_at_first_entry(rates)

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()
