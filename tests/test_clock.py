"""Start time of the process on the steady clock."""

from __future__ import annotations

from leadseam.clock import SystemClock, process_start


def test_the_process_started_before_now_on_the_same_clock() -> None:
    now = SystemClock().now()
    assert 0 < process_start() <= now
    assert process_start() == process_start()
