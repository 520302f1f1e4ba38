"""Crash reports between entries and replicas, in any order, with losses. No I/O.

The model counts the upstreams that a request has ended. Once all messages have been
delivered, every entry refuses the request exactly if it has ended enough of them.
"""

from __future__ import annotations

from collections import deque
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from leadseam.clock import ManualClock
from leadseam.crashes.suspects import Suspects
from leadseam.crashes.table import CrashTable
from leadseam.feed.crash_server import CrashServer
from leadseam.runtime.metrics import ControlMetrics, Metrics
from leadseam.wire.crashes import Crashes
from tests.crashes.samples import DEADLY, GOOD, upstream

if TYPE_CHECKING:
    from leadseam.incarnation import Incarnation

CONVICTING_ENDS = 3
"""Early ends after which a request is convicted."""
ENTRIES = range(3)
REPLICAS = range(3)


class Fleet(RuleBasedStateMachine):
    """Three entries connected to three replicas, a deadly request and a good one."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.log = CrashTable()
        self.upstreams = 0
        self.ended = 0
        self.broken: list[tuple[int, Incarnation]] = []
        self.links: dict[tuple[str, int, int], deque[Crashes]] = {}
        self.entries = {number: Suspects() for number in ENTRIES}
        self.replicas = {number: self.new_replica(number) for number in REPLICAS}

    def new_replica(self, number: int) -> CrashServer:
        replica = SimpleNamespace(state=SimpleNamespace(crashes=self.log))
        clock = ManualClock(0)

        def broadcast(message: Crashes) -> None:
            for entry in ENTRIES:
                self.link("down", entry, number).append(message)

        return CrashServer(
            cast("Any", replica),
            clock,
            ControlMetrics(Metrics()),
            broadcast,
            send_to_one=lambda message: None,
        )

    def link(self, way: str, entry: int, replica: int) -> deque[Crashes]:
        return self.links.setdefault((way, entry, replica), deque())

    def report(self, entry: int, rows: tuple[Any, ...]) -> None:
        if rows:
            for replica in REPLICAS:
                self.link("up", entry, replica).append(Crashes(rows))

    @rule(
        entry=st.sampled_from(ENTRIES),
        late=st.sampled_from([False, False, True]),
        good=st.sampled_from([True, True, False]),
        early=st.booleans(),
    )
    def send(self, entry: int, late: bool, good: bool, early: bool) -> None:
        """An entry sends the deadly request if allowed; a good one may run too."""
        suspects = self.entries[entry]
        if suspects.table.convicts(DEADLY.fingerprint) or suspects.would_be_convicted(
            DEADLY
        ):
            return
        self.now += 1
        self.upstreams += 1
        self.ended += 1
        incarnation = upstream(self.upstreams)
        suspects.record_break(DEADLY, incarnation, self.now, early=True)
        if good:
            suspects.record_break(GOOD, incarnation, self.now, early=early)
        self.broken.append((entry, incarnation))
        if not late:
            self.find_out(-1)
        if good:
            row = suspects.acquit(GOOD, self.now)
            self.report(entry, (row,) if row is not None else ())

    @precondition(lambda self: self.broken)
    @rule(which=st.integers(0, 5))
    def find_out(self, which: int) -> None:
        """An entry detects that an upstream has ended."""
        entry, incarnation = self.broken.pop(which % len(self.broken))
        self.report(entry, self.entries[entry].ended(incarnation, self.now).rows)

    @rule(
        way=st.sampled_from(["up", "down"]),
        entry=st.sampled_from(ENTRIES),
        replica=st.sampled_from(REPLICAS),
        twice=st.booleans(),
    )
    def deliver(self, way: str, entry: int, replica: int, twice: bool) -> None:
        """A message arrives, and possibly a second time later."""
        queue = self.link(way, entry, replica)
        if not queue:
            return
        message = queue.popleft()
        if twice:
            queue.append(message)
        self.receive(way, entry, replica, message)

    def receive(self, way: str, entry: int, replica: int, message: Crashes) -> None:
        if way == "up":
            self.replicas[replica].receive(message)
        else:
            self.entries[entry].merge_reports(message.rows, self.now)

    @rule(entry=st.sampled_from(ENTRIES), replica=st.sampled_from(REPLICAS))
    def follow_anew(self, entry: int, replica: int) -> None:
        """A link breaks and is opened again.

        Messages in flight are lost, and both sides send all their rows.
        """
        for way in ("up", "down"):
            self.link(way, entry, replica).clear()
        self.link("up", entry, replica).append(
            Crashes(self.entries[entry].table.rows())
        )
        if greeting := self.replicas[replica].greeting():
            self.link("down", entry, replica).append(greeting)

    @rule(replica=st.sampled_from(REPLICAS))
    def lose_replica(self, replica: int) -> None:
        """A replica restarts with nothing but the log."""
        self.replicas[replica] = self.new_replica(replica)
        for entry in ENTRIES:
            self.follow_anew(entry, replica)

    @rule(replica=st.sampled_from(REPLICAS))
    def write(self, replica: int) -> None:
        """A replica's verdicts are committed; the others apply them later."""
        for row in self.replicas[replica]._unwritten():
            self.log.merge(row)

    @rule(replica=st.sampled_from(REPLICAS))
    def apply(self, replica: int) -> None:
        """A replica applies the log."""
        self.replicas[replica].on_applied()

    @rule()
    def lose_all(self) -> None:
        """All boxes lose power; only the log is kept."""
        self.links.clear()
        self.broken.clear()
        written = self.log.convicts(DEADLY.fingerprint)
        self.entries = {number: Suspects() for number in ENTRIES}
        for replica in REPLICAS:
            self.lose_replica(replica)
        if not written:
            self.ended = 0

    @rule()
    def settle(self) -> None:
        """All ends of upstreams are detected, and all messages arrive."""
        while self.broken:
            self.find_out(0)
        for _ in range(4):
            for (way, entry, replica), queue in list(self.links.items()):
                while queue:
                    self.receive(way, entry, replica, queue.popleft())
        known = self.ended >= CONVICTING_ENDS
        for suspects in self.entries.values():
            assert suspects.table.convicts(DEADLY.fingerprint) is known

    @invariant()
    def good_requests_are_never_convicted(self) -> None:
        """A request that was always answered completely is never convicted."""
        for suspects in self.entries.values():
            assert not suspects.table.convicts(GOOD.fingerprint)


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=300, stateful_step_count=40, deadline=None)
