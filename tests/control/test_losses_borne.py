"""How many losses a group bears, through replacements, cuts, stops and lost disks.

A group of 2f + 1 boxes has to bear f losses at once. A box counts as lost while it is
down or cut off, and until it has had `CATCH_UP` after its return; one that is gone for
good counts until its successor has had that time. Whatever happens within that bound, f
disks in all may be lost at the next moment while every other box loses power: the group
then has to elect a leader again and to hold all that was committed.
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
    everywhere,
    founded,
    leader_name,
    power_lost,
    voters,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MOST_REPLACED = 8


class LossesMachine(RuleBasedStateMachine):
    """Faults within what the group has to bear, at any moment, overlapping."""

    names: tuple[str, ...] = FIVE

    @initialize(seed=st.integers(0, 1_000))
    def set_up(self, seed: int) -> None:
        self.cluster = founded(self.names, seed=seed)
        self.tolerated_losses = self.cluster.tolerated_losses
        self.clock = 0
        self.proposed = 0
        self.arrived = 0
        self.counts_until: dict[str, int] = {}
        self.away: set[str] = set()
        self.leaving: set[str] = set()
        self.later: list[tuple[int, Callable[[], None]]] = []

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
        """A box is gone for good; an empty one comes a while later."""
        gone = self._pick(pick)
        self.cluster.remove(gone)
        self.away.add(gone)
        self._after(later, lambda: self._succeed(gone))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), later=st.integers(0, 6 * SECOND))
    def replace_as_planned(self, pick: int, later: int) -> None:
        """An empty box comes; the one that it replaces says that it stops, and goes."""
        gone = self._pick(pick)
        self._succeed(gone)
        self.leaving.add(gone)
        self._after(later, lambda: self._go(gone))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), rounds=st.integers(1, 7 * SECOND))
    def cut_off(self, pick: int, rounds: int) -> None:
        name = self._pick(pick)
        self.cluster.cut_off.add(name)
        self._away_for(name, rounds, lambda: self.cluster.cut_off.discard(name))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), rounds=st.integers(1, 7 * SECOND))
    def suspend(self, pick: int, rounds: int) -> None:
        """A box stands still, and sends what it was about to send when it goes on."""
        name = self._pick(pick)
        self.cluster.suspend(name)
        self._away_for(name, rounds, lambda: self.cluster.resume(name))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), rounds=st.integers(1, 4 * SECOND))
    def lose_power(self, pick: int, rounds: int) -> None:
        name = self._pick(pick)
        self.cluster.stop(name)
        self._away_for(name, rounds, lambda: self.cluster.start(name))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), rounds=st.integers(1, 2 * SECOND))
    def restart_in_order(self, pick: int, rounds: int) -> None:
        name = self._pick(pick)
        self.away.add(name)
        self._stop_in_order(name)
        self.cluster.stop(name)
        self._away_for(name, rounds, lambda: self.cluster.start(name))

    @precondition(lambda self: self._may_lose())
    @rule(pick=st.integers(0), rounds=st.integers(1, 2 * SECOND))
    def lose_disk(self, pick: int, rounds: int) -> None:
        name = self._pick(pick)
        self.cluster.stop(name)
        self._away_for(name, rounds, lambda: self.cluster.lose_disk(name))

    @rule(picks=st.lists(st.integers(0), min_size=3, max_size=3))
    def lose_all_that_may_be_lost(self, picks: list[int]) -> None:
        """Disks are lost up to the bound while all other boxes lose power."""
        lost: list[str] = []
        for pick in picks:
            sound = [one for one in self._sound() if one not in lost]
            if len(self._counting()) + len(lost) < self.tolerated_losses:
                lost.append(sound[pick % len(sound)])
        before = dict(self.cluster.committed)
        power_lost(self.cluster, disks_lost=lost)
        self.away |= set(lost)
        for name in lost:
            self._returned(name)
        self._assert_whole(before)

    @invariant()
    def one_leader_at_most_holds_a_lease(self) -> None:
        if hasattr(self, "cluster"):
            assert len(self.cluster.holding_leases()) <= 1

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self._assert_whole(dict(self.cluster.committed))

    # The count of losses

    def _counting(self) -> set[str]:
        late = {name for name, end in self.counts_until.items() if end > self.clock}
        return self.away | late

    def _may_lose(self) -> bool:
        known = hasattr(self, "cluster") and self.arrived < MOST_REPLACED
        return known and len(self._counting()) < self.tolerated_losses

    def _sound(self) -> list[str]:
        return sorted(set(self.cluster.boxes) - self._counting() - self.leaving)

    def _pick(self, pick: int) -> str:
        """Return a sound box; every third time the one that leads."""
        sound = self._sound()
        leader = self.cluster.leader()
        if pick % 3 == 0 and leader is not None and leader_name(self.cluster) in sound:
            return leader_name(self.cluster)
        return sound[pick % len(sound)]

    def _settle(self, rounds: int) -> None:
        for _ in range(rounds):
            self.cluster.settle(1)
            self.clock += 1
            due = [one for one in self.later if one[0] <= self.clock]
            self.later = [one for one in self.later if one[0] > self.clock]
            for _, act in due:
                act()

    def _after(self, rounds: int, act: Callable[[], None]) -> None:
        self.later.append((self.clock + max(rounds, 1), act))

    def _away_for(self, name: str, rounds: int, end: Callable[[], None]) -> None:
        def come_back() -> None:
            end()
            self._returned(name)

        self.away.add(name)
        self._after(rounds, come_back)

    def _returned(self, name: str) -> None:
        self.away.discard(name)
        self.counts_until[name] = self.clock + CATCH_UP

    def _succeed(self, gone: str) -> None:
        """Let the successor of a box come; it counts as that one until it is in."""
        self.arrived += 1
        self.cluster.lose_disk(f"n{self.arrived}")
        self._returned(gone)

    def _go(self, gone: str) -> None:
        self._stop_in_order(gone)
        self.cluster.remove(gone)
        self.leaving.discard(gone)

    def _stop_in_order(self, name: str) -> None:
        raft = self.cluster.boxes[name].raft
        assert raft is not None
        raft.leave(self.cluster.now)
        for _ in range(3 * SECOND):
            if raft.may_stop(self.cluster.now):
                return
            self._settle(1)

    def _assert_whole(self, before: dict[int, bytes]) -> None:
        """Demand a leader, every box that is there as a voter, and all committed."""
        while self.later:
            self._settle(1)
        self._settle(CATCH_UP)
        assert len(self.cluster.boxes) == len(self.names)
        assert voters(self.cluster) == set(self.cluster.boxes)
        self.proposed += 1
        assert self.cluster.propose(b"c%d" % self.proposed)
        assert everywhere(self.cluster, before)


class LossesOfThree(LossesMachine):
    """The same with three boxes, which bear one loss."""

    names = THREE


class LossesOfSeven(LossesMachine):
    """The same with seven, as many as vote: a newcomer waits until there is room."""

    names = SEVEN


TestLosses = LossesMachine.TestCase
TestLosses.settings = settings(max_examples=60, stateful_step_count=12)
TestLossesOfThree = LossesOfThree.TestCase
TestLossesOfThree.settings = settings(max_examples=40, stateful_step_count=12)
TestLossesOfSeven = LossesOfSeven.TestCase
TestLossesOfSeven.settings = settings(max_examples=40, stateful_step_count=12)
