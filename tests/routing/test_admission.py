"""Waiting for room, the order of accounts, and early refusals."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from leadseam.control.routes import EngineProfile
from leadseam.routing.admission import WAIT_PART, Admission, Waiter
from leadseam.routing.balance import Balancer
from leadseam.routing.load import Load
from tests.routing.samples import make_request, make_upstream

ENGINE = make_upstream(1)
PROFILE = EngineProfile(slots=4, memory_tokens=1_000_000)
OBJECTIVE = 400


@dataclass
class Room:
    """An admission to one engine, with levels set by hand."""

    levels: dict[str, int] = field(default_factory=dict)
    over: set[str] = field(default_factory=set)
    stopped: set[str] = field(default_factory=set)
    woken: list[str] = field(default_factory=list)
    balancer: Balancer = field(default_factory=lambda: Balancer(random.Random(1)))

    def __post_init__(self) -> None:
        self.admission = Admission(
            balancer=self.balancer,
            candidates=lambda pool: [ENGINE],
            over_share=lambda account, now: account in self.over,
            level=lambda account, now: self.levels.get(account, 0),
            must_stop=lambda account, now: account in self.stopped,
        )

    def enter(self, account: str, now: int = 0) -> Waiter:
        """Let a request of an account come."""
        req = make_request("system", "own", request_id=account)
        waiter = Waiter(
            req=req,
            account=account,
            pool="p",
            profile=PROFILE,
            objective=OBJECTIVE,
            arrived=now,
            tried=set(),
            wake=lambda: self.woken.append(account),
        )
        self.admission.enter(waiter, now)
        return waiter

    def leave(self, waiter: Waiter, now: int = 0) -> None:
        """End a placed request."""
        assert waiter.placement is not None
        self.balancer.loads.end(ENGINE.instance, waiter.placement.load)
        self.admission.pump(now)


def test_requests_go_at_once_while_there_is_room() -> None:
    room = Room()
    waiters = [room.enter("a") for _ in range(5)]
    assert [waiter.done for waiter in waiters] == [True] * 4 + [False]
    assert len(room.admission) == 1


def test_the_account_with_the_least_service_goes_first() -> None:
    room = Room(levels={"menus": 1_000, "pay": 10})
    running = [room.enter("menus") for _ in range(4)]
    room.enter("menus")
    room.enter("pay", 1)
    room.woken.clear()
    room.leave(running[0], 2)
    assert room.woken == ["pay"]
    room.leave(running[1], 3)
    assert room.woken == ["pay", "menus"]


def test_what_finds_no_room_is_refused_early() -> None:
    room = Room()
    for _ in range(4):
        room.enter("a")
    waiter = room.enter("a", 100)
    assert waiter.refuse_at == 100 + round(OBJECTIVE * WAIT_PART)
    assert waiter.refuse_at < 100 + OBJECTIVE / 4
    room.admission.pump(waiter.refuse_at - 1)
    assert not waiter.done
    room.admission.pump(waiter.refuse_at)
    assert waiter.done
    assert waiter.placement is None


def test_an_account_over_its_share_leaves_time_for_the_others() -> None:
    room = Room(over={"menus"})
    room.balancer.loads.begin(ENGINE.instance, Load(requests=1, unread=10_000))
    over = room.enter("menus")
    assert over.done
    assert over.placement is None
    assert room.enter("pay").placement is not None


def test_an_idle_engine_takes_an_account_over_its_share() -> None:
    room = Room(over={"menus"})
    assert room.enter("menus").placement is not None


def test_a_caller_that_is_gone_waits_no_more() -> None:
    room = Room()
    running = [room.enter("a") for _ in range(4)]
    gone = room.enter("b")
    room.admission.withdraw(gone)
    assert len(room.admission) == 0
    room.leave(running[0])
    assert room.balancer.loads.own(ENGINE.instance).requests == 3


def test_an_account_that_must_stop_gets_no_room() -> None:
    room = Room(over={"ahead"}, stopped={"ahead"})
    waiter = room.enter("ahead")
    assert (waiter.done, waiter.placement) == (True, None)
    assert room.enter("behind").placement is not None
