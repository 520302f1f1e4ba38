"""The steady clock of the machine, in nanoseconds.

It counts the time for which the box was suspended, where the system has such a clock:
leases, deadlines and ages are promises to others, whose time goes on meanwhile. Timers
of the event loop leave that time out; see `leadseam.runtime.suspension`.
"""

from __future__ import annotations

import time

_BOOTTIME: int | None = getattr(time, "CLOCK_BOOTTIME", None)

CLOCK_NAME = "monotonic" if _BOOTTIME is None else "boottime"
"""Which clock it is; "monotonic" leaves suspended time out."""


def steady_ns() -> int:
    """Return nanoseconds since some moment, suspended time included."""
    return running_ns() if _BOOTTIME is None else time.clock_gettime_ns(_BOOTTIME)


def running_ns() -> int:
    """Return nanoseconds since some moment, without suspended time."""
    return time.monotonic_ns()
