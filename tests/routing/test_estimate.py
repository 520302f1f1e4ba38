"""The expected time to a first token."""

from __future__ import annotations

import pytest

from leadseam.routing import estimate
from leadseam.routing.estimate import FIRST_BASE, FIRST_RATE, EstimateTable
from tests.routing.samples import make_upstream

FAST = make_upstream(1)
SLOW = make_upstream(2)
NEW = make_upstream(3)


def answers(book: EstimateTable, number: int = 200) -> None:
    """Let one engine read 100 tokens a millisecond, and another one 10."""
    for _ in range(number):
        book.add_measurement(FAST, 10_000, round(FIRST_BASE) + 100)
        book.add_measurement(SLOW, 10_000, round(FIRST_BASE) + 1_000)


def test_nothing_is_known_at_first() -> None:
    book = EstimateTable()
    assert book.engine(FAST).millis(5_000) == FIRST_BASE + 5_000 / FIRST_RATE


def test_a_slow_engine_does_not_look_like_the_others() -> None:
    book = EstimateTable()
    answers(book)
    assert book.engine(FAST).millis(10_000) == pytest.approx(145, abs=2)
    assert book.engine(SLOW).millis(10_000) == pytest.approx(1_045, abs=2)


def test_an_engine_without_answers_is_taken_to_be_like_its_pool() -> None:
    book = EstimateTable()
    answers(book)
    assert book.engine(NEW) is book.pool("p")
    assert 145 < book.engine(NEW).millis(10_000) < 1_045
    book.add_measurement(NEW, 10_000, 145)
    assert book.engine(NEW) is not book.pool("p")


def test_estimates_of_engines_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(estimate, "MAX_ENGINES", 2)
    book = EstimateTable()
    for number in range(1, 6):
        book.add_measurement(make_upstream(number), 10_000, 145)
    # The oldest is forgotten, and counts as new again.
    assert book.engine(FAST) is book.pool("p")
    assert book.engine(make_upstream(5)) is not book.pool("p")
