"""Entries with simulated upstreams, in virtual time.

Each entry is a complete `Gateway`; only its HTTP client is replaced. The fake client
takes time to open a connection, calls `may_send` as the real one does, and records the
requests that reach an upstream.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import msgspec
from multidict import CIMultiDict

from leadseam.control.configuration import Configuration, Pool, PoolKind
from leadseam.control.routes import EngineProfile
from leadseam.emulate.virtual import VirtualClock, VirtualLoop
from leadseam.feed.entry_count import EntryCount
from leadseam.feed.slack_ledger import EVEN_PART
from leadseam.membership.view import UpstreamView
from leadseam.platform import names
from leadseam.platform.headers import PlatformDialect
from leadseam.routing.admitted import AdmittedRequest
from leadseam.routing.client import WithheldError
from leadseam.routing.exchange import Exchange
from leadseam.routing.gateway import Gateway
from leadseam.routing.retry_budget import RetryLimits
from leadseam.runtime.metrics import Metrics, RoutingMetrics
from tests.routing.samples import make_request, make_route, make_upstream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.outcome import Outcome
    from leadseam.routing.client import MaySend
    from leadseam.wire.feed import Registration

NETWORK_DELAY = 0.002
"""One-way delay between boxes, in seconds."""
SERVICE_TIME = 0.05
"""Seconds for which an upstream processes a request."""
RETRY_LIMITS = RetryLimits(ratio=0.2, slack=100)
FOREVER = 10**9
"""Milliseconds for which the shares of the retry slack are leased."""
SUBJECTS = 20
"""Number of shared prompt parts that requests use in turn."""


@dataclass(frozen=True, slots=True)
class RefusalPeriod:
    """A period in which an upstream refuses all requests.

    Args:
        begin: When it begins, in seconds.
        end: When it ends.
        pause: Pause that the upstream requests with each refusal, in seconds.
    """

    begin: float
    end: float
    pause: float


@dataclass(frozen=True, slots=True)
class Announcement:
    """An upstream's announcement that it accepts no requests, as received by an entry.

    Args:
        entry: The entry.
        at: When the entry received it, in seconds.
        until: Until when no request is accepted; infinite for a leaving upstream.
    """

    entry: int
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that has reached an upstream.

    Args:
        entry: Entry that sent it.
        at: When it was sent, in seconds.
    """

    entry: int
    at: float


@dataclass
class SimulatedUpstream:
    """A simulated upstream.

    Args:
        row: Its registration.
        periods: Periods in which it refuses requests.
        leaves_at: When its answers begin to announce that it leaves, in seconds.
        arrivals: Requests that have reached it.
        announcements: Its announcements that entries have received.
        ran: Number of requests that it ran.
    """

    row: Registration
    periods: tuple[RefusalPeriod, ...] = ()
    leaves_at: float = float("inf")
    arrivals: list[Arrival] = field(default_factory=list)
    announcements: list[Announcement] = field(default_factory=list)
    ran: int = 0

    def refusal_period_at(self, at: float) -> RefusalPeriod | None:
        """Return the refusal period at a time, if any."""
        return next((one for one in self.periods if one.begin <= at < one.end), None)

    def ignored_announcements(self) -> list[tuple[Announcement, Arrival]]:
        """Return announcements and requests that were sent in spite of them."""
        return [
            (announcement, arrival)
            for announcement in self.announcements
            for arrival in self.arrivals
            if announcement.entry == arrival.entry
            and announcement.at < arrival.at < announcement.until
        ]


class _Answer:
    """A fake of the HTTP library's response."""

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.method = "POST"
        self.headers = CIMultiDict({**headers, "Content-Length": "0"})
        self.content = SimpleNamespace(readany=self.read)

    async def read(self) -> bytes:
        """Return the end of the empty body."""
        return b""

    def close(self) -> None:
        """Do nothing."""

    release = close


class _Client:
    def __init__(self, entry: int, fleet: GatewayFleet) -> None:
        self._entry = entry
        self._fleet = fleet

    async def send(
        self,
        ip: str,
        _port: int,
        *,
        headers: list[tuple[str, str]],
        may_send: MaySend,
        **_: object,
    ) -> _Answer:
        """Open a connection, check `may_send`, and simulate the upstream's answer."""
        fleet = self._fleet
        await asyncio.sleep(fleet.rng.uniform(0, fleet.connect_s))
        if not may_send(cast("Any", SimpleNamespace(opened_at=0, alive_at=0))):
            raise WithheldError
        loop = asyncio.get_running_loop()
        upstream = fleet.upstreams[ip]
        upstream.arrivals.append(Arrival(self._entry, loop.time()))
        await asyncio.sleep(NETWORK_DELAY)
        request_id = dict(headers)[names.REQUEST_ID]
        answer = {names.REQUEST_ID: request_id}
        leaves = loop.time() >= upstream.leaves_at
        if leaves:
            answer[names.LEAVING] = names.LEAVING_VALUE
        period = upstream.refusal_period_at(loop.time())
        if period is not None:
            await asyncio.sleep(NETWORK_DELAY)
            self._record(upstream, loop.time() + period.pause)
            answer |= {names.NOT_RUN: "1", names.RETRY_AFTER: f"{period.pause:.3f}"}
            return _Answer(503, answer)
        upstream.ran += 1
        await asyncio.sleep(SERVICE_TIME + NETWORK_DELAY)
        if leaves:
            self._record(upstream, float("inf"))
        return _Answer(200, answer | {names.SIGNATURE: "s"})

    def _record(self, upstream: SimulatedUpstream, until: float) -> None:
        at = asyncio.get_running_loop().time()
        upstream.announcements.append(Announcement(self._entry, at, until))


