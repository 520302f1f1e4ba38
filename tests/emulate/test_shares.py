"""Flooding accounts get equal service, whatever the actual capacity of the engines.

Guards against shares that are computed from the capacity that operators state. In a
flood, after a quarter of the engines had gone, one account was refused or kept waiting
for six seconds and got 14,500 of the 283,000 tokens per second that it requested, while
another got 120,000. The engines delivered a third to a half of the stated capacity, so
all accounts were within their shares. Within its share, nothing orders accounts that
use different entries: who sent to the most entries most often got most.

The simulation reproduces this with production entries. Its engines deliver some 320,000
tokens per second of several times as many requested, half of all callers use two of
nine entries, and no entry is short of processor time. With twice that capacity stated,
intervals of six seconds in which an account got less than half of its part occurred
twice, once and four times (seeds 1 to 3; the least was 0.18 of it). With less than the
engines deliver stated and all else equal, there were none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from leadseam.emulate.fleet import simulate_fleet
from leadseam.emulate.settings import EngineSpeed, FleetSettings, Flood, RequestKind

if TYPE_CHECKING:
    from leadseam.emulate.tally import Tally

COMPARED_SECONDS = 6
"""Length in seconds of the intervals over which accounts are compared."""
DURATION_SECONDS = 11
FLOOD_AT = 1
STEADY_FROM = 3
"""Second from which on the window of recent service is wholly within the floods."""
LARGE_REQUEST = 15_000
"""Service of a large request. A shortfall of three of them is no sign of unfairness."""

# Name, weight, shared and own prompt tokens, tokens made, objective, patience, worth in
# time and late: the mix of an ordering service.
REQUEST_MIX = (
    ("menus", 90, 5_382, 4_400, 385, 800, 15_000, 4.3, 2.2),
    ("chat", 129, 198, 420, 294, 400, 12_000, 2.0, 1.0),
    ("notes", 143, 568, 1_200, 21, 400, 3_000, 0.43, 0.22),
)
SUBJECTS = 300
FIELDS = (
    "name",
    "weight",
    "shared",
    "own",
    "made",
    "objective",
    "patience",
    "worth",
    "late",
)
KINDS = tuple(
    RequestKind(**dict(zip(FIELDS, row, strict=True)), subjects=SUBJECTS)  # type: ignore[arg-type]
    for row in REQUEST_MIX
)
FLOODING_RANKS = range(0, 14, 2)
"""Ranks of the accounts that flood."""


def make_fleet(**changes: object) -> FleetSettings:
    """Return a third of an ordering service with far less capacity than is stated."""
    floods = tuple(
        Flood(
            account=rank, at=FLOOD_AT * 1_000, span=DURATION_SECONDS * 1_000, times=9.5
        )
        for rank in FLOODING_RANKS
    )
    fields: dict[str, object] = {
        "kinds": KINDS,
        "entries": 9,
        "engines": 5,
        "accounts": 20,
        "rate": 50.0,
        "stated": 700_000,
        "engine": EngineSpeed(slots=64, read_per_ms=50.0, step_ms=3.74),
        "floods": floods,
        "crowded": 2,
        "span": DURATION_SECONDS * 1_000,
    }
    return FleetSettings(**(fields | changes))  # type: ignore[arg-type]


def underserved_intervals(tally: Tally) -> list[tuple[int, str, int, int]]:
    """Find intervals in which an account got less than half of its due.

    Due in each second is what the account requested, or what the best served account of
    the interval got, if that is less.

    Returns:
        First second, account, service begun, and service due, of each such interval.
    """
    found = []
    accounts = sorted(tally.requested)
    for first in range(STEADY_FROM, DURATION_SECONDS - COMPARED_SECONDS + 1):
        seconds = range(first, first + COMPARED_SECONDS)
        received = {
            name: sum(tally.begun_by_second[name, second] for second in seconds)
            for name in accounts
        }
        best = max(accounts, key=received.__getitem__)
        for name in accounts:
            due = sum(
                min(
                    tally.requested_by_second[name, second],
                    tally.begun_by_second[best, second],
                )
                for second in seconds
            )
            if received[name] < due / 2 - 3 * LARGE_REQUEST:
                found.append((first, name, received[name], due))
    return found


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_flooding_accounts_get_equal_service_when_capacity_is_overstated(
    seed: int,
) -> None:
    tally = simulate_fleet(make_fleet(), seed=seed).tally
    assert underserved_intervals(tally) == []
    # The worst served tenth of accounts earned 0.59, 0.76 and 0.74 of their due (seeds
    # 1 to 3), and 0.17, 0.25 and 0.24 with shares of the stated capacity. There were
    # 454, 467 and 454 answers in time, and 355, 363 and 350 with those shares.
    assert tally.worst(sum(tally.begun.values())) > 0.5
    assert tally.ends["in time"] > 400


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_flooding_accounts_get_equal_service_when_capacity_is_stated_correctly(
    seed: int,
) -> None:
    assert (
        underserved_intervals(
            simulate_fleet(make_fleet(stated=280_000), seed=seed).tally
        )
        == []
    )


def starved_seconds(tally: Tally) -> int:
    """Count seconds in which a flooding account begins under a quarter of its mean."""
    starved = 0
    for rank in FLOODING_RANKS:
        begun = [
            tally.begun_by_second[f"account-{rank}", second]
            for second in range(STEADY_FROM, DURATION_SECONDS)
        ]
        mean_service = sum(begun) / len(begun)
        starved += sum(service < mean_service / 4 for service in begun)
    return starved


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_flooding_accounts_are_served_steadily(seed: int) -> None:
    # Guards against a usage window with a hard edge. Service counted in full for four
    # seconds and then not at all, so an account that got much in one second was stopped
    # for the next three, and accounts that were stopped together resumed together. Six
    # seconds may contain two such stops. With engines that delivered more than the
    # stated capacity, one account got 43,000 of 419,000 tokens per second for six
    # seconds, another 132,000. In the logs of three such runs, accounts that requested
    # 250,000 each second got 0 and 0 as `stopped`, then 81,000, 183,000 and 137,000.
    # In this simulation 12, 8 and 10 of 56 seconds were starved then (seeds 1 to 3),
    # and 0, 1 and 2 since.
    tally = simulate_fleet(make_fleet(stated=280_000, engines=8), seed=seed).tally
    assert starved_seconds(tally) < 6


LETTERS_RANKS = (0, 3, 4, 7)
CHAT_RANKS = tuple(rank for rank in range(8) if rank not in LETTERS_RANKS)
UNLIKE_KINDS = tuple(
    RequestKind(**dict(zip(FIELDS, row, strict=True)), subjects=20, ranks=ranks)  # type: ignore[arg-type]
    for row, ranks in (
        (("letters", 1, 6_300, 2_000, 50, 800, 6_000, 1.0, 0.5), LETTERS_RANKS),
        (("chat", 1, 200, 1_800, 250, 800, 6_000, 1.0, 0.5), CHAT_RANKS),
    )
)


def shares_by_kind(tally: Tally) -> tuple[float, float]:
    """Return the mean service of an account that sends letters, and chat."""
    seconds = range(STEADY_FROM, DURATION_SECONDS)
    letters, chat = (
        sum(
            tally.begun_by_second[f"account-{rank}", at]
            for rank in ranks
            for at in seconds
        )
        / len(ranks)
        for ranks in (LETTERS_RANKS, CHAT_RANKS)
    )
    return letters, chat


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_accounts_whose_prompts_are_mostly_shared_get_no_more_than_others(
    seed: int,
) -> None:
    floods = tuple(
        Flood(account=rank, at=0, span=DURATION_SECONDS * 1_000, times=rank + 1.0)
        for rank in range(8)
    )
    cfg = make_fleet(
        kinds=UNLIKE_KINDS,
        accounts=8,
        rate=60.0,
        stated=260_000,
        floods=floods,
        crowded=0,
    )
    letters, chat = shares_by_kind(simulate_fleet(cfg, seed=seed).tally)
    assert max(letters, chat) < 1.5 * min(letters, chat)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("times", [5, 20])
def test_an_account_gains_little_by_asking_more_often(times: int, seed: int) -> None:
    floods = tuple(
        Flood(
            account=rank,
            at=0,
            span=DURATION_SECONDS * 1_000,
            times=(rank + 1.0) * (1 if rank else times),
        )
        for rank in range(8)
    )
    cfg = make_fleet(accounts=8, rate=60.0, stated=260_000, floods=floods, crowded=0)
    tally = simulate_fleet(cfg, seed=seed).tally
    begun = [
        sum(
            tally.begun_by_second[f"account-{rank}", at]
            for at in range(STEADY_FROM, DURATION_SECONDS)
        )
        for rank in range(8)
    ]
    # An account is stopped at 1.3 of what the shortest one got, as far as is known.
    assert begun[0] < 1.4 * sum(begun[1:]) / len(begun[1:])
