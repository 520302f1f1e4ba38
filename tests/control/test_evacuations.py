"""Orders on failure domains: the replicated table, late copies, snapshots.

Orders carry no version and may be resent to any replica for 5 s, so a replica has to
tell a new order from a late copy of an equal one. Before there were such orders, each
start of an evacuation in a day of the users' benchmark was answered with 404.
"""

from __future__ import annotations

import cbor2
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from leadseam.control.configuration import Configuration
from leadseam.control.evacuations import MAX_DOMAINS, EvacuationTable
from leadseam.control.order_guard import OrderGuard
from leadseam.control.state import ControlState, Evacuate, EvacuationResult
from leadseam.wire.codec import encode

RESEND = 5_000


def test_an_order_switches_a_domain_once_however_often_it_is_committed() -> None:
    state = ControlState()
    order = Evacuate("north", True, 0, at=7)
    assert state.apply(order) == EvacuationResult(True, 1)
    assert state.apply(order) == EvacuationResult(True, 1)
    assert state.evacuations.row("north").evacuated
    assert state.apply(Evacuate("north", False, 1)) == EvacuationResult(True, 2)
    assert state.evacuations.evacuated == ()


def test_an_order_that_was_delayed_in_the_group_changes_nothing() -> None:
    state = ControlState()
    late = Evacuate("north", True, 0)
    state.apply(late)
    state.apply(Evacuate("north", False, 1))
    assert state.apply(late) == EvacuationResult(False, 2)
    assert state.evacuations.evacuated == ()


def test_evacuations_are_kept_in_a_snapshot_and_older_ones_are_read() -> None:
    state = ControlState()
    state.apply(Evacuate("north", True, 0, at=7))
    state.apply(Evacuate("south", True, 0, at=8))
    state.apply(Evacuate("north", False, 1, at=9))
    again = ControlState()
    again.restore(state.save())
    assert again.evacuations.evacuated == ("south",)
    assert again.evacuations.rows() == state.evacuations.rows()
    configuration = cbor2.loads(encode(Configuration()))
    again.restore(cbor2.dumps([configuration, [], [], [], ["i-1"]]))
    assert again.evacuations.rows() == ()


def test_names_of_domains_are_bounded() -> None:
    table = EvacuationTable()
    for number in range(MAX_DOMAINS):
        assert table.switch(f"d{number}", True, expected=0, at=0)
    assert not table.switch("one more", True, expected=0, at=0)
    assert table.switch("d0", False, expected=1, at=0)


def seen(table: EvacuationTable, guard: OrderGuard, now: int, evacuated: bool) -> None:
    """Switch a domain and let a replica's guard record it."""
    expected = table.row("north").switches
    assert table.switch("north", evacuated, expected=expected, at=0)
    guard.record_applied(table.rows(), now)


def test_an_order_that_may_be_a_copy_of_a_reverted_one_is_rejected() -> None:
    table = EvacuationTable()
    guard = OrderGuard(RESEND)
    assert not guard.may_be_late(table, "north", True, 0)
    seen(table, guard, 1_000, True)
    # The same order once more is acknowledged.
    assert not guard.may_be_late(table, "north", True, 1_500)
    assert not guard.may_be_late(table, "north", False, 1_500)
    seen(table, guard, 2_000, False)
    assert guard.may_be_late(table, "north", True, 1_000 + RESEND)
    assert not guard.may_be_late(table, "north", True, 1_001 + RESEND)
    seen(table, guard, 7_000, True)
    # A copy of the order to restore it, sent 4.999 s after the first, may still arrive.
    assert guard.may_be_late(table, "north", False, 2_000 + RESEND)
    assert not guard.may_be_late(table, "north", False, 2_001 + RESEND)


def test_a_restarted_replica_counts_earlier_switches_as_seen_now() -> None:
    table = EvacuationTable()
    seen(table, OrderGuard(RESEND), 0, True)
    once = OrderGuard(RESEND)
    once.record_applied(table.rows(), 100)
    # It was never restored, so no copy of such an order can be on its way.
    assert not once.may_be_late(table, "north", False, 100)
    seen(table, OrderGuard(RESEND), 0, False)
    twice = OrderGuard(RESEND)
    twice.record_applied(table.rows(), 100)
    assert twice.may_be_late(table, "north", True, 100 + RESEND)
    assert not twice.may_be_late(table, "north", True, 101 + RESEND)


class OrdersMachine(RuleBasedStateMachine):
    """An operator, copies of its orders, and three replicas that lag or restart.

    The operator sends an order once the one before was acknowledged, and copies of an
    order are sent within `RESEND` of its first send. The order that was acknowledged
    last must stay in effect.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.table = EvacuationTable()
        self.guards = [OrderGuard(RESEND) for _ in range(3)]
        self.behind = [0, 0, 0]
        self.copies: list[tuple[bool, int]] = []
        self.ordered = False
        self.pending: tuple[bool, int] | None = None

    def _take(self, evacuated: bool, replica: int) -> bool:
        """Have a replica execute an order; return whether it is acknowledged."""
        guard = self.guards[replica]
        guard.record_applied(self.table.rows(), self.now)
        if guard.may_be_late(self.table, "north", evacuated, self.now):
            return False
        expected = self.table.row("north").switches
        return self.table.switch("north", evacuated, expected=expected, at=0)

    @precondition(lambda self: self.pending is None)
    @rule()
    def order(self) -> None:
        self.pending = (not self.ordered, self.now)

    @precondition(lambda self: self.pending is not None)
    @rule(replica=st.integers(0, 2))
    def send(self, replica: int) -> None:
        assert self.pending is not None
        evacuated, first = self.pending
        self.copies.append((evacuated, first))
        if self._take(evacuated, replica):
            self.ordered = evacuated
            self.pending = None

    @precondition(lambda self: self.pending is None)
    @rule(replica=st.integers(0, 2), data=st.data())
    def late_copy(self, replica: int, data: st.DataObject) -> None:
        sent = [one for one in self.copies if self.now <= one[1] + RESEND]
        if sent:
            evacuated, _ = data.draw(st.sampled_from(sent))
            self._take(evacuated, replica)

    @rule(replica=st.integers(0, 2))
    def start_again(self, replica: int) -> None:
        self.guards[replica] = OrderGuard(RESEND)

    @rule(replica=st.integers(0, 2))
    def follow(self, replica: int) -> None:
        self.guards[replica].record_applied(self.table.rows(), self.now)

    @rule(step=st.sampled_from([1, 100, 2_000, 5_001]))
    def wait(self, step: int) -> None:
        self.now += step

    @invariant()
    def what_was_acknowledged_last_holds(self) -> None:
        if self.pending is None:
            assert (self.table.evacuated == ("north",)) is self.ordered


TestOrders = OrdersMachine.TestCase
TestOrders.settings = settings(derandomize=True, max_examples=200, deadline=None)
