"""The expected time to a first token."""

from __future__ import annotations

import pytest

from leadseam.routing import estimate
from leadseam.routing.estimate import INITIAL_BASE, INITIAL_RATE, EstimateTable
from tests.routing.samples import make_upstream

FAST = make_upstream(1)
SLOW = make_upstream(2)
NEW = make_upstream(3)


def add_measurements(table: EstimateTable, number: int = 200) -> None:
    """Add measurements of one engine at 100 tokens per millisecond and of one at 10."""
    for _ in range(number):
        table.add_measurement(FAST, 10_000, round(INITIAL_BASE) + 100)
        table.add_measurement(SLOW, 10_000, round(INITIAL_BASE) + 1_000)


def test_the_first_estimate_is_the_initial_one() -> None:
    table = EstimateTable()
    assert table.engine(FAST).millis(5_000) == INITIAL_BASE + 5_000 / INITIAL_RATE


def test_a_slow_engine_has_its_own_estimate() -> None:
    table = EstimateTable()
    add_measurements(table)
    assert table.engine(FAST).millis(10_000) == pytest.approx(145, abs=2)
    assert table.engine(SLOW).millis(10_000) == pytest.approx(1_045, abs=2)


def test_an_engine_without_answers_has_the_estimate_of_its_pool() -> None:
    table = EstimateTable()
    add_measurements(table)
    assert table.engine(NEW) is table.pool("p")
    assert 145 < table.engine(NEW).millis(10_000) < 1_045
    table.add_measurement(NEW, 10_000, 145)
    assert table.engine(NEW) is not table.pool("p")


def test_estimates_of_engines_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(estimate, "MAX_ENGINES", 2)
    table = EstimateTable()
    for number in range(1, 6):
        table.add_measurement(make_upstream(number), 10_000, 145)
    # The oldest estimate is evicted; its engine uses that of the pool again.
    assert table.engine(FAST) is table.pool("p")
    assert table.engine(make_upstream(5)) is not table.pool("p")
