"""Several accounts flood in turn, with and without busy entries.

Guards against accounts that are held back for the sake of one whose requests busy
entries refuse, which therefore cannot use the capacity that is left to it.
"""

from __future__ import annotations

from leadseam.emulate.fleet import simulate_fleet
from leadseam.emulate.settings import BusyPeriod, FleetSettings, Flood
from tests.emulate.test_troughs import make_fleet

SEEDS = (1, 2, 3)


def make_floods(**changes: object) -> FleetSettings:
    """Return a fleet in which four accounts flood at 7 to 15 times their rate."""
    sizes = ((1, 12), (3, 15), (0, 7), (5, 15))
    floods = tuple(
        Flood(account=rank, at=2_000 + 1_500 * number, span=5_000, times=times)
        for number, (rank, times) in enumerate(sizes)
    )
    return make_fleet(**({"rate": 40.0, "floods": floods, "span": 12_000} | changes))


def test_an_account_at_busy_entries_leaves_capacity_to_others() -> None:
    # Two entries that half of all callers use refuse four in five requests. 6.64 M
    # tokens are begun if what they refuse counts towards a shortfall at the engines,
    # and 6.90 M if it does not.
    busy = BusyPeriod(entries=2, at=2_500, span=8_000, part=0.8)
    cfg = make_floods(crowded=2, busy=(busy,))
    begun = [sum(simulate_fleet(cfg, seed=seed).tally.begun.values()) for seed in SEEDS]
    assert sum(begun) > 6_750_000
