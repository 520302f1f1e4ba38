"""Retry-After pauses by the state of an account.

Guards against callers that return before their account is served again, or long after
capacity has become free for them: a second refusal is final.
"""

from __future__ import annotations

import random

import pytest

from leadseam.routing.return_time import (
    AccountState,
    RecentPlacements,
    Rule,
    longest_pause,
    return_time,
    time_waited,
)
from leadseam.routing.usage import Shares, Standing

BEYOND = AccountState(Standing.AHEAD, requested=1_000, served_at=367.8794)
WITHIN = AccountState(Standing.WITHIN, 100, 400, waiting_ahead=30, placed=100)


class Extreme(random.Random):
    """Draws the least number of a range, or the greatest."""

    def __init__(self, *, greatest: bool) -> None:
        super().__init__()
        self._greatest = greatest

    def randint(self, a: int, b: int) -> int:
        """Return one end of the range."""
        return b if self._greatest else a


def bounds(state: AccountState | None, left: int | None) -> tuple[int, int, Rule]:
    """Return the least and the greatest pause, and their rule."""
    least = return_time(state, left, Extreme(greatest=False))
    greatest = return_time(state, left, Extreme(greatest=True))
    assert least.rule is greatest.rule
    return least.pause, greatest.pause, least.rule


@pytest.mark.parametrize(
    ("state", "left", "expected"),
    [
        # 1,000 decay to 368 in one time constant; half of it is added.
        (BEYOND, 15_000, (2_000, 3_000, Rule.DECAY)),
        (BEYOND, 6_000, (1_333, 2_000, Rule.DECAY)),
        (BEYOND, None, (2_000, 3_000, Rule.DECAY)),
        (AccountState(Standing.STOPPED, 10, 400), 6_000, (100, 150, Rule.DECAY)),
        (AccountState(Standing.STOPPED, 900, 0.0), None, (2_667, 4_000, Rule.DECAY)),
        # 30 requests ahead at 100 a second.
        (WITHIN, 6_000, (300, 450, Rule.QUEUE)),
        (AccountState(Standing.EVEN, 100, 400), 6_000, (100, 150, Rule.QUEUE)),
        (AccountState(Standing.WITHIN, 1, 4, 5), 600, (133, 200, Rule.QUEUE)),
        (None, 6_000, (1_000, 2_000, Rule.TIME_LEFT)),
        (None, 60_000, (2_000, 4_000, Rule.TIME_LEFT)),
        (WITHIN, 0, (0, 0, Rule.QUEUE)),
    ],
)
def test_the_pause_follows_the_state_of_the_account(
    state: AccountState | None, left: int | None, expected: tuple[int, int, Rule]
) -> None:
    assert bounds(state, left) == expected


def test_no_pause_exceeds_a_third_of_the_time_left_or_four_seconds() -> None:
    assert [longest_pause(left) for left in (-1, 0, 300, 6_000, 60_000)] == [
        0,
        0,
        100,
        2_000,
        4_000,
    ]


def test_an_account_is_served_again_once_it_may_wait() -> None:
    assert Shares(stated=265, even=230, stop=345).served_again == 265
    assert Shares(stated=100, even=230, stop=345).served_again == 230


def test_a_stated_time_below_the_limit_shows_a_retry() -> None:
    assert [time_waited(6_000, stated) for stated in (6_000, 5_996, 5_995, 4_000)] == [
        0,
        0,
        5,
        2_000,
    ]
    assert time_waited(6_000, None) == 0
    assert time_waited(6_000, 9_000) == 0


def test_placements_count_for_one_second() -> None:
    placements = RecentPlacements()
    for now in (0, 400, 900):
        placements.add(now)
    assert [placements.count(now) for now in (900, 1_000, 1_899, 1_900)] == [3, 2, 1, 0]
