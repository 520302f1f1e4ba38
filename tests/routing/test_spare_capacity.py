"""Spare capacity: which accounts may use it, and that no short account loses by it.

Guards against refusals while engines are idle. During floods nine in ten refusals were
of accounts beyond their share while 20 engines with 64 slots each read a fifth of what
they could: an account whose callers used one busy entry was short, and all others were
held back because of it.
"""

from __future__ import annotations

import pytest

from leadseam.routing.engine_order import MAX_CANDIDATES, ranked_for
from leadseam.routing.load import Load
from leadseam.routing.scope import Scope
from leadseam.routing.spare_capacity import (
    CACHE_TIME,
    SpareCapacity,
    has_spare_capacity,
)
from leadseam.routing.usage import Standing
from tests.routing.samples import make_request, make_upstream
from tests.routing.test_admission import AdmissionHarness

IDLE = (64, Load())
READING = (64, Load(requests=1, unread=900))
HALF_FULL = (64, Load(requests=32))
FULL = (64, Load(requests=64))


@pytest.mark.parametrize(
    ("engines", "spare"),
    [
        ([IDLE, IDLE], True),
        ([IDLE, IDLE, READING], True),
        ([IDLE, READING], False),
        ([HALF_FULL, HALF_FULL], False),
        ([FULL, IDLE, IDLE], True),
        ([FULL, IDLE], False),
        ([], False),
    ],
)
def test_capacity_is_spare_below_half_of_slots_and_of_reading_engines(
    engines: list[tuple[int, Load]], spare: bool
) -> None:
    assert has_spare_capacity(engines) is spare


def test_the_answer_for_a_large_pool_is_cached() -> None:
    checks: list[int] = []

    def total(_: object, now: int) -> Load:
        checks.append(now)
        return Load()

    rows = [make_upstream(number) for number in range(MAX_CANDIDATES + 1)]
    capacity = SpareCapacity(lambda _: rows, total)
    for now in (0, 1, CACHE_TIME - 1, CACHE_TIME, CACHE_TIME + 1):
        assert capacity.has_spare(Scope("p"), now)
    assert len(checks) == 2 * len(rows)
    assert capacity.has_spare(Scope("q"), CACHE_TIME + 1)
    assert len(checks) == 3 * len(rows)


def test_a_small_pool_is_checked_each_time() -> None:
    load = Load()
    capacity = SpareCapacity(lambda _: [make_upstream(1)], lambda _row, _now: load)
    assert capacity.has_spare(Scope("p"), 0)
    load = Load(requests=1, unread=5)
    assert not capacity.has_spare(Scope("p"), 0)


def test_an_account_ahead_may_wait_behind_reading_while_engines_are_idle() -> None:
    # Of three engines, the one that holds the parts of this prompt has reading ahead.
    harness = AdmissionHarness(standings={"a": Standing.AHEAD, "s": Standing.STOPPED})
    rows = [make_upstream(number) for number in (1, 2, 3)]
    harness.admission.candidates = lambda _: rows
    harness.admission.__post_init__()
    home = ranked_for(rows, make_request("system", "own"))[0]
    harness.balancer.loads.begin(home.incarnation, Load(requests=1, unread=2_000))
    placed = harness.enter("a").placement
    assert placed is not None
    assert placed.upstream is home
    assert harness.enter("s").placement is None
