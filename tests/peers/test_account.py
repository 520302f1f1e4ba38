"""The account of what a process holds for its peers."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from leadseam.peers.account import (
    SMALL_HOLDING,
    Full,
    Granted,
    Holding,
    PeerAccount,
    Shortage,
    Stage,
)
from leadseam.peers.limits import PeerLimits

MAX_BYTES = 1_000_000
MAX_CONNECTIONS = 8
LARGE = 4 * SMALL_HOLDING


def make_account() -> PeerAccount:
    return PeerAccount(max_bytes=MAX_BYTES, max_connections=MAX_CONNECTIONS)


def open_holding(account: PeerAccount, stage: Stage, held: int, since: int) -> Holding:
    """Return a new holding with some bytes, which must fit."""
    holding = Holding("10.0.0.1", since)
    assert account.open(holding, 0, since) == Granted()
    assert account.take(holding, held, since) == Granted()
    account.set_stage(holding, stage, since)
    return holding


def test_a_small_request_gets_in_while_large_ones_run() -> None:
    account = make_account()
    large = Holding("10.0.0.1", 0)
    account.open(large, 0, 0)
    account.set_stage(large, Stage.RUNNING, 0)
    assert account.take(large, MAX_BYTES * 3 // 4, 0) == Granted()
    assert account.take(large, 1, 0) == Full(Shortage.BYTES)
    small = open_holding(account, Stage.ARRIVING, SMALL_HOLDING, 0)
    assert small.held == SMALL_HOLDING


def test_the_unfinished_request_that_has_used_most_is_shed_first() -> None:
    account = make_account()
    old = open_holding(account, Stage.ARRIVING, LARGE, 0)
    new = open_holding(account, Stage.ARRIVING, LARGE, 9_000)
    running = open_holding(account, Stage.RUNNING, LARGE // 2, 0)
    other = open_holding(account, Stage.ARRIVING, 0, 10_000)
    assert account.take(other, LARGE, 10_000) == Granted((old,))
    assert (old.held, old.stage) == (0, Stage.CLOSING)
    assert (new.held, running.held) == (LARGE, LARGE // 2)


def test_the_request_that_asks_is_refused_if_it_has_used_most() -> None:
    account = make_account()
    old = open_holding(account, Stage.ARRIVING, 2 * LARGE, 0)
    new = open_holding(account, Stage.ARRIVING, SMALL_HOLDING, 10_000)
    assert account.take(old, LARGE, 10_000) == Full(Shortage.BYTES)
    assert new.held == SMALL_HOLDING


def test_idle_connections_are_closed_for_new_ones() -> None:
    account = make_account()
    holdings = [
        open_holding(account, Stage.RUNNING, 0, number)
        for number in range(MAX_CONNECTIONS)
    ]
    new = Holding("10.0.0.2", 100)
    assert account.open(new, 0, 100) == Full(Shortage.CONNECTIONS)
    account.set_stage(holdings[5], Stage.IDLE, 50)
    account.set_stage(holdings[3], Stage.ARRIVING, 40)
    assert account.open(new, 0, 100) == Granted((holdings[5],))
    assert len(account) == MAX_CONNECTIONS


def test_no_connection_is_closed_for_one_that_does_not_fit() -> None:
    account = make_account()
    for number in range(MAX_CONNECTIONS - 1):
        open_holding(account, Stage.RUNNING, 0, number)
    idle = open_holding(account, Stage.IDLE, 0, 0)
    found = account.open(Holding("10.0.0.2", 100), 2 * MAX_BYTES, 100)
    assert found == Full(Shortage.BYTES)
    assert (len(account), idle.stage) == (MAX_CONNECTIONS, Stage.IDLE)


def test_limits_follow_from_the_box() -> None:
    limits = PeerLimits.of_box(memory_mb=150, resident=50_000_000, sockets=2_000)
    assert limits == PeerLimits(max_bytes=50_000_000, max_connections=1_500)
    unknown = PeerLimits.of_box(memory_mb=0, resident=50_000_000, sockets=0)
    assert unknown == PeerLimits(max_bytes=128_000_000, max_connections=4_096)


class AccountMachine(RuleBasedStateMachine):
    """Any sequence of connections that open, take, change their stage and close."""

    def __init__(self) -> None:
        super().__init__()
        self.account = make_account()
        self.open: list[Holding] = []
        self.now = 0

    def _check_shed(self, found: Granted | Full, taker: Holding) -> None:
        for victim in found.shed if isinstance(found, Granted) else ():
            assert victim is not taker
            assert victim.stage is not Stage.RUNNING

    @rule(price=st.integers(0, 50_000))
    def connect(self, price: int) -> None:
        holding = Holding("10.0.0.1", self.now)
        found = self.account.open(holding, price, self.now)
        if isinstance(found, Granted):
            self._check_shed(found, holding)
            self.open.append(holding)
            if len(self.open) > MAX_CONNECTIONS:
                # The first one makes way for the connection, the others for bytes.
                self.open.remove(found.shed[0])

    @rule(which=st.integers(0, 20), size=st.integers(0, 600_000))
    def take(self, which: int, size: int) -> None:
        if self.open:
            holding = self.open[which % len(self.open)]
            held = holding.held
            found = self.account.take(holding, size, self.now)
            self._check_shed(found, holding)
            granted = isinstance(found, Granted)
            assert holding.held == held + (size if granted else 0)

    @rule(which=st.integers(0, 20), part=st.integers(1, 4))
    def give_back(self, which: int, part: int) -> None:
        if self.open:
            holding = self.open[which % len(self.open)]
            self.account.give_back(holding, holding.held // part)

    @rule(which=st.integers(0, 20), stage=st.sampled_from(Stage))
    def set_stage(self, which: int, stage: Stage) -> None:
        if self.open:
            self.account.set_stage(self.open[which % len(self.open)], stage, self.now)

    @rule(which=st.integers(0, 20))
    def close(self, which: int) -> None:
        if self.open:
            self.account.close(self.open.pop(which % len(self.open)))

    @rule(millis=st.integers(0, 10_000))
    def wait(self, millis: int) -> None:
        self.now += millis

    @invariant()
    def stays_within_its_limits(self) -> None:
        assert 0 <= self.account.held <= MAX_BYTES
        assert len(self.account) == len(self.open) <= MAX_CONNECTIONS
        assert self.account.held == sum(one.held for one in self.open)


TestAccount = AccountMachine.TestCase