class GatewayFleet:
    """A fleet of entries and upstreams; needs a running `VirtualLoop`.

    Args:
        upstreams: The upstreams.
        entries: Number of entries.
        engines: Whether the pool's upstreams are engines, for which requests wait.
        seed: Seed of all random numbers.
        connect_s: Longest time to open a connection, in seconds.
    """

    def __init__(
        self,
        upstreams: Iterable[SimulatedUpstream],
        *,
        entries: int = 2,
        engines: bool = True,
        seed: int = 1,
        connect_s: float = NETWORK_DELAY,
    ) -> None:
        self.rng = random.Random(seed)
        self.connect_s = connect_s
        self.upstreams = {one.row.ip: one for one in upstreams}
        self.outcomes: list[Outcome] = []
        self.took: list[float] = []
        self._clock = VirtualClock(cast(VirtualLoop, asyncio.get_running_loop()))
        engine = EngineProfile(slots=4, memory_tokens=100_000) if engines else None
        kind = PoolKind.ENGINE if engines else PoolKind.SERVICE
        self._pools = {"p": Pool("p", kind, engine=engine)}
        self._entries = entries
        self.gateways = [self._gateway(number) for number in range(entries)]
        self._numbers = 0

    def _gateway(self, number: int) -> Gateway:
        view = UpstreamView()
        view.update("a", [one.row for one in self.upstreams.values()], 0)
        feed = SimpleNamespace(
            view=view,
            entries=EntryCount(),
            configuration=Configuration(1, pools=self._pools),
            version=1,
            age=0,
            fresh=True,
            confirmed=True,
            broadcast=lambda _: None,
        )
        gateway = Gateway(
            feed=cast("Any", feed),
            dialect=PlatformDialect(),
            client=cast("Any", _Client(number, self)),
            clock=self._clock,
            retry_limits=RETRY_LIMITS,
            metrics=RoutingMetrics(Metrics()),
            rng=random.Random(self.rng.random()),
            lag=cast("Any", SimpleNamespace(millis=0)),
            entry=f"entry-{number}",
        )
        share = RETRY_LIMITS.slack // EVEN_PART // self._entries
        now = self._clock.now()
        gateway.budget.set_share("p", share, now + FOREVER, now)
        return gateway

    async def call(self, entry: int, *, max_wait: int = 3_000) -> None:
        """Run a request through an entry, and record its outcome and duration."""
        self._numbers += 1
        now = self._clock.now()
        route = make_route("r", "/chat/", "p")
        request_id = f"r-{self._numbers}"
        subject = f"subject-{self._numbers % SUBJECTS}"
        req = make_request(subject, "own", request_id=request_id)
        admitted = AdmittedRequest(
            req=replace(req, headers=((names.REQUEST_ID, request_id),)),
            body=b"{}",
            route=msgspec.structs.replace(route, latency_objective=400),
            pool="p",
            account="bank",
            arrived=now,
            deadline=now + max_wait,
        )
        http = SimpleNamespace(transport=None, protocol=None)
        exchange = Exchange(self.gateways[entry], cast("Any", http), admitted)
        began = asyncio.get_running_loop().time()
        await exchange.run()
        self.took.append(asyncio.get_running_loop().time() - began)
        self.outcomes.append(exchange.outcome)

    async def keep_calling(self, *, every: float, span: float) -> None:
        """Make requests at random times.

        Args:
            every: Mean seconds between requests at one entry.
            span: Seconds for which requests are made.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + span
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                await asyncio.sleep(self.rng.uniform(0, 2 * every / len(self.gateways)))
                group.create_task(self.call(self.rng.randrange(len(self.gateways))))


def simulated_upstreams(count: int, **first: Any) -> list[SimulatedUpstream]:
    """Return upstreams, the first one with the given fields."""
    rows = [make_upstream(number) for number in range(1, count + 1)]
    return [
        SimulatedUpstream(row, **(first if number == 0 else {}))
        for number, row in enumerate(rows)
    ]
