"""Client accounts that flood a fleet get alike, whatever engines give.

The story: on an evening of floods, after a quarter of the engines had gone, one account
was refused or kept waiting for six seconds and got 14,500 tokens a second of the
283,000 that it asked for, while another got 120,000. The cause: shares were taken of
the capacity that operators state. Engines gave a third to a half of that, so all
accounts were within such a share, and within it nothing orders accounts that come
through different entries: who asked at most entries most often got most.

The evidence: the product's own decisions against modelled engines, which give some
200,000 tokens a second of 740,000 that are asked for; half of all callers use two of
nine entries, and no entry is short of processor time. With 430,000 stated an account
got less than half of its part of six seconds twice, once and four times (seeds 1 to 3;
the least was 0.18 of it), with 170,000 stated never. Nothing else differs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from leadseam.emulate.fleet import simulate_fleet
from leadseam.emulate.settings import EngineSpeed, FleetSettings, Flood, RequestKind

if TYPE_CHECKING:
    from leadseam.emulate.tally import Tally

COMPARED_SECONDS = 6
"""Seconds over which accounts are compared."""
DURATION_SECONDS = 11
FLOOD_AT = 1
STEADY_FROM = 3
"""Second from which the floods fill a whole window of service."""
LARGE_REQUEST = 15_000
"""Service of a large request: three of them are no sign of unfairness."""

# Name, weight, shared and own prompt tokens, tokens made, objective, patience, worth in
# time and late: the mix of an order desk.
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
    """Return a third of an order desk whose engines give far less than is stated."""
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
        "stated": 430_000,
        "engine": EngineSpeed(slots=64, read_per_ms=50.0, step_ms=3.74),
        "floods": floods,
        "crowded": 2,
        "span": DURATION_SECONDS * 1_000,
    }
    return FleetSettings(**(fields | changes))  # type: ignore[arg-type]


def underserved_intervals(tally: Tally) -> list[tuple[int, str, int, int]]:
    """Return where an account got less than half of what it asked or the best got.

    Returns:
        First second, account, service begun, and service due, of each such span.
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
def test_floods_get_alike_where_engines_give_less_than_is_stated(seed: int) -> None:
    tally = simulate_fleet(make_fleet(), seed=seed).tally
    assert underserved_intervals(tally) == []
    # Before, 0.17, 0.25 and 0.24 of what the worst served tenth of accounts was due was
    # earned, now 0.59, 0.76 and 0.74; answers in time were 355, 363 and 350, now 454,
    # 467 and 454.
    assert tally.worst(sum(tally.begun.values())) > 0.5
    assert tally.ends["in time"] > 400


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_floods_get_alike_where_engines_give_what_is_stated(seed: int) -> None:
    assert (
        underserved_intervals(
            simulate_fleet(make_fleet(stated=170_000), seed=seed).tally
        )
        == []
    )


def starved_seconds(tally: Tally) -> int:
    """Return the seconds in which a flooding account begins little of its usual."""
    starved = 0
    for rank in FLOODING_RANKS:
        begun = [
            tally.begun_by_second[f"account-{rank}", second]
            for second in range(STEADY_FROM, DURATION_SECONDS)
        ]
        usual = sum(begun) / len(begun)
        starved += sum(service < usual / 4 for service in begun)
    return starved


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_who_floods_is_not_served_by_turns(seed: int) -> None:
    # The story: on the same evening, on another day of it, an account got 43,000 tokens
    # a second of 419,000 in six seconds, another 132,000; engines gave more than is
    # stated. What an account had got counted in full for four seconds and then not at
    # all, so one that got much in a second was stopped for the next three, and all that
    # had been stopped together went on together. Six seconds may hold two such stops.
    # The evidence: lines by second of three such days have accounts that ask for
    # 250,000 each second, get 0 and 0 as `stopped`, then 81,000, 183,000 and 137,000.
    # Here 12, 8 and 10 of 56 seconds were dry (seeds 1 to 3), now 0, 1 and 2.
    tally = simulate_fleet(make_fleet(stated=170_000, engines=8), seed=seed).tally
    assert starved_seconds(tally) < 6
