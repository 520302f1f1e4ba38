"""The drawn faults of a soak: reproducible, and within what the group tolerates."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from tools.soak.plan import (
    MAX_DURATION,
    BadLink,
    Boxes,
    Freeze,
    FullDisk,
    PlannedFault,
    ReplaceBox,
    Wipe,
    _space_disk_losses,
    draw_faults,
)

BOXES = Boxes(controls=("c1", "c2", "c3"), entries=("e1", "e2"), servers=("s1",))

LOSES_A_DISK = Wipe | ReplaceBox | FullDisk


def test_a_seed_draws_the_same_faults_again() -> None:
    assert draw_faults(7, 30.0, BOXES) == draw_faults(7, 30.0, BOXES)
    assert draw_faults(7, 30.0, BOXES) != draw_faults(8, 30.0, BOXES)


@settings(derandomize=True, database=None)
@given(seed=st.integers(0, 10_000))
def test_one_disk_is_lost_at_a_time(seed: int) -> None:
    planned = draw_faults(seed, 60.0, BOXES)
    assert [one.at for one in planned] == sorted(one.at for one in planned)
    disks = [one for one in planned if isinstance(one.fault, LOSES_A_DISK)]
    for before, after in itertools.pairwise(disks):
        assert after.at >= before.end + MAX_DURATION


def test_a_second_disk_is_not_lost_while_the_first_catches_up() -> None:
    # Seed 107 of the first release drew these faults: no disk was left to catch up
    # from, and the group never recovered. It tolerates one loss of three, not two.
    first = PlannedFault(0.95, 0.99, Wipe("c2"))
    frozen = PlannedFault(3.7, 2.45, Freeze("c3"))
    second = PlannedFault(6.34, 3.46, Wipe("c1"))
    assert _space_disk_losses((first, frozen, second)) == (first, frozen)
    assert _space_disk_losses((first, second)) == (first, second)


@settings(derandomize=True, database=None)
@given(seed=st.integers(0, 10_000))
def test_links_have_two_ends(seed: int) -> None:
    for one in draw_faults(seed, 60.0, BOXES):
        match one.fault:
            case BadLink(source=source, target=target):
                assert source != target
                assert target in BOXES.servers + BOXES.controls
