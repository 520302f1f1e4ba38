"""Measurement of the event loop's lag."""

from __future__ import annotations

from leadseam.clock import ManualClock
from leadseam.runtime.lag import INTERVAL, LoopLag


def test_an_overdue_measurement_counts_before_it_is_made() -> None:
    clock = ManualClock(1_000)
    lag = LoopLag(clock)
    clock.advance(INTERVAL)
    assert lag.millis == 0
    clock.advance(70)
    assert lag.millis == 70


def test_the_lag_decays_gradually() -> None:
    clock = ManualClock(0)
    measured: list[int] = []
    lag = LoopLag(clock, measured.append)
    clock.advance(INTERVAL + 100)
    lag.measure()
    assert measured == [100]
    lag._due = clock.now()
    lag.measure()
    assert measured == [100, 80]
    for _ in range(30):
        lag._due = clock.now()
        lag.measure()
    assert lag.millis == 0


def test_a_suspension_does_not_count_as_lag() -> None:
    clock = ManualClock(1_000)
    lag = LoopLag(clock)
    clock.suspend(5_000)
    assert lag.millis == 0
