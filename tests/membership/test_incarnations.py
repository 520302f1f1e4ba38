"""Upstreams that restart under the same id, as seen by replicas and entries.

An upstream keeps its id when it restarts, and its heartbeat sequence starts again.
While rows were keyed by the id alone, heartbeats of the later start were ignored as too
old, a late departure of the earlier start removed the later one for good, and an
upstream that had left never became available again.
"""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from leadseam.incarnation import Incarnation
from leadseam.membership.departures import MAX_DEPARTED, Departures
from leadseam.membership.registry import MAX_ROWS, MISSED_HEARTBEATS, Registry
from leadseam.membership.view import LOST_REPLICA_TTL, UpstreamView
from leadseam.wire.feed import Registration
from tests.routing.samples import make_upstream

CHECK_INTERVAL = 500
INTERVAL = 1_000
EARLIER = make_upstream(1, start=1_000, sequence=500)
LATER = make_upstream(1, start=2_000, sequence=1)


def used(view: UpstreamView) -> set[Incarnation]:
    """Return the incarnations that accept new requests."""
    return {row.incarnation for row in view.pool("p")}


def test_a_later_start_counts_whatever_its_sequence() -> None:
    registry = Registry(INTERVAL)
    registry.heartbeat(EARLIER, 0)
    assert registry.heartbeat(LATER, 1)
    assert registry.rows() == (LATER,)


def test_a_late_heartbeat_of_an_earlier_start_changes_nothing() -> None:
    registry = Registry(INTERVAL)
    registry.heartbeat(LATER, 0)
    late = msgspec.structs.replace(EARLIER, sequence=900, ip="10.9.9.9")
    assert not registry.heartbeat(late, 1)
    assert registry.rows() == (LATER,)
    # It does not extend the lifetime of the later start either.
    assert registry.expire(INTERVAL * MISSED_HEARTBEATS + 1) == (LATER.incarnation,)


def test_an_apparently_earlier_start_counts_once_the_later_one_expires() -> None:
    # This happens if the clock of a box is set back between two starts.
    registry = Registry(INTERVAL)
    registry.heartbeat(LATER, 0)
    limit = INTERVAL * MISSED_HEARTBEATS
    registry.expire(limit + 1)
    assert registry.heartbeat(EARLIER, limit + 2)


def test_leaving_concerns_a_start_and_those_before_it() -> None:
    registry = Registry(INTERVAL)
    registry.heartbeat(LATER, 0)
    registry.remove(EARLIER.incarnation)
    assert registry.rows() == (LATER,)
    registry.remove(LATER.incarnation)
    assert registry.rows() == ()
    departed = Departures([LATER.incarnation])
    assert EARLIER.incarnation in departed
    assert make_upstream(1, start=2_001).incarnation not in departed
    assert not departed.add(EARLIER.incarnation)
    assert tuple(departed) == (LATER.incarnation,)


def test_departures_and_rows_are_bounded() -> None:
    departed = Departures(Incarnation(f"i-{n}", 1) for n in range(MAX_DEPARTED + 5))
    assert len(departed) == MAX_DEPARTED
    assert Incarnation("i-0", 1) not in departed
    registry = Registry(INTERVAL)
    for number in range(MAX_ROWS + 5):
        registry.heartbeat(make_upstream(number), 0)
    assert len(registry.rows()) == MAX_ROWS
    assert registry.heartbeat(make_upstream(1, sequence=2, pool="q"), 0)


def test_an_entry_uses_only_the_later_start_and_reports_the_replaced_one() -> None:
    view = UpstreamView()
    assert view.update("a", [EARLIER], 0) == ()
    assert view.update("b", [LATER], 1) == (EARLIER.incarnation,)
    assert used(view) == {LATER.incarnation}
    # Another replica has not received it yet, and drops the earlier one later.
    assert view.update("a", [msgspec.structs.replace(EARLIER, sequence=501)], 2) == ()
    view.expired("a", [EARLIER.incarnation])
    view.left([EARLIER.incarnation])
    assert used(view) == {LATER.incarnation}
    view.expired("b", [LATER.incarnation])
    assert used(view) == set()


def test_a_later_start_has_the_address_at_once_also_after_an_answer() -> None:
    view = UpstreamView()
    view.update("a", [EARLIER], 0)
    view.answered(EARLIER.incarnation, 100)
    view.update("a", [LATER], 101)
    assert used(view) == {LATER.incarnation}
    moved = msgspec.structs.replace(
        make_upstream(1, start=3_000), ip="10.0.0.77", port=81
    )
    view.update("a", [moved], 102)
    assert view.pool("p") == [moved]
    # Another upstream may use the address that it left.
    neighbour = msgspec.structs.replace(make_upstream(2), ip=LATER.ip)
    view.update("a", [neighbour], 103)
    assert used(view) == {moved.incarnation}


