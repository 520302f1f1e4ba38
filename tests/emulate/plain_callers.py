"""Simulates callers of a plain pool and entries that share their load periodically."""

from __future__ import annotations

import asyncio
import heapq
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import msgspec

from leadseam.clock import sleep
from leadseam.control.configuration import Configuration, Pool, PoolKind
from leadseam.emulate.virtual import VirtualClock, VirtualLoop
from leadseam.feed.entry_count import EntryCount
from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.membership.view import UpstreamView
from leadseam.outcome import Reason
from leadseam.routing.admitted import AdmittedRequest
from leadseam.routing.exchange import MAX_SENDS
from leadseam.routing.health import UpstreamHealth
from leadseam.routing.placer import Placer
from leadseam.routing.return_time import LONGEST_PART
from leadseam.wire.codec import decode
from leadseam.wire.feed import LoadSums
from tests.routing.samples import make_request, make_route, make_upstream

if TYPE_CHECKING:
    from collections.abc import Coroutine

ENTRIES = 22
SLOTS, QUEUE, SERVICE_TIME = 6, 24, 60
"""Requests that an upstream runs and that it queues, and mean milliseconds of each."""
HOP = 1
SUMS_INTERVAL = 100
"""Milliseconds between load reports of an entry, and between sums of them."""
OBJECTIVE, CALLER_TIMEOUT = 200, 1_500
ACCOUNTS = 30
BURST = 3
"""Number of requests that an account sends at the same time."""
VISIT_INTERVAL = 1_000
"""Milliseconds between visits: one request to each entry, all at the same time."""
VISITOR = "visitor"


class Server:
    """An upstream that runs some requests, queues some, and refuses the rest."""

    def __init__(self, rng: random.Random) -> None:
        self.refused = 0
        self._rng = rng
        self._ends: list[float] = []

    def accept(self, now: int) -> int | None:
        """Return when a request that arrives now completes, or None if refused."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        if len(self._ends) >= SLOTS + QUEUE:
            self.refused += 1
            return None
        waiting = len(self._ends) - SLOTS
        begin = now if waiting < 0 else sorted(self._ends)[waiting]
        end = begin + self._rng.uniform(0.5, 1.5) * SERVICE_TIME
        heapq.heappush(self._ends, end)
        return round(end)


@dataclass
class PlainFleet:
    """Entries, the upstreams of one plain pool, and their callers.

    Args:
        clock: Clock of a running `VirtualLoop`.
        upstreams: Number of upstreams in the pool.
        seed: Seed of all random generators.
        ends: Counts of requests by how they ended, for `visitor` and for all `others`.
    """

    clock: VirtualClock
    upstreams: int
    seed: int
    ends: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        rows = [
            msgspec.structs.replace(make_upstream(number), slots=SLOTS)
            for number in range(1, self.upstreams + 1)
        ]
        self.servers = {row.incarnation: Server(self._rng) for row in rows}
        self._placers = [self._make_placer(rows) for _ in range(ENTRIES)]
        self._aggregator = LoadAggregator()
        self._request_count = 0

    def _make_placer(self, rows: list[Any]) -> Placer:
        view = UpstreamView()
        view.update("a", rows, 0)
        pools = {"p": Pool("p", PoolKind.SERVICE)}
        feed = SimpleNamespace(
            view=view, entries=EntryCount(), configuration=Configuration(1, pools=pools)
        )
        return Placer(
            feed=cast("Any", feed),
            health=UpstreamHealth(),
            clock=self.clock,
            rng=random.Random(self._rng.random()),
        )

    def fraction(self, group_name: str, *ends: str) -> float:
        """Return the fraction of a group's requests that ended in one of `ends`."""
        return (
            sum(self.ends[group_name][end] for end in ends)
            / self.ends[group_name].total()
        )

    async def run(self, *, rate: int, span: int) -> None:
        """Simulate `span` ms with `rate` requests per second, in addition to visits."""
        sharing = [asyncio.create_task(self._report_load(n)) for n in range(ENTRIES)]
        sharing.append(asyncio.create_task(self._aggregate_loads()))
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_visits(group, span))
            weights = [1 / (rank + 1) for rank in range(ACCOUNTS)]
            while self.clock.now() < span:
                await asyncio.sleep(self._rng.expovariate(rate / BURST))
                (account,) = self._rng.choices(range(ACCOUNTS), weights)
                entry = self._rng.randrange(ENTRIES)
                for _ in range(BURST):
                    group.create_task(self._call(entry, f"account-{account}"))
        for task in sharing:
            task.cancel()

    async def _send_visits(self, group: asyncio.TaskGroup, span: int) -> None:
        while self.clock.now() < span:
            await sleep(VISIT_INTERVAL)
            for entry in range(ENTRIES):
                group.create_task(self._call(entry, VISITOR))

    async def _call(self, entry: int, account: str) -> None:
        """Make a request; all callers but visitors retry once after a refusal."""
        began = self.clock.now()
        served = await self._attempt(entry, account, began)
        if not served and account != VISITOR:
            left = began + CALLER_TIMEOUT - self.clock.now()
            pause = round(left * LONGEST_PART)
            await sleep(self._rng.randint(pause // 2, pause))
            other = self._rng.randrange(ENTRIES)
            served = await self._attempt(other, account, began)
        in_time = self.clock.now() - began <= OBJECTIVE
        end = ("in time" if in_time else "late") if served else "refused"
        self.ends[VISITOR if account == VISITOR else "others"][end] += 1

    async def _attempt(self, entry: int, account: str, began: int) -> bool:
        self._request_count += 1
        route = make_route("r", "/", "p")
        admitted = AdmittedRequest(
            req=make_request(request_id=f"r-{self._request_count}"),
            body=b"",
            route=msgspec.structs.replace(route, latency_objective=OBJECTIVE),
            pool="p",
            account=account,
            arrived=self.clock.now(),
            deadline=began + CALLER_TIMEOUT,
        )
        tried: set[Any] = set()
        while len(tried) < min(MAX_SENDS, len(self.servers)):
            flight = await self._placers[entry].place(
                admitted, tried, again=bool(tried)
            )
            if isinstance(flight, Reason):
                return False
            await sleep(HOP)
            end = self.servers[flight.upstream.incarnation].accept(self.clock.now())
            await sleep(HOP if end is None else max(end - self.clock.now(), 0) + HOP)
            flight.end()
            if end is not None:
                return True
            tried.add(flight.upstream.incarnation)
        return False

    async def _report_load(self, entry: int) -> None:
        await sleep(self._rng.randrange(SUMS_INTERVAL))
        while True:
            await sleep(SUMS_INTERVAL)
            report = self._placers[entry].load_report()
            self._aggregator.update(entry, report, self.clock.now())

    async def _aggregate_loads(self) -> None:
        while True:
            await sleep(SUMS_INTERVAL)
            for entry, totals in self._aggregator.totals(self.clock.now()).items():
                sums = decode(totals.data, LoadSums)
                self._placers[entry].apply_sums(totals.included, sums)


def simulate_plain_pool(
    *, rate: int, upstreams: int, seed: int, span: int
) -> PlainFleet:
    """Simulate a plain pool in virtual time and return it with its counts."""
    loop = VirtualLoop()

    async def run() -> PlainFleet:
        fleet = PlainFleet(VirtualClock(loop), upstreams, seed)
        await fleet.run(rate=rate, span=span)
        return fleet

    work: Coroutine[Any, Any, PlainFleet] = run()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
