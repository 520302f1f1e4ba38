"""What cold upstreams get from all entries together, by exact counts in virtual time.

On a day with upstreams that came back cold one got 38 requests in a second, of 36.5
that it may get: 22 entries sent as if it were warm.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.routing.cold_budget import WINDOW, ColdBudget
from tests.routing.samples import make_upstream

RATE = 21.0
MOST = RATE * 1.5 + 5
ROW = make_upstream(1)


@dataclass
class Fleet:
    """Entries that send to one upstream whenever they may."""

    entries: int
    counted: int | None = None
    cold_until: int = 1_000_000
    arrivals: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        counted = self.entries if self.counted is None else self.counted
        self.budgets = [
            ColdBudget(
                f"entry-{number}",
                rate_of=lambda _: RATE,
                cold_until=lambda _: self.cold_until,
                entries=lambda _: counted,
            )
            for number in range(self.entries)
        ]

    def press(self, span: int, rng: random.Random, *, delay: int = 0) -> None:
        """Let each entry try again every few milliseconds."""
        for budget in self.budgets:
            now = rng.randrange(20)
            while now < span:
                if budget.allows(ROW, now):
                    budget.begin(ROW, now)
                    self.arrivals.append(now + rng.randint(0, delay))
                now += rng.randint(1, 40)

    def most_in_a_second(self) -> int:
        """Return the largest number of arrivals in any second."""
        times = sorted(self.arrivals)
        first = 0
        most = 0
        for last, at in enumerate(times):
            while times[first] <= at - 1_000:
                first += 1
            most = max(most, last - first + 1)
        return most


@pytest.mark.parametrize("entries", [1, 3, 5, 22, 26, 27, 68, 347, 1_000])
def test_no_second_holds_more_than_a_cold_upstream_bears(entries: int) -> None:
    fleet = Fleet(entries)
    fleet.press(6_000, random.Random(entries), delay=200)
    assert 0 < fleet.most_in_a_second() <= MOST


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    entries=st.integers(1, 120),
    delay=st.integers(0, WINDOW - 1_000),
    seed=st.integers(0, 10**6),
)
def test_the_bound_holds_however_links_bunch_requests(
    entries: int, delay: int, seed: int
) -> None:
    fleet = Fleet(entries)
    fleet.press(4_000, random.Random(seed), delay=delay)
    assert fleet.most_in_a_second() <= MOST


def test_an_entry_that_knows_no_count_sends_nothing() -> None:
    fleet = Fleet(3, counted=0)
    fleet.press(3_000, random.Random(1))
    assert fleet.arrivals == []


def test_a_warm_upstream_and_one_without_a_stated_rate_are_not_held_back() -> None:
    warm = Fleet(22, cold_until=0)
    warm.press(1_000, random.Random(1))
    assert warm.most_in_a_second() > MOST
    unstated = ColdBudget(
        "entry", rate_of=lambda _: 0, cold_until=lambda _: 10**6, entries=lambda _: 22
    )
    for _ in range(100):
        assert unstated.allows(ROW, 5)
        unstated.begin(ROW, 5)


def test_another_start_of_an_upstream_has_a_budget_of_its_own() -> None:
    budget = Fleet(22).budgets[0]
    budget.begin(ROW, 0)
    assert not budget.allows(ROW, 1)
    assert budget.allows(make_upstream(1, start=9), 1)


def test_each_cold_upstream_is_served_by_some_entries_of_a_large_fleet() -> None:
    # Drawn for each upstream anew: no entry is left out of all of them.
    fleet = Fleet(347)
    rows = [make_upstream(number) for number in range(1, 40)]
    drawn = [[budget.allows(row, 0) for budget in fleet.budgets] for row in rows]
    assert min(sum(one) for one in drawn) >= 3
    assert max(sum(one) for one in drawn) <= MOST
