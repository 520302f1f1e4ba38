"""Requests for plain pools that wait at an entry for room."""

from __future__ import annotations

from leadseam.routing.load import Load
from leadseam.routing.placement import Placement
from leadseam.routing.plain_queue import PlainQueue, PlainWaiter
from leadseam.routing.scope import Scope
from tests.routing.samples import make_upstream

SCOPE = Scope("p")
PLACEMENT = Placement(make_upstream(1), Load(requests=1), 0)


class Pool:
    """A pool with some room, and the order in which it was given."""

    def __init__(self, capacity: int = 0) -> None:
        self.capacity = capacity
        self.order: list[str] = []
        self.upstreams = [PLACEMENT.upstream]
        self.queue = PlainQueue(
            candidates=lambda _: self.upstreams, pick=self._pick, begin=self._begin
        )

    def _pick(self, scope: Scope, *_: object) -> Placement | None:
        return PLACEMENT if self.capacity and scope == SCOPE else None

    def _begin(self, _: Placement) -> None:
        self.capacity -= 1

    def arrive(
        self, account: str, now: int, *, wait: int = 50, scope: Scope = SCOPE
    ) -> PlainWaiter:
        """Let a request come in."""
        waiter = PlainWaiter(
            account=account,
            scope=scope,
            tried=set(),
            arrived=now,
            refuse_at=now + wait,
            wake=lambda: self.order.append(account),
        )
        self.queue.enter(waiter, now)
        return waiter


def test_what_finds_room_is_sent_at_once() -> None:
    pool = Pool(capacity=1)
    assert pool.arrive("a", 0).placement == PLACEMENT
    assert not pool.arrive("a", 0).done
    assert len(pool.queue) == 1


def test_who_got_least_of_late_goes_first() -> None:
    pool = Pool(capacity=3)
    for _ in range(3):
        pool.arrive("flood", 0)
    pool.order.clear()
    pool.arrive("flood", 1)
    pool.arrive("small", 2)
    pool.capacity = 1
    pool.queue.pump(5)
    assert pool.order == ["small"]
    pool.capacity = 1
    pool.queue.pump(10)
    assert pool.order == ["small", "flood"]


def test_a_newcomer_does_not_overtake_one_that_got_less() -> None:
    pool = Pool(capacity=1)
    pool.arrive("flood", 0)
    pool.order.clear()
    waiting = pool.arrive("small", 1)
    pool.capacity = 1
    assert not pool.arrive("flood", 2).done
    assert not waiting.done
    pool.queue.pump(5)
    assert pool.order == ["small"]


def test_what_got_long_ago_fades() -> None:
    pool = Pool(capacity=2)
    pool.arrive("early", 0)
    pool.arrive("early", 0)
    pool.capacity = 1
    pool.arrive("late", 20_000)
    pool.order.clear()
    pool.arrive("late", 20_001)
    pool.arrive("early", 20_002)
    pool.capacity = 1
    pool.queue.pump(20_010)
    assert pool.order == ["early"]


def test_it_is_refused_after_its_wait_and_not_before() -> None:
    pool = Pool()
    waiter = pool.arrive("a", 0)
    pool.queue.pump(49)
    assert not waiter.done
    pool.queue.pump(50)
    assert waiter.done
    assert waiter.placement is None
    assert len(pool.queue) == 0


def test_it_is_refused_at_once_when_no_upstream_is_left() -> None:
    pool = Pool()
    waiter = pool.arrive("a", 0)
    pool.upstreams = []
    pool.queue.pump(5)
    assert waiter.done
    assert waiter.placement is None


def test_a_full_pool_keeps_nobody_else_waiting() -> None:
    pool = Pool(capacity=1)
    other = pool.arrive("a", 0, scope=Scope("other"))
    assert pool.arrive("a", 1).placement == PLACEMENT
    assert not other.done


def test_a_caller_that_leaves_is_forgotten() -> None:
    pool = Pool()
    waiter = pool.arrive("a", 0)
    pool.queue.withdraw(waiter)
    pool.capacity = 1
    pool.queue.pump(5)
    assert waiter.placement is None
    assert pool.capacity == 1
