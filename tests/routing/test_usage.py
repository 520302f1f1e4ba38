"""Service of late, and fair shares."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.routing.usage import (
    DECAY_TIME,
    Shares,
    Standing,
    UsageTable,
    fair_level,
    given_capacity,
    lead_level,
    shares_of,
)
from leadseam.wire.feed import LoadReport, LoadSums, UsageRow


def test_small_demands_are_met_and_the_rest_is_divided() -> None:
    assert fair_level([10, 50, 100], 100) == 45
    assert fair_level([10, 20], 100) == float("inf")
    assert fair_level([], 0) == float("inf")
    assert fair_level([5, 5], 0) == 0


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.integers(0, 1_000), max_size=30), st.integers(0, 10_000))
def test_shares_fit_and_nothing_is_left_over(demands: list[int], capacity: int) -> None:
    level = fair_level(demands, capacity)
    given_out = sum(min(demand, level) for demand in demands)
    assert given_out <= capacity + 1e-6 or level == float("inf")
    if sum(demands) > capacity:
        assert abs(given_out - capacity) < 1e-6
    else:
        assert given_out == sum(demands)


def test_an_account_is_beyond_its_share_only_for_a_while() -> None:
    book = UsageTable()
    book.record_served("menus", 900, 0)
    book.record_requested("menus", 2_000, 0)
    book.record_served("pay", 50, 0)
    own = LoadReport(1, (), book.rows(0))
    assert own.usage == (UsageRow("menus", 900, 2_000), UsageRow("pay", 50, 0))
    totals = LoadSums((), (*own.usage, UsageRow("pay", 250, 300)))
    book.apply_sums(totals, own, capacity=1_000, now=0)
    assert book.recent_service("menus", 0) == 900
    # The two shares are 700 of the stated 1,000, and 850 of the 1,200 given.
    assert book.standing("menus", 0) is Standing.AHEAD
    assert book.standing("pay", 0) is Standing.WITHIN
    assert book.standing("menus", 20 * DECAY_TIME) is Standing.WITHIN
    assert book.rows(20 * DECAY_TIME) == ()


def test_service_fades_steadily() -> None:
    book = UsageTable()
    book.record_served("menus", 1_000, 0)
    assert [
        book.recent_service("menus", at) for at in (0, 500, 1_000, 2_000, 4_001, 8_000)
    ] == [
        1_000,
        779,
        607,
        368,
        135,
        18,
    ]
    # A steady rate counts as so much of it as passes in the memory.
    for at in range(0, 20_000, 10):
        book.record_served("chat", 30, at)
    assert book.recent_service("chat", 20_000) == pytest.approx(
        3 * DECAY_TIME, rel=0.01
    )


def test_who_is_far_ahead_gets_work_again_before_what_it_got_is_forgotten() -> None:
    book = UsageTable()
    shares = Shares(stated=400, even=460, stop=520)
    for at in (0, 100, 200):
        book.record_served("burst", 300, at)
    standings = {
        at: shares.standing(book.recent_service("burst", at))
        for at in (300, 1_500, 2_500)
    }
    assert standings == {
        300: Standing.STOPPED,
        1_500: Standing.EVEN,
        2_500: Standing.WITHIN,
    }


def test_who_is_beyond_the_stated_share_may_still_be_even_with_others() -> None:
    rows = (
        UsageRow("large", served=700, requested=3_000),
        UsageRow("other", served=720, requested=3_000),
        UsageRow("small", served=80, requested=80),
    )
    book = UsageTable()
    book.apply_sums(LoadSums((), rows), None, capacity=1_000, now=0)
    # Shares: 460 of the stated 1,000; 710 of the 1,500 that engines gave.
    assert book.standing("large", 0) is Standing.EVEN
    assert book.standing("other", 0) is Standing.AHEAD
    assert book.standing("small", 0) is Standing.WITHIN


def test_nothing_is_stated_where_operators_say_nothing() -> None:
    rows = (
        UsageRow("a", served=700, requested=900),
        UsageRow("b", served=100, requested=900),
    )
    book = UsageTable()
    book.apply_sums(LoadSums((), rows), None, capacity=0, now=0)
    assert book.standing("a", 0) is Standing.STOPPED
    assert book.standing("b", 0) is Standing.WITHIN


def test_accounts_leave_room_to_one_that_is_short() -> None:
    ahead = UsageRow("ahead", served=480, requested=1_000)
    behind = UsageRow("behind", served=300, requested=900)
    small = UsageRow("small", served=10, requested=20)
    assert lead_level((ahead, behind, small), 500.0, 1.3) == pytest.approx(390.0)
    assert lead_level((ahead, small), 500.0, 1.3) == float("inf")
    assert lead_level((ahead, behind), float("inf"), 1.3) == float("inf")


def test_an_account_that_has_just_begun_stops_nobody() -> None:
    ahead = UsageRow("ahead", served=450, requested=1_000)
    begun = UsageRow("begun", served=0, requested=900)
    assert lead_level((ahead, begun), 500.0, 1.3) == 250.0


def test_one_that_is_far_ahead_of_a_short_one_stops() -> None:
    book = UsageTable()
    rows = (
        UsageRow("ahead", served=470, requested=1_000),
        UsageRow("behind", served=300, requested=900),
    )
    book.apply_sums(LoadSums((), rows), None, capacity=900, now=0)
    # The fair level is 450; 1.5 times what the short one got is 450 too.
    assert book.standing("ahead", 0) is Standing.STOPPED
    assert book.standing("behind", 0) is Standing.WITHIN


def test_nobody_stops_within_the_stated_share() -> None:
    book = UsageTable()
    rows = (
        UsageRow("ahead", served=470, requested=1_000),
        UsageRow("behind", served=300, requested=900),
    )
    book.apply_sums(LoadSums((), rows), None, capacity=1_000, now=0)
    assert book.standing("ahead", 0) is Standing.WITHIN


FLOOD = (
    UsageRow("ahead", served=470, requested=1_000),
    UsageRow("behind", served=60, requested=1_000),
    UsageRow("small", served=20, requested=20),
)


def test_less_than_is_stated_is_believed_while_much_is_not_served() -> None:
    assert given_capacity(FLOOD, 550) == 550
    assert given_capacity(FLOOD, 730) == 730
    assert given_capacity(FLOOD, 734) == 550
    assert given_capacity(FLOOD, 0) == 550
    assert given_capacity(FLOOD, 500) == 550
    served = (
        UsageRow("a", served=400, requested=480),
        UsageRow("b", served=20, requested=20),
    )
    assert given_capacity(served, 5_000) == 5_000


def test_the_stated_share_cannot_be_counted_on_where_engines_give_half_of_it() -> None:
    shares = shares_of(FLOOD, 1_100)
    # 530 are left to two that ask for more.
    assert shares.stated == 265
    assert shares.standing(470) is Standing.STOPPED
    assert shares.standing(60) is Standing.WITHIN
    # A short account stops nobody before it is ahead of its own share by the lead.
    assert shares.standing(300) is Standing.AHEAD
    assert shares.stop == pytest.approx(1.3 * 265)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 1_000), st.integers(0, 1_000)), max_size=30),
    st.integers(0, 20_000),
)
def test_somebody_may_always_go_on(rows: list[tuple[int, int]], capacity: int) -> None:
    usage = tuple(
        UsageRow(f"a{number}", served, max(served, asked))
        for number, (served, asked) in enumerate(rows)
    )
    shares = shares_of(usage, capacity)
    short = [row for row in usage if row.requested > row.served]
    if short:
        least = min(row.served for row in short)
        assert shares.standing(least) in (Standing.WITHIN, Standing.EVEN)
