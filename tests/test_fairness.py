"""The service gap between backlogged accounts stays under its bound. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.fairness.ledger import Ledger
from leadseam.fairness.merge import ServiceMerge
from leadseam.fairness.picker import Picker
from leadseam.fairness.service import NORMAL_SCALE, normalise
from leadseam.sidecar.scheduler import Lease, Scheduler
from leadseam.wire.dispatch import BacklogRow, ServiceRow
from tools.gap import ServiceSamples

ENTRY = "entry-1"
LONGEST = 400
REPORT_EVERY = 20
SLOTS = 3
STEP = 10


@dataclass
class Running:
    """A request in progress."""

    lease: Lease
    remaining: int
    service: int = 0


@dataclass
class SimulatedSidecar:
    """A sidecar's scheduler, with requests that receive service in each step."""

    name: str
    shares: dict[str, int]
    ledger: Ledger = field(default_factory=Ledger)
    running: list[Running] = field(default_factory=list)

    def __post_init__(self) -> None:
        picker = Picker(self.ledger)
        self.scheduler = Scheduler(self.ledger, picker, self.shares.__getitem__)
        self.scheduler.slots = SLOTS

    def step(self, now: int, waiting: set[str], rng: random.Random) -> dict[str, int]:
        """Grant slots, run for one step and return the service given."""
        for account in self.shares:
            row = BacklogRow(account, 50 if account in waiting else 0, 0)
            self.scheduler.set_backlog(ENTRY, row, now)
        for lease in self.scheduler.schedule(now):
            assert self.scheduler.start(ENTRY, lease.grant, lease.account) is not None
            self.running.append(Running(lease, rng.randint(1, LONGEST)))
        given: dict[str, int] = dict.fromkeys(self.shares, 0)
        for one in self.running:
            amount = min(STEP, one.remaining)
            one.remaining -= amount
            one.service += amount
            given[one.lease.account] += amount
            share = self.shares[one.lease.account]
            self.ledger.charge(one.lease.account, normalise(amount, share))
        self._finish()
        return given

    def _finish(self) -> None:
        for one in [ended for ended in self.running if not ended.remaining]:
            self.running.remove(one)
            self.ledger.reserve(one.lease.account, -one.lease.reserved)
            self.scheduler.finish(one.lease.account, one.service)


class Pool:
    """Sidecars whose service an entry merges every `REPORT_EVERY` steps."""

    def __init__(self, shares: dict[str, int], count: int, seed: int) -> None:
        self.shares = shares
        self.sidecars = [
            SimulatedSidecar(f"s{number}", shares) for number in range(count)
        ]
        self.merge = ServiceMerge()
        self.incarnations = {sidecar.name: 1 for sidecar in self.sidecars}
        self.rng = random.Random(seed)
        self.now = 0
        self.served: dict[str, int] = dict.fromkeys(shares, 0)
        for sidecar in self.sidecars:
            self.merge.connect(sidecar.name, 1)

    def run(self, steps: int, waiting: set[str]) -> float:
        """Run, and return the normalised gap between the accounts that always wait."""
        samples = ServiceSamples({name: self.shares[name] for name in waiting})
        for _ in range(steps):
            self.now += 1
            for sidecar in self.sidecars:
                for account, amount in sidecar.step(
                    self.now, waiting, self.rng
                ).items():
                    self.served[account] += amount
            if self.now % REPORT_EVERY == 0:
                self.report()
            samples.add({name: float(served) for name, served in self.served.items()})
        return samples.gap()

    def report(self) -> None:
        """Merge all rows, and report the service of the others to each sidecar."""
        for sidecar in self.sidecars:
            self.merge.update(sidecar.name, sidecar.ledger.take_changed())
        for sidecar in self.sidecars:
            sidecar.ledger.merge_others(self.merge.report(sidecar.name, self.shares))

    def restart(self, number: int) -> None:
        """Restart a sidecar without state; the requests that ran there are lost."""
        name = self.sidecars[number].name
        self.sidecars[number] = SimulatedSidecar(name, self.shares)
        self.incarnations[name] += 1
        self.merge.connect(name, self.incarnations[name])
        self.report()


