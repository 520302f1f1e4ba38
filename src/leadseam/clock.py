"""Clocks in whole milliseconds, among them one that tests advance by hand."""

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
    """A source of monotonic and wall-clock time."""

    def now(self) -> Millis:
        """Return monotonic milliseconds, including time when the box was suspended.

        All leases, deadlines and ages are measured with it.
        """

    def running(self) -> Millis:
        """Return monotonic milliseconds without suspended time, like timers."""

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> Millis:
        """Return monotonic milliseconds, including suspended time if it is known."""
        return steady_ns() // NANOS_PER_MILLI

    def running(self) -> Millis:
        """Return monotonic milliseconds without suspended time."""
        return running_ns() // NANOS_PER_MILLI

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NANOS_PER_MILLI


def process_start() -> Millis:
    """Return the start time of this process in milliseconds of the steady clock."""
    return STARTED_NS // NANOS_PER_MILLI


class ManualClock:
    """A clock that only moves when it is advanced explicitly.

    Args:
        start: Initial reading of both clocks. Defaults to 0.
    """

    def __init__(self, start: Millis = 0) -> None:
        self._now = start
        self._suspended: Millis = 0

    def __repr__(self) -> str:
        return f"ManualClock({self._now})"

    def now(self) -> Millis:
        """Return the time set by hand, including suspensions."""
        return self._now

    def running(self) -> Millis:
        """Return the time set by hand without suspensions."""
        return self._now - self._suspended

    def suspend(self, millis: Millis) -> Millis:
        """Advance only `now`, as during a suspension, and return the new time."""
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
