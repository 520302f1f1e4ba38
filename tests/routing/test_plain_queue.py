"""Requests for plain pools that wait at an entry for capacity."""

from __future__ import annotations

from leadseam.routing.load import Load
from leadseam.routing.placement import Placement
from leadseam.routing.plain_queue import PlainQueue, PlainWaiter
from leadseam.routing.scope import Scope
from tests.routing.samples import make_upstream

SCOPE = Scope("p")
PLACEMENT = Placement(make_upstream(1), Load(requests=1), 0)


class Pool:
    """A pool with some capacity, and the accounts in the order of their placement."""

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
        """Enter a request."""
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


def test_a_request_is_placed_at_once_while_there_is_capacity() -> None:
    pool = Pool(capacity=1)
    assert pool.arrive("a", 0).placement == PLACEMENT
    assert not pool.arrive("a", 0).done
    assert len(pool.queue) == 1


def test_the_account_with_the_fewest_recent_requests_goes_first() -> None:
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


def test_a_new_request_does_not_overtake_an_account_that_got_less() -> None:
    pool = Pool(capacity=1)
    pool.arrive("flood", 0)
    pool.order.clear()
    waiting = pool.arrive("small", 1)
    pool.capacity = 1
    assert not pool.arrive("flood", 2).done
    assert not waiting.done
    pool.queue.pump(5)
    assert pool.order == ["small"]


def test_old_requests_decay() -> None:
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


def test_a_request_is_refused_after_its_wait_and_not_before() -> None:
    pool = Pool()
    waiter = pool.arrive("a", 0)
    pool.queue.pump(49)
    assert not waiter.done
    pool.queue.pump(50)
    assert waiter.done
    assert waiter.placement is None
    assert len(pool.queue) == 0


def test_a_request_is_refused_at_once_when_no_upstream_is_left() -> None:
    pool = Pool()
    waiter = pool.arrive("a", 0)
    pool.upstreams = []
    pool.queue.pump(5)
    assert waiter.done
    assert waiter.placement is None


def test_a_waiting_request_does_not_block_other_pools() -> None:
    pool = Pool(capacity=1)
    other = pool.arrive("a", 0, scope=Scope("other"))
    assert pool.arrive("a", 1).placement == PLACEMENT
    assert not other.done


def test_the_request_of_a_disconnected_caller_is_removed() -> None:
    pool = Pool()
    waiter = pool.arrive("a", 0)
    pool.queue.withdraw(waiter)
    pool.capacity = 1
    pool.queue.pump(5)
    assert waiter.placement is None
    assert pool.capacity == 1