def test_one_that_left_returns_with_a_later_start() -> None:
    view = UpstreamView()
    view.update("a", [EARLIER], 0)
    view.left([EARLIER.incarnation])
    view.update("a", [msgspec.structs.replace(EARLIER, sequence=999)], 1)
    assert used(view) == set()
    view.update("a", [LATER], 2)
    assert used(view) == {LATER.incarnation}


def test_a_row_without_a_start_among_many_with_one_is_ignored() -> None:
    view = UpstreamView()
    stated = [make_upstream(number, start=1_000) for number in (1, 2)]
    view.update("a", [*stated, make_upstream(3)], 0)
    assert used(view) == {row.incarnation for row in stated}
    # If most rows report no start, each start has a new id.
    view.update("a", [make_upstream(number) for number in (4, 5)], 0)
    assert len(used(view)) == 5


class RestartMachine(RuleBasedStateMachine):
    """Two replicas, one entry, and servers whose heartbeats may arrive late."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.latest = 0
        self.registries = {"a": Registry(INTERVAL), "b": Registry(INTERVAL)}
        self.view = UpstreamView()
        self.departed = Departures()
        self.live: dict[int, Registration] = {}
        self.late: list[Registration] = []
        self.reported_starts: dict[str, int] = {}

    @rule(number=st.integers(1, 3), moved=st.booleans())
    def start(self, number: int, moved: bool) -> None:
        """A server starts under its id, possibly at another address."""
        self.latest += 10
        row = make_upstream(number, start=self.latest, sequence=1)
        if moved:
            row = msgspec.structs.replace(row, ip=f"10.1.{number}.{self.latest % 250}")
        self.live[number] = row

    @rule(number=st.integers(1, 3), replica=st.sampled_from("ab"), late=st.booleans())
    def beat(self, number: int, replica: str, late: bool) -> None:
        """A server sends a heartbeat, which may be delayed."""
        row = self.live.get(number)
        if row is None:
            return
        row = msgspec.structs.replace(row, sequence=row.sequence + 1)
        self.live[number] = row
        if late:
            self.late.append(row)
        else:
            self.receive(replica, row)

    @rule(replica=st.sampled_from("ab"), data=st.data())
    def arrive(self, replica: str, data: st.DataObject) -> None:
        """A delayed heartbeat arrives, in any order."""
        if self.late:
            row = self.late.pop(data.draw(st.integers(0, len(self.late) - 1)))
            self.receive(replica, row)

    def receive(self, replica: str, row: Registration) -> None:
        if row.incarnation in self.departed:
            return
        if self.registries[replica].heartbeat(row, self.now):
            self.reported_starts[row.instance] = max(
                self.reported_starts.get(row.instance, 0), row.incarnation.start
            )
            self.view.update(replica, [row], self.now)

    @rule(number=st.integers(1, 3))
    def leave(self, number: int) -> None:
        """A server leaves in order; its earlier heartbeats may still arrive."""
        row = self.live.pop(number, None)
        if row is not None:
            self.departed.add(row.incarnation)
            for registry in self.registries.values():
                registry.remove(row.incarnation)
            self.view.left([row.incarnation])

    @rule(number=st.integers(1, 3))
    def crash(self, number: int) -> None:
        self.live.pop(number, None)

    @rule(replica=st.sampled_from("ab"))
    def fail_over(self, replica: str) -> None:
        """A replica restarts and has only the departures, which are replicated."""
        self.registries[replica] = Registry(INTERVAL)
        self.view.connected(replica, self.now)
        self.view.left(self.departed)

    @rule(step=st.sampled_from([10, 1_000, MISSED_HEARTBEATS * INTERVAL + 1]))
    def wait(self, step: int) -> None:
        # Replicas and entries check for expired rows at intervals as time passes.
        end = self.now + step
        while self.now < end:
            self.now = min(self.now + CHECK_INTERVAL, end)
            for replica, registry in self.registries.items():
                self.view.expired(replica, registry.expire(self.now))
            self.view.sweep(self.now)
        known = {one.instance for one in used(self.view)}
        # Once no replica lists an upstream, the next heartbeat counts.
        self.reported_starts = {
            name: start for name, start in self.reported_starts.items() if name in known
        }

    @rule()
    def settle(self) -> None:
        """After a heartbeat of each live server, exactly these are used."""
        self.wait(max(LOST_REPLICA_TTL, MISSED_HEARTBEATS * INTERVAL) + 2)
        for number, row in list(self.live.items()):
            beat = msgspec.structs.replace(row, sequence=row.sequence + 1)
            self.live[number] = beat
            self.receive("a", beat)
        expected = {row.incarnation for row in self.live.values()}
        assert used(self.view) == expected - set(self.departed)

    @invariant()
    def no_earlier_start_is_used_than_one_that_is_known(self) -> None:
        for incarnation in used(self.view):
            assert incarnation not in self.departed
            assert incarnation.start >= self.reported_starts.get(
                incarnation.instance, 0
            )


TestRestartMachine = RestartMachine.TestCase
TestRestartMachine.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
