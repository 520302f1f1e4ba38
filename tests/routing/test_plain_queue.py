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

    def __init__(self, room: int = 0) -> None:
        self.room = room
        self.order: list[str] = []
        self.upstreams = [PLACEMENT.upstream]
        self.queue = PlainQueue(
            candidates=lambda _: self.upstreams, pick=self._pick, begin=self._begin
        )

    def _pick(self, scope: Scope, *_: object) -> Placement | None:
        return PLACEMENT if self.room and scope == SCOPE else None

    def _begin(self, _: Placement) -> None:
        self.room -= 1

    def come(
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
    pool = Pool(room=1)
    assert pool.come("a", 0).placement == PLACEMENT
    assert not pool.come("a", 0).done
    assert len(pool.queue) == 1


def test_who_got_least_of_late_goes_first() -> None:
    pool = Pool(room=3)
    for _ in range(3):
        pool.come("flood", 0)
    pool.order.clear()
    pool.come("flood", 1)
    pool.come("small", 2)
    pool.room = 1
    pool.queue.pump(5)
    assert pool.order == ["small"]
    pool.room = 1
    pool.queue.pump(10)
    assert pool.order == ["small", "flood"]


def test_a_newcomer_does_not_overtake_one_that_got_less() -> None:
    pool = Pool(room=1)
    pool.come("flood", 0)
    pool.order.clear()
    waiting = pool.come("small", 1)
    pool.room = 1
    assert not pool.come("flood", 2).done
    assert not waiting.done
    pool.queue.pump(5)
    assert pool.order == ["small"]


def test_what_got_long_ago_fades() -> None:
    pool = Pool(room=2)
    pool.come("early", 0)
    pool.come("early", 0)
    pool.room = 1
    pool.come("late", 20_000)
    pool.order.clear()
    pool.come("late", 20_001)
    pool.come("early", 20_002)
    pool.room = 1
    pool.queue.pump(20_010)
    assert pool.order == ["early"]


def test_it_is_refused_after_its_wait_and_not_before() -> None:
    pool = Pool()
    waiter = pool.come("a", 0)
    pool.queue.pump(49)
    assert not waiter.done
    pool.queue.pump(50)
    assert waiter.done
    assert waiter.placement is None
    assert len(pool.queue) == 0


def test_it_is_refused_at_once_when_no_upstream_is_left() -> None:
    pool = Pool()
    waiter = pool.come("a", 0)
    pool.upstreams = []
    pool.queue.pump(5)
    assert waiter.done
    assert waiter.placement is None


def test_a_full_pool_keeps_nobody_else_waiting() -> None:
    pool = Pool(room=1)
    other = pool.come("a", 0, scope=Scope("other"))
    assert pool.come("a", 1).placement == PLACEMENT
    assert not other.done


def test_a_caller_that_leaves_is_forgotten() -> None:
    pool = Pool()
    waiter = pool.come("a", 0)
    pool.queue.withdraw(waiter)
    pool.room = 1
    pool.queue.pump(5)
    assert waiter.placement is None
    assert pool.room == 1
