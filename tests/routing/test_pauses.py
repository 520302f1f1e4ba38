"""Pauses that upstreams ask for, and the load that follows them."""

from __future__ import annotations

from leadseam.incarnation import Incarnation
from leadseam.routing.pauses import FORGOTTEN, TRIAL_INTERVAL, PauseTable
from tests.routing.samples import make_upstream

ROW = make_upstream(1)
ONE = ROW.incarnation


def test_nothing_is_allowed_until_a_pause_is_over() -> None:
    book = PauseTable()
    assert book.allows(ONE, 1_000)
    book.pause(ONE, 4_000)
    assert not book.allows(ONE, 3_999)
    assert book.is_paused(ONE, 3_999)
    assert book.allows(ONE, 4_000)
    assert not book.is_paused(ONE, 4_000)


def test_a_later_shorter_pause_does_not_end_a_longer_one() -> None:
    book = PauseTable()
    book.pause(ONE, 4_000)
    book.pause(ONE, 2_000)
    assert book.until(ONE) == 4_000
    book.pause(ONE, 5_000)
    assert book.until(ONE) == 5_000


def test_a_pause_is_of_one_start_and_not_of_an_address() -> None:
    book = PauseTable()
    book.pause(ONE, 4_000)
    assert book.allows(Incarnation(ONE.instance, 7), 1_000)
    assert book.allows(make_upstream(2).incarnation, 1_000)


def test_after_a_pause_load_grows_with_answers() -> None:
    book = PauseTable()
    book.pause(ONE, 1_000)
    sent = []
    for now in (1_000, 1_010, 1_020):
        round_ = 0
        while book.allows(ONE, now) and round_ < 10:
            book.sent(ONE, now)
            round_ += 1
        sent.append(round_)
        for _ in range(round_):
            book.answered(ROW, now)
    assert sent == [1, 2, 4]
    # As many as it has slots have been answered: it counts as any other.
    assert book.until(ONE) == 0


def test_answers_during_a_pause_are_to_earlier_requests() -> None:
    book = PauseTable()
    book.pause(ONE, 4_000)
    for _ in range(10):
        assert not book.answered(ROW, 2_000)
    book.sent(ONE, 4_000)
    assert not book.allows(ONE, 4_000)


def test_a_request_that_is_never_answered_does_not_end_all_trials() -> None:
    book = PauseTable()
    book.pause(ONE, 1_000)
    book.sent(ONE, 1_000)
    assert not book.allows(ONE, 1_000 + TRIAL_INTERVAL - 1)
    assert book.allows(ONE, 1_000 + TRIAL_INTERVAL)


def test_one_that_asks_again_gets_nothing_more() -> None:
    book = PauseTable()
    book.pause(ONE, 1_000)
    book.sent(ONE, 1_000)
    book.pause(ONE, 3_000)
    assert not book.allows(ONE, 2_999)
    book.sent(ONE, 3_000)
    assert not book.allows(ONE, 3_000)


def test_what_is_over_is_forgotten() -> None:
    book = PauseTable()
    book.pause(ONE, 1_000)
    book.sweep(1_000 + FORGOTTEN)
    assert book.until(ONE) == 1_000
    book.sweep(1_001 + FORGOTTEN)
    assert book.until(ONE) == 0
    assert book.count(1_000) == 0
