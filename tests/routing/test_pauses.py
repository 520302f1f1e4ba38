"""Pauses that upstreams request, and the slow start after them."""

from __future__ import annotations

from leadseam.incarnation import Incarnation
from leadseam.routing.pauses import RETENTION, TRIAL_INTERVAL, PauseTable
from tests.routing.samples import make_upstream

ROW = make_upstream(1)
ONE = ROW.incarnation


def test_no_request_is_allowed_until_a_pause_is_over() -> None:
    table = PauseTable()
    assert table.allows(ONE, 1_000)
    table.pause(ONE, 4_000)
    assert not table.allows(ONE, 3_999)
    assert table.is_paused(ONE, 3_999)
    assert table.allows(ONE, 4_000)
    assert not table.is_paused(ONE, 4_000)


def test_a_later_shorter_pause_does_not_end_a_longer_one() -> None:
    table = PauseTable()
    table.pause(ONE, 4_000)
    table.pause(ONE, 2_000)
    assert table.until(ONE) == 4_000
    table.pause(ONE, 5_000)
    assert table.until(ONE) == 5_000


def test_a_pause_applies_to_one_incarnation_only() -> None:
    table = PauseTable()
    table.pause(ONE, 4_000)
    assert table.allows(Incarnation(ONE.instance, 7), 1_000)
    assert table.allows(make_upstream(2).incarnation, 1_000)


def test_after_a_pause_load_grows_with_answers() -> None:
    table = PauseTable()
    table.pause(ONE, 1_000)
    sent = []
    for now in (1_000, 1_010, 1_020):
        round_ = 0
        while table.allows(ONE, now) and round_ < 10:
            table.sent(ONE, now)
            round_ += 1
        sent.append(round_)
        for _ in range(round_):
            table.answered(ROW, now)
    assert sent == [1, 2, 4]
    # It has answered as many requests as it has slots, so its row is dropped.
    assert table.until(ONE) == 0


def test_answers_during_a_pause_are_to_earlier_requests() -> None:
    table = PauseTable()
    table.pause(ONE, 4_000)
    for _ in range(10):
        assert not table.answered(ROW, 2_000)
    table.sent(ONE, 4_000)
    assert not table.allows(ONE, 4_000)


def test_a_request_that_is_never_answered_does_not_end_all_trials() -> None:
    table = PauseTable()
    table.pause(ONE, 1_000)
    table.sent(ONE, 1_000)
    assert not table.allows(ONE, 1_000 + TRIAL_INTERVAL - 1)
    assert table.allows(ONE, 1_000 + TRIAL_INTERVAL)


def test_a_second_pause_restarts_the_slow_start() -> None:
    table = PauseTable()
    table.pause(ONE, 1_000)
    table.sent(ONE, 1_000)
    table.pause(ONE, 3_000)
    assert not table.allows(ONE, 2_999)
    table.sent(ONE, 3_000)
    assert not table.allows(ONE, 3_000)


def test_rows_are_dropped_after_the_retention_time() -> None:
    table = PauseTable()
    table.pause(ONE, 1_000)
    table.sweep(1_000 + RETENTION)
    assert table.until(ONE) == 1_000
    table.sweep(1_001 + RETENTION)
    assert table.until(ONE) == 0
    assert table.count(1_000) == 0
