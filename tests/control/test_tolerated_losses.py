"""Tolerated losses of a group under replacements, partitions, stops and lost disks.

A group of 2f + 1 boxes has to tolerate f simultaneous losses. A box counts as lost
while it is down or partitioned, and for `CATCH_UP` after its return; a box that is gone
for good counts until its replacement has been running for that time. Whatever happens
within that limit, disks may be lost up to f losses in total at any moment while all
other boxes lose power: the group then has to elect a leader again and to have all
committed entries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.control.replacements import (
    CATCH_UP,
    FIVE,
    SECOND,
    SEVEN,
    THREE,
    applied_by_all,
    bootstrapped,
    leader_name,
    restart_all,
    voters,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_REPLACED = 8


class LossesMachine(RuleBasedStateMachine):
    """Injects overlapping faults that the group has to tolerate."""

    names: tuple[str, ...] = FIVE

    @initialize(seed=st.integers(0, 1_000))
    def set_up(self, seed: int) -> None:
        self.cluster = bootstrapped(self.names, seed=seed)
        self.tolerated_losses = self.cluster.tolerated_losses
        self.clock = 0
        self.proposed = 0
        self.arrived = 0
        self.lost_until: dict[str, int] = {}
        self.unavailable: set[str] = set()
        self.leaving: set[str] = set()
        self.scheduled: list[tuple[int, Callable[[], None]]] = []

    @rule(rounds=st.integers(1, 5 * SECOND))
    def run(self, rounds: int) -> None:
        self._settle(rounds)

    @rule()
    def propose(self) -> None:
        self.proposed += 1
        self.cluster.propose(b"c%d" % self.proposed)
        self._settle(1)

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), later=st.integers(0, 3 * SECOND))
    def replace(self, pick: int, later: int) -> None:
        """A box is gone for good; an empty box replaces it later."""
        gone = self._pick(pick)
        self.cluster.remove(gone)
        self.unavailable.add(gone)
        self._schedule(later, lambda: self._start_replacement(gone))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), later=st.integers(0, 6 * SECOND))
    def replace_as_planned(self, pick: int, later: int) -> None:
        """An empty box starts; the box that it replaces stops gracefully later."""
        gone = self._pick(pick)
        self._start_replacement(gone)
        self.leaving.add(gone)
        self._schedule(later, lambda: self._stop_and_remove(gone))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), rounds=st.integers(1, 7 * SECOND))
    def cut_off(self, pick: int, rounds: int) -> None:
        name = self._pick(pick)
        self.cluster.cut_off.add(name)
        self._unavailable_for(name, rounds, lambda: self.cluster.cut_off.discard(name))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), rounds=st.integers(1, 7 * SECOND))
    def suspend(self, pick: int, rounds: int) -> None:
        """A box is suspended; it sends its delayed messages when it resumes."""
        name = self._pick(pick)
        self.cluster.suspend(name)
        self._unavailable_for(name, rounds, lambda: self.cluster.resume(name))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), rounds=st.integers(1, 4 * SECOND))
    def lose_power(self, pick: int, rounds: int) -> None:
        name = self._pick(pick)
        self.cluster.stop(name)
        self._unavailable_for(name, rounds, lambda: self.cluster.start(name))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), rounds=st.integers(1, 2 * SECOND))
    def restart_in_order(self, pick: int, rounds: int) -> None:
        name = self._pick(pick)
        self.unavailable.add(name)
        self._stop_gracefully(name)
        self.cluster.stop(name)
        self._unavailable_for(name, rounds, lambda: self.cluster.start(name))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), rounds=st.integers(1, 2 * SECOND))
    def lose_disk(self, pick: int, rounds: int) -> None:
        name = self._pick(pick)
        self.cluster.stop(name)
        self._unavailable_for(name, rounds, lambda: self.cluster.lose_disk(name))

    @rule(picks=st.lists(st.integers(0), min_size=3, max_size=3))
    def lose_all_that_may_be_lost(self, picks: list[int]) -> None:
        """Disks are lost up to the limit while all other boxes lose power."""
        lost: list[str] = []
        for pick in picks:
            healthy = [one for one in self._healthy_boxes() if one not in lost]
            if len(self._lost_boxes()) + len(lost) < self.tolerated_losses:
                lost.append(healthy[pick % len(healthy)])
        before = dict(self.cluster.committed)
        restart_all(self.cluster, disks_lost=lost)
        self.unavailable |= set(lost)
        for name in lost:
            self._returned(name)
        self._assert_intact(before)

    @invariant()
    def one_leader_at_most_holds_a_lease(self) -> None:
        if hasattr(self, "cluster"):
            assert len(self.cluster.lease_holders()) <= 1

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self._assert_intact(dict(self.cluster.committed))

    # Counting of losses

    def _lost_boxes(self) -> set[str]:
        late = {name for name, end in self.lost_until.items() if end > self.clock}
        return self.unavailable | late

    def _may_lose(self) -> bool:
        known = hasattr(self, "cluster") and self.arrived < MAX_REPLACED
        return known and len(self._lost_boxes()) < self.tolerated_losses

    def _healthy_boxes(self) -> list[str]:
        return sorted(set(self.cluster.boxes) - self._lost_boxes() - self.leaving)

    def _pick(self, pick: int) -> str:
        """Return a healthy box; the leader for every third value, if it is healthy."""
        healthy = self._healthy_boxes()
        leader = self.cluster.leader()
        if (
            pick % 3 == 0
            and leader is not None
            and leader_name(self.cluster) in healthy
        ):
            return leader_name(self.cluster)
        return healthy[pick % len(healthy)]

    def _settle(self, rounds: int) -> None:
        for _ in range(rounds):
            self.cluster.settle(1)
            self.clock += 1
            due = [one for one in self.scheduled if one[0] <= self.clock]
            self.scheduled = [one for one in self.scheduled if one[0] > self.clock]
            for _, act in due:
                act()

    def _schedule(self, rounds: int, act: Callable[[], None]) -> None:
        self.scheduled.append((self.clock + max(rounds, 1), act))

    def _unavailable_for(self, name: str, rounds: int, end: Callable[[], None]) -> None:
        def return_to_service() -> None:
            end()
            self._returned(name)

        self.unavailable.add(name)
        self._schedule(rounds, return_to_service)

    def _returned(self, name: str) -> None:
        self.unavailable.discard(name)
        self.lost_until[name] = self.clock + CATCH_UP

    def _start_replacement(self, gone: str) -> None:
        """Start the replacement of a box, which counts as lost for `CATCH_UP`."""
        self.arrived += 1
        self.cluster.lose_disk(f"n{self.arrived}")
        self._returned(gone)

    def _stop_and_remove(self, gone: str) -> None:
        self._stop_gracefully(gone)
        self.cluster.remove(gone)
        self.leaving.discard(gone)

    def _stop_gracefully(self, name: str) -> None:
        raft = self.cluster.boxes[name].raft
        assert raft is not None
        raft.leave(self.cluster.now)
        for _ in range(3 * SECOND):
            if raft.can_stop(self.cluster.now):
                return
            self._settle(1)

    def _assert_intact(self, before: dict[int, bytes]) -> None:
        """Assert that there is a leader, all boxes are voters and no commit is lost."""
        while self.scheduled:
            self._settle(1)
        self._settle(CATCH_UP)
        assert len(self.cluster.boxes) == len(self.names)
        assert voters(self.cluster) == set(self.cluster.boxes)
        self.proposed += 1
        assert self.cluster.propose(b"c%d" % self.proposed)
        assert applied_by_all(self.cluster, before)


class LossesOfThree(LossesMachine):
    """The same with three boxes, which tolerate one loss."""

    names = THREE


class LossesOfSeven(LossesMachine):
    """The same with seven, the maximum of voters: a new box waits for a removal."""

    names = SEVEN


TestLosses = LossesMachine.TestCase
TestLosses.settings = settings(max_examples=60, stateful_step_count=12)
TestLossesOfThree = LossesOfThree.TestCase
TestLossesOfThree.settings = settings(max_examples=40, stateful_step_count=12)
TestLossesOfSeven = LossesOfSeven.TestCase
TestLossesOfSeven.settings = settings(max_examples=40, stateful_step_count=12)
