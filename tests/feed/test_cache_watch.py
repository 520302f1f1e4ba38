"""Which engines a replica polls, when, and what entries learn; one failure per test."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import msgspec
import pytest

from leadseam.clock import SystemClock, sleep
from leadseam.control.configuration import Configuration, Pool, PoolKind
from leadseam.control.routes import EngineProfile
from leadseam.control.state import ControlState, Replace
from leadseam.emulate.virtual import VirtualClock, VirtualLoop
from leadseam.feed.cache_watch import (
    MAX_PAUSE,
    POLL_INTERVAL,
    CacheWatch,
    CallFailed,
    CallRefused,
    is_watchable,
)
from leadseam.feed.client import FeedClient
from leadseam.feed.prefix_index import (
    CHANGES_INTERVAL,
    INTEREST_TTL,
    CacheEvent,
    EventPage,
)
from leadseam.feed.server import FeedServer
from leadseam.routing.part_holders import PartHolders, part_digest
from leadseam.runtime.metrics import ControlMetrics, Metrics
from leadseam.settings.models import Endpoint
from leadseam.wire.feed import PartInterest
from leadseam.wire.link import listen
from leadseam.wire.traffic import Traffic
from tests.routing.samples import make_upstream
from tools.ports import LOOPBACK
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from leadseam.clock import Clock, Millis
    from leadseam.feed.cache_watch import EventAnswer
    from leadseam.wire.feed import Registration

ENTRY = 7
PART = part_digest("a")
ROW = make_upstream(1, start=1)
MOVED = msgspec.structs.replace(ROW, ip="10.0.0.9")
RESTARTED = msgspec.structs.replace(make_upstream(1, start=2), ip="10.0.0.8")
PROFILE = EngineProfile(
    slots=4,
    memory_tokens=1_000,
    fetches=True,
    token_bytes=1_000,
    link_mbps=1_000.0,
    event_calls=12,
)


@dataclass
class FakeEngines:
    """Source of events of engines that all hold one part."""

    clock: Clock
    epoch: int = 1
    events: tuple[CacheEvent, ...] = (CacheEvent(1, "a", 600),)
    failure: CallRefused | CallFailed | None = None
    delay: Millis = 0
    lost: bool = False
    spoilt_cursor: str = ""
    calls: list[tuple[Millis, str]] = field(default_factory=list)

    async def read(self, engine: Registration, cursor: str, _: Millis) -> EventAnswer:
        self.calls.append((self.clock.now(), engine.ip))
        await sleep(self.delay)
        if self.failure is not None:
            return self.failure
        if not cursor.isdecimal():
            return CallFailed("status 400", rejected=True)
        lost, self.lost = self.lost, False
        events = tuple(one for one in self.events if one.number > int(cursor))
        end = max((one.number for one in self.events), default=0)
        spoilt, self.spoilt_cursor = self.spoilt_cursor, ""
        return EventPage(str(self.epoch), spoilt or str(end), lost, events)

    async def close(self) -> None:
        return


class Replica:
    """A watch with an entry that follows it, in virtual time."""

    def __init__(self) -> None:
        self.clock = VirtualClock(cast(VirtualLoop, asyncio.get_running_loop()))
        self.engines = FakeEngines(self.clock)
        self.rows = [ROW]
        self.entry = PartHolders()
        self.watch = CacheWatch(
            self.engines,
            engines=lambda: self.rows,
            send=lambda _, changes: self.entry.apply("r", changes),
            clock=self.clock,
            metrics=ControlMetrics(Metrics()),
        )

    def interest(self) -> None:
        """Have the entry state its interest."""
        self.watch.receive(ENTRY, PartInterest((PART,)))

    def held(self, row: Registration = ROW) -> int | None:
        """Return the tokens of the part that an engine holds as the entry knows."""
        return self.entry.tokens_held(row.incarnation.digest(), PART)

    async def calls_within(self, span: Millis) -> list[str]:
        """Return the addresses of engines that are called within a time."""
        before = len(self.engines.calls)
        await sleep(span)
        return [ip for _, ip in self.engines.calls[before:]]


def in_virtual_time(
    scenario: Callable[[Replica], Awaitable[None]],
) -> Callable[[], None]:
    """Return a test whose scenario starts when the entry knows the holder."""

    async def main() -> None:
        replica = Replica()
        task = asyncio.create_task(replica.watch.run())
        assert await replica.calls_within(2_000) == []
        replica.interest()
        await sleep(1_000)
        assert replica.held() == 600
        await scenario(replica)
        task.cancel()

    def test() -> None:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(main())

    return test


@in_virtual_time
async def test_engines_are_polled_only_while_there_is_interest(
    replica: Replica,
) -> None:
    assert 38 <= len(await replica.calls_within(10_000)) <= 41
    await sleep(INTEREST_TTL - 10_000)
    assert replica.held() is None
    assert await replica.calls_within(5_000) == []


@in_virtual_time
async def test_an_engine_that_restarts_is_read_from_the_start(
    replica: Replica,
) -> None:
    """Its memory is empty, and its old cursor may hide the first events."""
    replica.engines.epoch, replica.engines.events = 2, ()
    await sleep(1_000)
    assert replica.held() == 0
    replica.engines.epoch, replica.engines.events = 3, (CacheEvent(0, "a", 500),)
    replica.engines.events += (CacheEvent(1, "a", 700),)
    await sleep(1_000)
    assert replica.held() == 700


@in_virtual_time
async def test_parts_are_learned_again_after_a_gap(replica: Replica) -> None:
    """An eviction may be among the lost events."""
    replica.engines.lost = True
    await sleep(1_000)
    assert replica.held() == 0
    replica.engines.events += (CacheEvent(2, "a", 650),)
    await sleep(1_000)
    assert replica.held() == 650


@pytest.mark.parametrize(
    "cursor", ["1", "0", "-1", str(2**63 - 1), str(2**64), "1" + "0" * 63, "x", "NaN"]
)
def test_a_spoilt_cursor_hides_no_later_events(cursor: str) -> None:
    """An engine that is asked for events after a spoilt cursor has none or refuses."""

    @in_virtual_time
    async def run(replica: Replica) -> None:
        replica.engines.spoilt_cursor = cursor
        await sleep(POLL_INTERVAL)
        replica.engines.events += (CacheEvent(2, "a", 650),)
        await sleep(2_000)
        assert replica.held() == 650
        replica.engines.events += (CacheEvent(3, "a", 0),)
        await sleep(2_000)
        assert replica.held() == 0

    run()


@in_virtual_time
async def test_a_spoilt_epoch_hides_no_later_events(replica: Replica) -> None:
    for epoch in (2**64, -1, 1):
        replica.engines.epoch = epoch
        await sleep(1_000)
        assert replica.held() == 600


@pytest.mark.parametrize(
    ("failure", "delay"),
    [(CallRefused(), 0), (CallFailed("reset"), 0), (None, 60_000)],
    ids=["refused", "failed", "silent"],
)
def test_an_engine_without_an_answer_is_dropped_and_called_less(
    failure: CallRefused | CallFailed | None, delay: Millis
) -> None:
    """It serves few calls at a time, and those beyond them get 429."""

    @in_virtual_time
    async def run(replica: Replica) -> None:
        replica.engines.failure, replica.engines.delay = failure, delay
        await sleep(1_700)
        assert replica.held() == 600
        await sleep(700)
        assert replica.held() is None
        await sleep(10_000)
        replica.interest()
        assert 2 <= len(await replica.calls_within(12_000)) <= 7
        replica.engines.failure, replica.engines.delay = None, 0
        await sleep(MAX_PAUSE + 2_500)
        assert replica.held() == 600
        replica.engines.failure = CallRefused()
        assert len(await replica.calls_within(1_500)) > 1

    run()


@pytest.mark.parametrize(
    "later", [(), (RESTARTED,), (MOVED,)], ids=["left", "started again", "moved"]
)
def test_only_present_engines_are_called(later: tuple[Registration, ...]) -> None:
    @in_virtual_time
    async def run(replica: Replica) -> None:
        replica.rows = list(later)
        await sleep(1_000)
        assert replica.held() == (600 if later == (MOVED,) else None)
        assert all(replica.held(row) == 600 for row in later)
        called = await replica.calls_within(1_000)
        assert set(called) == {row.ip for row in later}

    run()


@pytest.mark.parametrize("field", ["fetches", "event_calls", "link_mbps"])
def test_engines_are_watched_only_where_parts_can_be_fetched(field: str) -> None:
    assert is_watchable(Pool("p", PoolKind.ENGINE, model="m", engine=PROFILE))
    profile = msgspec.structs.replace(PROFILE, **{field: 0})
    assert not is_watchable(Pool("p", PoolKind.ENGINE, model="m", engine=profile))
    assert not is_watchable(Pool("p", PoolKind.SERVICE))


@asynccontextmanager
async def serving_replica() -> AsyncIterator[tuple[FakeEngines, Endpoint]]:
    """Serve the feed of a replica with one engine."""
    state = ControlState()
    pools = {"p": Pool("p", PoolKind.ENGINE, model="m", engine=PROFILE)}
    state.apply(Replace(Configuration(1, pools=pools)))
    box = SimpleNamespace(state=state, members=(), is_current=lambda: False)
    engines = FakeEngines(SystemClock())
    metrics = ControlMetrics(Metrics())
    feed = FeedServer(cast("Any", box), metrics, event_source=engines)
    feed.register(ROW)
    assert feed._cache_watch is not None
    watching = asyncio.create_task(feed._cache_watch.run())
    server = await listen(LOOPBACK, 0, feed.serve, Traffic())
    try:
        yield engines, Endpoint(LOOPBACK, server.sockets[0].getsockname()[1])
        assert not watching.done()
    finally:
        watching.cancel()
        server.close()
        await server.wait_closed()


@asynccontextmanager
async def following_entry(endpoint: Endpoint) -> AsyncIterator[FeedClient]:
    """Follow a replica with an entry that states its interest first."""
    client = FeedClient(
        node="entry-1",
        incarnation=1,
        endpoints=(endpoint,),
        clock=SystemClock(),
        traffic=Traffic(),
        on_change=lambda _: None,
        greeting=lambda: (PartInterest((PART,)),),
    )
    following = asyncio.create_task(client.run())
    try:
        await _until(lambda: _held(client) == 600)
        yield client
    finally:
        following.cancel()


def _held(client: FeedClient) -> int | None:
    return client.holders.tokens_held(ROW.incarnation.digest(), PART)


async def _until(condition: Callable[[], bool]) -> None:
    async def check() -> bool:
        return condition()

    await wait_until(check, "the other side has noticed", timeout=10.0)


async def test_engines_of_a_lost_replica_are_not_covered() -> None:
    async with AsyncExitStack() as entry:
        async with serving_replica() as (_, endpoint):
            client = await entry.enter_async_context(following_entry(endpoint))
        await _until(lambda: _held(client) is None)


async def test_a_lost_entry_does_not_end_the_watch() -> None:
    """Changes sent to a subscriber that is gone would raise in the replica's task."""
    async with serving_replica() as (engines, endpoint):
        async with following_entry(endpoint):
            pass
        engines.epoch = 2
        await sleep(POLL_INTERVAL + 5 * CHANGES_INTERVAL)
