"""The steady clock: monotonic nanoseconds that include suspended time.

It includes the time for which the box was suspended if the operating system has such a
clock: leases, deadlines and ages are promises to other processes, for which the time
passes meanwhile. Timers of the event loop exclude suspended time; see
`leadseam.runtime.suspension`.
"""

from __future__ import annotations

import time

_BOOTTIME: int | None = getattr(time, "CLOCK_BOOTTIME", None)

CLOCK_NAME = "monotonic" if _BOOTTIME is None else "boottime"
"""Name of the clock in use; "monotonic" excludes suspended time."""


def steady_ns() -> int:
    """Return nanoseconds since an arbitrary moment, including suspended time."""
    return running_ns() if _BOOTTIME is None else time.clock_gettime_ns(_BOOTTIME)


def running_ns() -> int:
    """Return nanoseconds since an arbitrary moment, without suspended time."""
    return time.monotonic_ns()
