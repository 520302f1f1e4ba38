"""Time in whole milliseconds, and a clock that tests can move by hand."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol, TypeAlias

from leadseam import STARTED_NS

Millis: TypeAlias = int

NANOS_PER_MILLI = 1_000_000
MILLIS_PER_SECOND = 1_000


class Clock(Protocol):
    """A source of monotonic and wall-clock time."""

    def now(self) -> Millis:
        """Return monotonic milliseconds."""

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """The clock of the running machine."""

    def now(self) -> Millis:
        """Return monotonic milliseconds."""
        return time.monotonic_ns() // NANOS_PER_MILLI

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NANOS_PER_MILLI


def process_start() -> Millis:
    """Return when this process started, as monotonic milliseconds."""
    return STARTED_NS // NANOS_PER_MILLI


class ManualClock:
    """A clock that moves only when told to.

    Args:
        start: Initial reading of both clocks. Defaults to 0.
    """

    def __init__(self, start: Millis = 0) -> None:
        self._now = start

    def __repr__(self) -> str:
        return f"ManualClock({self._now})"

    def now(self) -> Millis:
        """Return the time set by hand."""
        return self._now

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
