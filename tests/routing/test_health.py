"""Upstreams that fail are left alone for a while."""

from __future__ import annotations

from leadseam.incarnation import Incarnation
from leadseam.routing.health import FIRST_PAUSE, MAX_PAUSE, UpstreamHealth

ENGINE = Incarnation("i")


def test_single_failures_cost_nothing() -> None:
    health = UpstreamHealth()
    for _ in range(50):
        assert not health.failed(ENGINE, 0)
        for _ in range(5):
            health.succeeded(ENGINE)
    assert health.usable(ENGINE, 0)


def test_failures_in_a_row_pause_an_upstream_longer_each_time() -> None:
    health = UpstreamHealth()
    assert [health.failed(ENGINE, 0) for _ in range(5)] == [False] * 4 + [True]
    assert not health.usable(ENGINE, FIRST_PAUSE - 1)
    assert health.usable(ENGINE, FIRST_PAUSE)
    again = [health.failed(ENGINE, FIRST_PAUSE) for _ in range(3)]
    assert again == [False, False, True]
    assert not health.usable(ENGINE, 3 * FIRST_PAUSE - 1)
    assert health.usable(ENGINE, 3 * FIRST_PAUSE)


def test_half_of_the_requests_failing_is_enough() -> None:
    health = UpstreamHealth()
    paused = []
    for _ in range(20):
        paused.append(health.failed(ENGINE, 0))
        health.succeeded(ENGINE)
    assert any(paused)
    assert not health.usable(ENGINE, 0)


def test_good_answers_clear_the_record() -> None:
    health = UpstreamHealth()
    for _ in range(5):
        health.failed(ENGINE, 0)
    for _ in range(30):
        health.succeeded(ENGINE)
    assert health.usable(ENGINE, FIRST_PAUSE)
    assert [health.failed(ENGINE, 0) for _ in range(4)] == [False] * 4


def test_an_unreachable_upstream_pauses_at_once_and_never_for_long() -> None:
    health = UpstreamHealth()
    now = 0
    for _ in range(10):
        assert health.unreachable(ENGINE, now)
        assert not health.unreachable(ENGINE, now)
        now += MAX_PAUSE
        assert health.usable(ENGINE, now)
