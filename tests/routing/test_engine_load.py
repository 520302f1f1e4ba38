"""Evidence of loaded engines, without which no scarcity is assumed.

Guards against fair shares that shrink after a trough: the low service received in it
was taken for the capacity of the engines, and accounts were stopped while they idled.
"""

from __future__ import annotations

import pytest

from leadseam.routing.engine_load import (
    EngineUse,
    LoadAverage,
    mean_used_part,
    reachable_service,
)
from leadseam.routing.load import Load
from leadseam.routing.usage import Shares, actual_capacity, compute_shares
from leadseam.wire.feed import UsageRow

AFTER_TROUGH = (
    UsageRow("flood", served=60, requested=400),
    UsageRow("ordinary", served=30, requested=30),
)


@pytest.mark.parametrize(
    ("load", "part"),
    [
        (Load(), 0.0),
        (Load(requests=16), 0.25),
        (Load(requests=16, memory=600), 0.6),
        (Load(requests=16, memory=1_200), 1.0),
        (Load(requests=1, unread=5), 1.0),
    ],
)
def test_the_resource_closest_to_its_limit_decides(load: Load, part: float) -> None:
    assert EngineUse(64, 1_000, load).used_part() == pytest.approx(part)


def test_a_pool_without_engines_has_no_used_part() -> None:
    idle, full = EngineUse(64, 1_000, Load()), EngineUse(64, 1_000, Load(requests=64))
    assert mean_used_part([idle, full]) == 0.5
    assert mean_used_part([]) is None


def test_the_load_is_averaged_over_the_time_of_the_usage_counts() -> None:
    load = LoadAverage(2_000)
    assert load.add([1.0], 0) == 0.0
    assert load.add([0.2, None, 1.0], 2_000) == pytest.approx(0.632, abs=0.001)
    assert load.add([0.0], 4_000) == pytest.approx(0.233, abs=0.001)
    assert LoadAverage(2_000).add([None], 0) == 1.0


def test_idle_engines_are_no_evidence_of_scarcity() -> None:
    assert actual_capacity(AFTER_TROUGH, 1_000, 0.49) == 1_000
    assert actual_capacity(AFTER_TROUGH, 1_000, 0.6) == 113
    assert actual_capacity(AFTER_TROUGH, 1_000, 0.75) == 90
    assert actual_capacity(AFTER_TROUGH, 1_000) == 90
    assert reachable_service(90, 0.1) == 135
    assert compute_shares(AFTER_TROUGH, 1_000, 0.2) == Shares()
    assert compute_shares(AFTER_TROUGH, 1_000).stated == 60
