"""Timeouts count suspended time, which the loop's timers leave out."""

from __future__ import annotations

import asyncio

import pytest

from leadseam.clock import ManualClock
from leadseam.runtime.timeouts import Timeouts

LONG = 3_600_000
"""Limit that no timer reaches during a test."""


async def test_a_timeout_that_passed_while_suspended_expires_at_once() -> None:
    clock = ManualClock()
    timeouts = Timeouts(clock)
    with pytest.raises(TimeoutError):
        async with timeouts.until(LONG):
            clock.suspend(LONG)
            timeouts.rearm()
            await asyncio.Event().wait()
    assert repr(timeouts) == "Timeouts(0)"


async def test_a_timeout_that_has_not_passed_does_not_expire() -> None:
    clock = ManualClock()
    timeouts = Timeouts(clock)
    async with timeouts.until(LONG), timeouts.until(None):
        clock.suspend(LONG - 60_000)
        timeouts.rearm()
        await asyncio.sleep(0.01)
    assert repr(timeouts) == "Timeouts(0)"


async def test_a_timeout_that_is_expiring_is_not_rescheduled() -> None:
    clock = ManualClock()
    timeouts = Timeouts(clock)
    with pytest.raises(TimeoutError):
        async with timeouts.until(0):
            try:
                await asyncio.Event().wait()
            finally:
                timeouts.rearm()