def bound(count: int, shares: dict[str, int]) -> float:
    """Return the stated bound at the least share; see docs/design/fairness.md."""
    slots = count * (SLOTS + 1)
    lag = REPORT_EVERY * slots * STEP
    return 2 * (slots * LONGEST + lag) / min(shares.values())


@settings(max_examples=20)
@given(seed=st.integers(0, 1_000), count=st.integers(1, 4))
def test_gap_stays_under_its_bound(seed: int, count: int) -> None:
    shares = {"a": 1, "b": 1, "c": 3}
    pool = Pool(shares, count, seed)
    assert pool.run(1_500, {"a", "b", "c"}) <= bound(count, shares)


@settings(max_examples=20)
@given(seed=st.integers(0, 1_000))
def test_an_account_that_was_idle_brings_no_credit(seed: int) -> None:
    shares = {"a": 1, "b": 1}
    pool = Pool(shares, 2, seed)
    pool.run(1_500, {"a"})
    assert pool.run(1_000, {"a", "b"}) <= bound(2, shares)


@settings(max_examples=20)
@given(seed=st.integers(0, 1_000))
def test_an_account_that_used_idle_capacity_is_not_punished(seed: int) -> None:
    shares = {"a": 1, "b": 1, "c": 1}
    pool = Pool(shares, 2, seed)
    pool.run(1_500, {"a"})
    pool.run(1_500, {"b"})
    assert pool.run(1_000, {"a", "b", "c"}) <= bound(2, shares)


@settings(max_examples=20)
@given(seed=st.integers(0, 1_000))
def test_gap_survives_a_restart_without_state(seed: int) -> None:
    shares = {"a": 1, "b": 1}
    pool = Pool(shares, 3, seed)
    pool.run(1_000, {"a"})
    pool.run(1_000, {"a", "b"})
    pool.restart(0)
    assert pool.run(1_000, {"a", "b"}) <= bound(3, shares)


def test_a_change_of_share_counts_from_now_on() -> None:
    shares = {"a": 1, "b": 1}
    pool = Pool(shares, 1, 1)
    pool.run(4_000, {"a", "b"})
    before = dict(pool.served)
    shares["a"] = 3
    pool.run(4_000, {"a", "b"})
    ratio = (pool.served["a"] - before["a"]) / (pool.served["b"] - before["b"])
    assert 2.5 < ratio < 3.5


def test_a_level_is_not_raised_before_others_have_reported() -> None:
    ledger = Ledger()
    picker = Picker(ledger)
    ledger.merge_others((ServiceRow("a", 20_000, 0, 0),))
    assert picker.pick(["a"]) == "a"
    picker.join("b")
    ledger.merge_others((ServiceRow("b", 20_000, 0, 0),))
    assert ledger.level("b") == 20_000


def test_reports_may_come_late_and_twice() -> None:
    ledger = Ledger()
    new = ServiceRow("a", 900, 0, 50)
    old = ServiceRow("a", 500, 0, 20)
    for row in (new, old, new):
        ledger.merge_others((row,))
    assert ledger.level("a") == 950


def test_a_new_incarnation_does_not_undo_service() -> None:
    merge = ServiceMerge()
    merge.connect("s0", 1)
    merge.connect("s1", 1)
    merge.update("s0", [ServiceRow("a", 700, 0, 0)])
    merge.connect("s0", 2)
    merge.update("s0", [ServiceRow("a", 100, 0, 0)])
    assert merge.report("s1", ["a"]) == (ServiceRow("a", 800, 0, 0),)
    assert merge.report("s0", ["a"]) == (ServiceRow("a", 700, 0, 0),)


def test_units_are_scaled() -> None:
    assert normalise(10, 4) == 10 * NORMAL_SCALE // 4
