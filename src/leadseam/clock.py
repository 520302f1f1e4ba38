"""Time in whole milliseconds, and a clock that tests can move by hand."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol, TypeAlias

from leadseam import STARTED_NS
from leadseam.steady import running_ns, steady_ns

Millis: TypeAlias = int

NANOS_PER_MILLI = 1_000_000
MILLIS_PER_SECOND = 1_000


class Clock(Protocol):
    """A source of steady and wall-clock time."""

    def now(self) -> Millis:
        """Return steady milliseconds, the time included for which the box was away.

        All leases, deadlines and ages go by it.
        """

    def running(self) -> Millis:
        """Return steady milliseconds without the time away, as timers count them."""

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """The clock of the running machine."""

    def now(self) -> Millis:
        """Return steady milliseconds, suspended time included where that is known."""
        return steady_ns() // NANOS_PER_MILLI

    def running(self) -> Millis:
        """Return steady milliseconds without suspended time."""
        return running_ns() // NANOS_PER_MILLI

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NANOS_PER_MILLI


def process_start() -> Millis:
    """Return when this process started, as milliseconds of the steady clock."""
    return STARTED_NS // NANOS_PER_MILLI


class ManualClock:
    """A clock that moves only when told to.

    Args:
        start: Initial reading of both clocks. Defaults to 0.
    """

    def __init__(self, start: Millis = 0) -> None:
        self._now = start
        self._suspended: Millis = 0

    def __repr__(self) -> str:
        return f"ManualClock({self._now})"

    def now(self) -> Millis:
        """Return the time set by hand."""
        return self._now

    def running(self) -> Millis:
        """Return the time set by hand without suspensions."""
        return self._now - self._suspended

    def suspend(self, millis: Millis) -> Millis:
        """Let time pass that only `now` counts, and return the new time."""
        self._suspended += millis
        return self.advance(millis)

    def wall(self) -> Millis:
        """Return the same time as `now`."""
        return self._now

    def advance(self, millis: Millis) -> Millis:
        """Move the clock forward and return the new time."""
        self._now += millis
        return self._now


async def sleep(millis: Millis) -> None:
    """Suspend the calling task for a number of milliseconds."""
    await asyncio.sleep(millis / MILLIS_PER_SECOND)


def seconds(millis: Millis) -> float:
    """Convert milliseconds to the seconds that libraries expect."""
    return millis / MILLIS_PER_SECOND
