"""Upstreams that fail are excluded for a while."""

from __future__ import annotations

from leadseam.incarnation import Incarnation
from leadseam.routing.health import FIRST_PAUSE, MAX_PAUSE, UpstreamHealth

ENGINE = Incarnation("i")


def test_single_failures_do_not_exclude_an_upstream() -> None:
    health = UpstreamHealth()
    for _ in range(50):
        assert not health.failed(ENGINE, 0)
        for _ in range(5):
            health.succeeded(ENGINE)
    assert health.usable(ENGINE, 0)


def test_failures_in_a_row_exclude_an_upstream_longer_each_time() -> None:
    health = UpstreamHealth()
    assert [health.failed(ENGINE, 0) for _ in range(5)] == [False] * 4 + [True]
    assert not health.usable(ENGINE, FIRST_PAUSE - 1)
    assert health.usable(ENGINE, FIRST_PAUSE)
    again = [health.failed(ENGINE, FIRST_PAUSE) for _ in range(3)]
    assert again == [False, False, True]
    assert not health.usable(ENGINE, 3 * FIRST_PAUSE - 1)
    assert health.usable(ENGINE, 3 * FIRST_PAUSE)


def test_an_upstream_that_fails_half_of_its_requests_is_excluded() -> None:
    health = UpstreamHealth()
    paused = []
    for _ in range(20):
        paused.append(health.failed(ENGINE, 0))
        health.succeeded(ENGINE)
    assert any(paused)
    assert not health.usable(ENGINE, 0)


def test_good_answers_reset_the_share_of_failures() -> None:
    health = UpstreamHealth()
    for _ in range(5):
        health.failed(ENGINE, 0)
    for _ in range(30):
        health.succeeded(ENGINE)
    assert health.usable(ENGINE, FIRST_PAUSE)
    assert [health.failed(ENGINE, 0) for _ in range(4)] == [False] * 4


def test_an_unreachable_upstream_is_excluded_at_once_and_never_for_long() -> None:
    health = UpstreamHealth()
    now = 0
    for _ in range(10):
        assert health.unreachable(ENGINE, now)
        assert not health.unreachable(ENGINE, now)
        now += MAX_PAUSE
        assert health.usable(ENGINE, now)
