"""Waiting for room, the order of accounts, and early refusals."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from leadseam.control.routes import EngineProfile
from leadseam.routing.admission import (
    ENTITLED_PART,
    MAX_READING_AHEAD,
    MIN_WAIT_PART,
    Admission,
    Waiter,
)
from leadseam.routing.balance import Balancer
from leadseam.routing.dialect import PromptPart
from leadseam.routing.estimate import FIRST_BASE, FIRST_RATE
from leadseam.routing.load import Load
from leadseam.routing.scope import Scope
from leadseam.routing.usage import Standing
from tests.routing.samples import make_request, make_upstream

ENGINE = make_upstream(1)
PROFILE = EngineProfile(slots=4, memory_tokens=1_000_000)
OBJECTIVE = 400


@dataclass
class Room:
    """An admission to one engine, with levels set by hand."""

    levels: dict[str, int] = field(default_factory=dict)
    standings: dict[str, Standing] = field(default_factory=dict)
    woken: list[str] = field(default_factory=list)
    balancer: Balancer = field(default_factory=lambda: Balancer(random.Random(1)))

    def __post_init__(self) -> None:
        self.admission = Admission(
            balancer=self.balancer,
            candidates=lambda pool: [ENGINE],
            standing=lambda account, now: self.standings.get(account, Standing.WITHIN),
            recent_service=lambda account, now: self.levels.get(account, 0),
        )

    def read(self, millis: int) -> None:
        """Give the engine so much to read that it takes some milliseconds."""
        load = Load(requests=1, unread=round(millis * FIRST_RATE))
        self.balancer.loads.begin(ENGINE.incarnation, load)

    def enter(self, account: str, now: int = 0, *, prompt: int = 100) -> Waiter:
        """Let a request of an account come."""
        req = make_request("system", "own", request_id=account)
        req = replace(req, parts=(req.parts[0], PromptPart("own", prompt)))
        waiter = Waiter(
            req=req,
            account=account,
            scope=Scope("p"),
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
        self.balancer.loads.end(ENGINE.incarnation, waiter.placement.load)
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


def test_what_finds_no_room_is_refused_once_it_cannot_be_in_time() -> None:
    room = Room()
    for _ in range(4):
        room.enter("a")
    waiter = room.enter("a", 100)
    alone = FIRST_BASE + 100 / FIRST_RATE
    assert waiter.refuse_at == 100 + round(OBJECTIVE * ENTITLED_PART - alone)
    room.admission.pump(waiter.refuse_at - 1)
    assert not waiter.done
    room.admission.pump(waiter.refuse_at)
    assert waiter.done
    assert waiter.placement is None


def test_a_prompt_too_long_for_the_objective_waits_for_a_slot_only_shortly() -> None:
    room = Room()
    for _ in range(4):
        room.enter("a")
    waiter = room.enter("a", 100, prompt=50_000)
    assert waiter.refuse_at == 100 + round(OBJECTIVE * MIN_WAIT_PART)
    assert waiter.refuse_at < 100 + OBJECTIVE / 4


def test_the_engines_queue_is_kept_short_for_all() -> None:
    room = Room()
    room.read(MAX_READING_AHEAD + 1)
    waiter = room.enter("a")
    # It could be in time behind 270 ms of reading; who is short might come meanwhile.
    assert not waiter.done
    room.balancer.loads.read(ENGINE.incarnation, 100)
    room.admission.pump(5)
    assert waiter.placement is not None


def test_the_reading_ahead_follows_the_standing() -> None:
    for standing, ahead, placed, waits in (
        (Standing.WITHIN, 99, True, False),
        (Standing.EVEN, 1, False, True),
        (Standing.EVEN, 0, True, False),
        (Standing.AHEAD, 1, False, False),
        (Standing.AHEAD, 0, True, False),
        (Standing.STOPPED, 0, False, False),
    ):
        room = Room(standings={"a": standing})
        room.read(ahead)
        waiter = room.enter("a")
        assert (waiter.placement is not None, not waiter.done) == (placed, waits)


def test_an_account_ahead_of_others_leaves_time_for_them() -> None:
    room = Room(standings={"menus": Standing.AHEAD})
    room.read(20)
    over = room.enter("menus")
    assert over.done
    assert over.placement is None
    assert room.enter("pay").placement is not None


def test_an_idle_engine_takes_an_account_ahead_of_others() -> None:
    room = Room(standings={"menus": Standing.AHEAD})
    assert room.enter("menus").placement is not None


def test_a_caller_that_is_gone_waits_no_more() -> None:
    room = Room()
    running = [room.enter("a") for _ in range(4)]
    gone = room.enter("b")
    room.admission.withdraw(gone)
    assert len(room.admission) == 0
    room.leave(running[0])
    assert room.balancer.loads.own(ENGINE.incarnation).requests == 3


def test_an_account_that_must_stop_gets_no_room() -> None:
    room = Room(standings={"ahead": Standing.STOPPED})
    waiter = room.enter("ahead")
    assert (waiter.done, waiter.placement) == (True, None)
    assert room.enter("behind").placement is not None
