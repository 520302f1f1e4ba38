"""Entries' own data path before modelled upstreams, in virtual time.

Each entry is a whole `Gateway`; only the client that opens connections is replaced. It
takes its time for a connection, asks for leave as the real one does, and counts what
reaches an upstream.
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
    from collections.abc import Callable, Iterable

    from leadseam.outcome import Outcome
    from leadseam.wire.feed import Registration

HOP = 0.002
"""Seconds from box to box."""
WORK = 0.05
"""Seconds that an upstream works on a request."""


SUBJECTS = 20
"""Shared parts of prompts that requests ask about in turn."""


@dataclass(frozen=True, slots=True)
class Spell:
    """A time in which an upstream turns away all that reaches it.

    Args:
        begin: When it begins, in seconds.
        end: When it ends.
        rest: Seconds of rest for which the upstream asks each time.
    """

    begin: float
    end: float
    rest: float


@dataclass(frozen=True, slots=True)
class Heard:
    """A word of an upstream that an entry has heard.

    Args:
        entry: The entry.
        at: When it heard it, in seconds.
        until: Until when nothing is wanted; infinite for one that leaves.
    """

    entry: int
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that has reached an upstream.

    Args:
        entry: Entry that sent it.
        at: When it was written, in seconds.
    """

    entry: int
    at: float


@dataclass
class Modelled:
    """A modelled upstream.

    Args:
        row: Its registration.
        spells: When it turns requests away.
        leaves_at: When its answers begin to say that it leaves, in seconds.
        arrivals: What has reached it.
        words: What entries have heard of it.
        ran: Requests that it ran.
    """

    row: Registration
    spells: tuple[Spell, ...] = ()
    leaves_at: float = float("inf")
    arrivals: list[Arrival] = field(default_factory=list)
    words: list[Heard] = field(default_factory=list)
    ran: int = 0

    def spell_at(self, at: float) -> Spell | None:
        """Return the spell in which it is, if any."""
        return next((one for one in self.spells if one.begin <= at < one.end), None)

    def broken_words(self) -> list[tuple[Heard, Arrival]]:
        """Return words of it and requests that were written in spite of them."""
        return [
            (word, arrival)
            for word in self.words
            for arrival in self.arrivals
            if word.entry == arrival.entry and word.at < arrival.at < word.until
        ]


class _Answer:
    """An answer as the library hands it out."""

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = CIMultiDict(headers)
        self.content = SimpleNamespace(readany=self.read)

    async def read(self) -> bytes:
        """Return the end of the body."""
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
        may_send: Callable[[], bool],
        **_: object,
    ) -> _Answer:
        """Open a connection, ask for leave, and let the upstream answer."""
        fleet = self._fleet
        await asyncio.sleep(fleet.rng.uniform(0, fleet.connect_s))
        if not may_send():
            raise WithheldError
        loop = asyncio.get_running_loop()
        upstream = fleet.upstreams[ip]
        upstream.arrivals.append(Arrival(self._entry, loop.time()))
        await asyncio.sleep(HOP)
        request_id = dict(headers)[names.REQUEST_ID]
        said = {names.REQUEST_ID: request_id}
        leaves = loop.time() >= upstream.leaves_at
        if leaves:
            said[names.LEAVING] = names.LEAVING_VALUE
        spell = upstream.spell_at(loop.time())
        if spell is not None:
            await asyncio.sleep(HOP)
            self._hear(upstream, loop.time() + spell.rest)
            said |= {names.NOT_RUN: "1", names.RETRY_AFTER: f"{spell.rest:.3f}"}
            return _Answer(503, said)
        upstream.ran += 1
        await asyncio.sleep(WORK + HOP)
        if leaves:
            self._hear(upstream, float("inf"))
        return _Answer(200, said | {names.SIGNATURE: "s"})

    def _hear(self, upstream: Modelled, until: float) -> None:
        at = asyncio.get_running_loop().time()
        upstream.words.append(Heard(self._entry, at, until))


class GatewayFleet:
    """Entries and upstreams; needs a running `VirtualLoop`.

    Args:
        upstreams: The upstreams.
        entries: Number of entries.
        engines: Whether the pool's upstreams are engines, for which requests wait.
        seed: Seed of all that is random.
        connect_s: Most seconds that opening a connection takes.
    """

    def __init__(
        self,
        upstreams: Iterable[Modelled],
        *,
        entries: int = 2,
        engines: bool = True,
        seed: int = 1,
        connect_s: float = HOP,
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
            subscribers=2,
            broadcast=lambda _: None,
        )
        return Gateway(
            feed=cast("Any", feed),
            dialect=PlatformDialect(),
            client=cast("Any", _Client(number, self)),
            clock=self._clock,
            retry_limits=RetryLimits(ratio=0.2, slack=100),
            metrics=RoutingMetrics(Metrics()),
            rng=random.Random(self.rng.random()),
            lag=cast("Any", SimpleNamespace(millis=0)),
            entry=f"entry-{number}",
        )

    async def call(self, entry: int, *, patience: int = 3_000) -> None:
        """Make a request through an entry, and note its outcome."""
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
            deadline=now + patience,
        )
        http = SimpleNamespace(transport=None, protocol=None)
        exchange = Exchange(self.gateways[entry], cast("Any", http), admitted)
        began = asyncio.get_running_loop().time()
        await exchange.run()
        self.took.append(asyncio.get_running_loop().time() - began)
        self.outcomes.append(exchange.outcome)

    async def keep_calling(self, *, every: float, span: float) -> None:
        """Make requests at random moments, at each entry every so many seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + span
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                await asyncio.sleep(self.rng.uniform(0, 2 * every / len(self.gateways)))
                group.create_task(self.call(self.rng.randrange(len(self.gateways))))


def modelled(count: int, **first: Any) -> list[Modelled]:
    """Return upstreams, the first one with other fields than the rest."""
    rows = [make_upstream(number) for number in range(1, count + 1)]
    return [
        Modelled(row, **(first if number == 0 else {}))
        for number, row in enumerate(rows)
    ]
