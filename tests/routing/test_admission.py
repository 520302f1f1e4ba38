"""Waiting for capacity, the order of accounts, and early refusals."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from leadseam.control.routes import EngineProfile
from leadseam.routing.admission import (
    FIRST_TOKEN_PART,
    MAX_READING_AHEAD,
    MIN_WAIT_PART,
    Admission,
    Waiter,
)
from leadseam.routing.balance import Balancer
from leadseam.routing.dialect import PromptPart
from leadseam.routing.estimate import INITIAL_BASE, INITIAL_RATE
from leadseam.routing.load import Load
from leadseam.routing.scope import Scope
from leadseam.routing.usage import Standing
from tests.routing.samples import make_request, make_upstream

ENGINE = make_upstream(1)
PROFILE = EngineProfile(slots=4, memory_tokens=1_000_000)
OBJECTIVE = 400


@dataclass
class AdmissionHarness:
    """An admission queue for one engine, with given service and standings."""

    service: dict[str, int] = field(default_factory=dict)
    standings: dict[str, Standing] = field(default_factory=dict)
    woken: list[str] = field(default_factory=list)
    balancer: Balancer = field(default_factory=lambda: Balancer(random.Random(1)))

    def __post_init__(self) -> None:
        self.admission = Admission(
            balancer=self.balancer,
            candidates=lambda pool: [ENGINE],
            standing=lambda account, now: self.standings.get(account, Standing.WITHIN),
            recent_service=lambda account, now: self.service.get(account, 0),
        )

    def add_reading(self, millis: int) -> None:
        """Give the engine enough unread tokens for this many milliseconds."""
        load = Load(requests=1, unread=round(millis * INITIAL_RATE))
        self.balancer.loads.begin(ENGINE.incarnation, load)

    def enter(
        self,
        account: str,
        now: int = 0,
        *,
        prompt: int = 100,
        retried: bool = False,
        name: str = "",
    ) -> Waiter:
        """Enter a request of an account."""
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
            wake=lambda: self.woken.append(name or account),
            retried=retried,
        )
        self.admission.enter(waiter, now)
        return waiter

    def end(self, waiter: Waiter, now: int = 0) -> None:
        """End a placed request."""
        assert waiter.placement is not None
        self.balancer.loads.end(ENGINE.incarnation, waiter.placement.load)
        self.admission.pump(now)


def test_requests_are_placed_at_once_while_there_is_capacity() -> None:
    harness = AdmissionHarness()
    waiters = [harness.enter("a") for _ in range(5)]
    assert [waiter.done for waiter in waiters] == [True] * 4 + [False]
    assert len(harness.admission) == 1


def test_the_account_with_the_least_service_goes_first() -> None:
    harness = AdmissionHarness(service={"menus": 1_000, "pay": 10})
    running = [harness.enter("menus") for _ in range(4)]
    harness.enter("menus")
    harness.enter("pay", 1)
    harness.woken.clear()
    harness.end(running[0], 2)
    assert harness.woken == ["pay"]
    harness.end(running[1], 3)
    assert harness.woken == ["pay", "menus"]


def test_a_retried_request_goes_first_within_its_account_only() -> None:
    # Guards against a second, final refusal of a caller whose new requests are served,
    # and against an account that gains by retrying.
    harness = AdmissionHarness(service={"menus": 1_000, "pay": 10})
    running = [harness.enter("pay") for _ in range(4)]
    harness.enter("menus", 1, name="new menus")
    harness.enter("menus", 2, name="old menus", retried=True)
    harness.enter("pay", 3, name="new pay")
    harness.enter("pay", 4, name="old pay", retried=True)
    harness.woken.clear()
    for number, one in enumerate(running):
        harness.end(one, 5 + number)
    assert harness.woken == ["old pay", "new pay", "old menus", "new menus"]


def test_retries_do_not_change_the_order_of_accounts_with_equal_service() -> None:
    harness = AdmissionHarness()
    running = [harness.enter("a") for _ in range(4)]
    harness.enter("a", 1, name="a1")
    harness.enter("b", 2, name="b2")
    harness.enter("a", 3, name="a3", retried=True)
    harness.enter("b", 4, name="b4", retried=True)
    harness.woken.clear()
    for number, one in enumerate(running):
        harness.end(one, 5 + number)
    assert harness.woken == ["a3", "b4", "a1", "b2"]


def test_a_new_request_does_not_overtake_a_waiting_retry_of_its_account() -> None:
    harness = AdmissionHarness()
    running = [harness.enter("a") for _ in range(4)]
    retry = harness.enter("a", 1, retried=True)
    harness.balancer.loads.end(ENGINE.incarnation, Load(requests=1))
    new = harness.enter("a", 2)
    assert not new.done
    harness.admission.pump(3)
    assert retry.placement is not None
    assert not new.done
    harness.end(running[0], 4)
    assert new.placement is not None


def test_a_waiting_request_is_refused_once_it_cannot_be_in_time() -> None:
    harness = AdmissionHarness()
    for _ in range(4):
        harness.enter("a")
    waiter = harness.enter("a", 100)
    idle_first_token = INITIAL_BASE + 100 / INITIAL_RATE
    assert waiter.refuse_at == 100 + round(
        OBJECTIVE * FIRST_TOKEN_PART - idle_first_token
    )
    harness.admission.pump(waiter.refuse_at - 1)
    assert not waiter.done
    harness.admission.pump(waiter.refuse_at)
    assert waiter.done
    assert waiter.placement is None


def test_a_prompt_too_long_for_the_objective_waits_only_briefly() -> None:
    harness = AdmissionHarness()
    for _ in range(4):
        harness.enter("a")
    waiter = harness.enter("a", 100, prompt=50_000)
    assert waiter.refuse_at == 100 + round(OBJECTIVE * MIN_WAIT_PART)
    assert waiter.refuse_at < 100 + OBJECTIVE / 4


def test_a_request_that_must_be_late_takes_no_engine_beyond_its_accounts_share() -> (
    None
):
    # Guards against long prompts of a flooding account on the engines that others need.
    harness = AdmissionHarness(standings={"a": Standing.AHEAD, "e": Standing.EVEN})
    for _ in range(2):
        harness.add_reading(0)
    # With 45 ms and 50 tokens per ms, 17,750 tokens take the whole objective of 400 ms.
    late = harness.enter("a", prompt=17_751)
    assert (late.done, late.placement) == (True, None)
    in_time = harness.enter("a", prompt=17_750)
    assert in_time.placement is not None
    harness.end(in_time)
    assert harness.enter("e", prompt=17_751).placement is not None


def test_a_request_that_must_be_late_may_use_spare_capacity() -> None:
    harness = AdmissionHarness(standings={"a": Standing.AHEAD})
    assert harness.enter("a", prompt=17_751).placement is not None


def test_the_engines_queue_is_kept_short_for_all() -> None:
    harness = AdmissionHarness()
    harness.add_reading(MAX_READING_AHEAD + 1)
    waiter = harness.enter("a")
    # It could be in time behind 270 ms of reading, but a short account might send a
    # request in the meantime.
    assert not waiter.done
    harness.balancer.loads.mark_read(ENGINE.incarnation, 100)
    harness.admission.pump(5)
    assert waiter.placement is not None


def test_the_reading_ahead_follows_the_standing() -> None:
    for standing, ahead, placed, waits in (
        (Standing.WITHIN, 99, True, False),
        (Standing.EVEN, 99, True, False),
        (Standing.EVEN, 101, False, True),
        (Standing.AHEAD, 1, False, False),
        (Standing.AHEAD, 0, True, False),
        (Standing.STOPPED, 0, False, False),
    ):
        harness = AdmissionHarness(standings={"a": standing})
        harness.add_reading(ahead)
        waiter = harness.enter("a")
        assert (waiter.placement is not None, not waiter.done) == (placed, waits)


def test_an_account_ahead_of_others_gets_no_engine_that_is_reading() -> None:
    harness = AdmissionHarness(standings={"menus": Standing.AHEAD})
    harness.add_reading(20)
    over = harness.enter("menus")
    assert over.done
    assert over.placement is None
    assert harness.enter("pay").placement is not None


def test_an_idle_engine_takes_an_account_ahead_of_others() -> None:
    harness = AdmissionHarness(standings={"menus": Standing.AHEAD})
    assert harness.enter("menus").placement is not None


def test_the_request_of_a_disconnected_caller_is_removed() -> None:
    harness = AdmissionHarness()
    running = [harness.enter("a") for _ in range(4)]
    gone = harness.enter("b")
    harness.admission.withdraw(gone)
    assert len(harness.admission) == 0
    harness.end(running[0])
    assert harness.balancer.loads.own(ENGINE.incarnation).requests == 3


def test_a_stopped_account_gets_no_capacity() -> None:
    harness = AdmissionHarness(standings={"ahead": Standing.STOPPED})
    waiter = harness.enter("ahead")
    assert (waiter.done, waiter.placement) == (True, None)
    assert harness.enter("behind").placement is not None
