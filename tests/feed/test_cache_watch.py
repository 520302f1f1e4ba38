"""Which engines a replica polls, when, and what entries learn; one failure per test."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import pytest

from leadseam.clock import SystemClock, sleep
from leadseam.control.configuration import Configuration, Pool, PoolKind
from leadseam.control.routes import EngineProfile
from leadseam.control.state import ControlState, Replace
from leadseam.emulate.virtual import VirtualClock, VirtualLoop
from leadseam.feed.cache_watch import (
    MAX_PAUSE,
    CacheWatch,
    CallFailed,
    CallRefused,
    is_watchable,
)
from leadseam.feed.client import FeedClient
from leadseam.feed.prefix_index import INTEREST_TTL, CacheEvent, EventPage
from leadseam.feed.server import FeedServer
from leadseam.routing.part_holders import PartHolders, part_digest
from leadseam.runtime.metrics import ControlMetrics, Metrics
from leadseam.settings.models import Endpoint
from leadseam.wire.feed import CacheChanges, PartInterest
from leadseam.wire.link import listen
from leadseam.wire.traffic import Traffic
from tests.routing.samples import make_upstream
from tools.ports import LOOPBACK
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Collection

    from leadseam.clock import Millis
    from leadseam.feed.cache_watch import EventAnswer
    from leadseam.wire.feed import Registration

ENTRY = 7
PART = part_digest("a")
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

    clock: VirtualClock
    epoch: int = 1
    events: list[CacheEvent] = field(default_factory=lambda: [CacheEvent(1, "a", 600)])
    failure: CallRefused | CallFailed | None = None
    delay: Millis = 0
    lost: bool = False
    calls: list[tuple[Millis, str]] = field(default_factory=list)

    async def read(self, engine: Registration, cursor: str, _: Millis) -> EventAnswer:
        self.calls.append((self.clock.now(), engine.instance))
        await sleep(self.delay)
        if self.failure is not None:
            return self.failure
        lost, self.lost = self.lost, False
        events = tuple(one for one in self.events if one.number > int(cursor))
        end = max((one.number for one in self.events), default=0)
        return EventPage(str(self.epoch), str(end), lost, events)

    async def close(self) -> None:
        return


class Replica:
    """A watch with an entry that follows it, in virtual time."""

    def __init__(self) -> None:
        self.clock = VirtualClock(cast(VirtualLoop, asyncio.get_running_loop()))
        self.engines = FakeEngines(self.clock)
        self.rows = [make_upstream(1, start=1)]
        self.entry = PartHolders()
        self.metrics = Metrics()
        self.watch = CacheWatch(
            self.engines,
            engines=lambda: self.rows,
            send=self._send,
            clock=self.clock,
            metrics=ControlMetrics(self.metrics),
        )

    def _send(self, _: Collection[int], changes: CacheChanges) -> None:
        self.entry.apply("r", changes)

    def interest(self) -> None:
        """Have the entry state its interest."""
        self.watch.receive(ENTRY, PartInterest((PART,)))

    def held(self, row: Registration | None = None) -> int | None:
        """Return the tokens of the part that an engine holds as the entry knows."""
        engine = (row or self.rows[0]).incarnation.digest()
        return self.entry.tokens_held(engine, PART)

    def calls_since(self, start: Millis) -> int:
        """Return the number of calls to engines from a time on."""
        return sum(at >= start for at, _ in self.engines.calls)


def run(scenario: Callable[[Replica], Awaitable[None]]) -> None:
    """Run a scenario in which the entry knows the holder of the part."""

    async def main() -> None:
        replica = Replica()
        task = asyncio.create_task(replica.watch.run())
        await sleep(2_000)
        assert replica.engines.calls == []
        replica.interest()
        await sleep(1_000)
        assert replica.held() == 600
        await scenario(replica)
        task.cancel()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())


def test_engines_are_polled_four_times_a_second_while_there_is_interest() -> None:
    async def scenario(replica: Replica) -> None:
        start = replica.clock.now()
        await sleep(10_000)
        assert 38 <= replica.calls_since(start) <= 41
        await sleep(INTEREST_TTL)
        assert replica.held() is None
        start = replica.clock.now()
        await sleep(5_000)
        assert replica.calls_since(start) == 0

    run(scenario)


def test_nothing_is_polled_once_all_entries_are_gone() -> None:
    async def scenario(replica: Replica) -> None:
        replica.watch.remove_subscriber(ENTRY)
        await sleep(400)
        start = replica.clock.now()
        await sleep(5_000)
        assert replica.calls_since(start) == 0

    run(scenario)


def test_an_engine_that_restarts_at_its_address_is_read_from_the_start() -> None:
    async def scenario(replica: Replica) -> None:
        replica.engines.epoch = 2
        replica.engines.events = []
        await sleep(1_000)
        assert replica.held() == 0
        replica.engines.events = [CacheEvent(1, "a", 700)]
        await sleep(1_000)
        assert replica.held() == 700

    run(scenario)


def test_after_a_gap_parts_count_as_gone_until_an_event_names_them() -> None:
    async def scenario(replica: Replica) -> None:
        replica.engines.lost = True
        await sleep(1_000)
        assert replica.held() == 0
        replica.engines.events.append(CacheEvent(2, "a", 650))
        await sleep(1_000)
        assert replica.held() == 650
        assert 'cache_polls_total{result="gap"} 1' in replica.metrics.render().decode()

    run(scenario)


@pytest.mark.parametrize("failure", ["refused", "error", "silent"])
def test_an_engine_that_does_not_answer_is_dropped_and_polled_less(
    failure: str,
) -> None:
    """Calls beyond those that an engine serves would be refused again and again."""

    async def scenario(replica: Replica) -> None:
        match failure:
            case "refused":
                replica.engines.failure = CallRefused()
            case "error":
                replica.engines.failure = CallFailed("reset")
            case _:
                replica.engines.delay = 60_000
        await sleep(1_700)
        assert replica.held() == 600
        await sleep(700)
        assert replica.held() is None
        await sleep(10_000)
        replica.interest()
        start = replica.clock.now()
        await sleep(12_000)
        assert 2 <= replica.calls_since(start) <= 7
        replica.engines.failure, replica.engines.delay = None, 0
        await sleep(MAX_PAUSE + 2_500)
        assert replica.held() == 600

    run(scenario)


@pytest.mark.parametrize("later", [None, 2])
def test_an_engine_that_leaves_or_starts_again_is_polled_no_longer(
    later: int | None,
) -> None:
    async def scenario(replica: Replica) -> None:
        (before,) = replica.rows
        replica.rows = [] if later is None else [make_upstream(1, start=later)]
        await sleep(1_000)
        assert replica.held(before) is None
        calls = replica.calls_since(replica.clock.now() - 500)
        assert calls == 0 if later is None else calls <= 3
        if later is not None:
            assert replica.held() == 600

    run(scenario)


def test_engines_are_watched_only_where_parts_can_be_fetched() -> None:
    def pool(**changes: Any) -> Pool:
        fields = {name: getattr(PROFILE, name) for name in PROFILE.__struct_fields__}
        profile = EngineProfile(**(fields | changes))
        return Pool("p", PoolKind.ENGINE, model="m", engine=profile)

    assert is_watchable(pool())
    assert not is_watchable(pool(fetches=False))
    assert not is_watchable(pool(event_calls=0))
    assert not is_watchable(pool(link_mbps=0.0))
    assert not is_watchable(Pool("p", PoolKind.SERVICE))
    assert not is_watchable(None)


@asynccontextmanager
async def serving_replica() -> AsyncIterator[int]:
    """Serve the feed of a replica with one engine on a port; yields the port."""
    state = ControlState()
    pools = {"p": Pool("p", PoolKind.ENGINE, model="m", engine=PROFILE)}
    state.apply(Replace(Configuration(1, pools=pools)))
    box = SimpleNamespace(
        state=state,
        members=(),
        is_current=lambda: False,
        wait_for_apply=asyncio.Event().wait,
        raft=SimpleNamespace(role=None, identity=""),
    )
    engines = FakeEngines(cast("Any", SystemClock()))
    metrics = ControlMetrics(Metrics())
    feed = FeedServer(cast("Any", box), metrics, event_source=engines)
    feed.register(make_upstream(1, start=1))
    watch = feed._cache_watch
    assert watch is not None
    task = asyncio.create_task(watch.run())
    server = await listen(LOOPBACK, 0, feed.serve, Traffic())
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        task.cancel()
        server.close()
        await server.wait_closed()


async def test_engines_of_a_lost_replica_are_not_covered_at_the_entry() -> None:
    """Over real links; the entry states its interest as it follows the replica."""
    digest = make_upstream(1, start=1).incarnation.digest()
    async with serving_replica() as port:
        client = FeedClient(
            node="entry-1",
            incarnation=1,
            endpoints=(Endpoint(LOOPBACK, port),),
            clock=SystemClock(),
            traffic=Traffic(),
            on_change=lambda _: None,
            greeting=lambda: (PartInterest((PART,)),),
        )
        following = asyncio.create_task(client.run())

        async def covered() -> bool:
            return client.holders.tokens_held(digest, PART) == 600

        await wait_until(covered, "the entry knows the holder")
    try:

        async def dropped() -> bool:
            return client.holders.tokens_held(digest, PART) is None

        await wait_until(dropped, "the engine is not covered")
    finally:
        following.cancel()
