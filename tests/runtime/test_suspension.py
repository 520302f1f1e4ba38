"""Each suspension is reported once, and nothing else is taken for one."""

from __future__ import annotations

from leadseam.clock import ManualClock
from leadseam.runtime.metrics import Metrics
from leadseam.runtime.suspension import MIN_SUSPENSION, SuspensionWatch


def test_each_suspension_is_reported_once() -> None:
    clock = ManualClock(5_000)
    resumed: list[int] = []
    metrics = Metrics()
    watch = SuspensionWatch(clock, metrics, on_resume=lambda: resumed.append(1))
    clock.suspend(2_000)
    watch.check()
    watch.check()
    clock.suspend(300)
    watch.check()
    assert len(resumed) == 2
    assert b"leadseam_suspended_ms_total 2300" in metrics.render()


def test_an_idle_or_busy_box_is_not_suspended() -> None:
    clock = ManualClock(5_000)
    watch = SuspensionWatch(clock, Metrics(), on_resume=lambda: None)
    clock.advance(20_000)
    clock.suspend(MIN_SUSPENSION - 1)
    watch.check()
    assert "suspended=49" in repr(watch)
