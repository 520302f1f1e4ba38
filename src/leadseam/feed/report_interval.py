"""Interval of load reports and of load totals, computed from their size. No I/O.

The messages between entries and replicas grow with the number of engines and accounts
in use, so with a fixed interval the traffic of a node would grow with the fleet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.wire.feed import LoadReport

MIN_INTERVAL: Millis = 50
"""Shortest interval. It is short relative to latency objectives of 250 ms and more."""
MAX_INTERVAL: Millis = 200
"""Longest interval. Beyond it, stale sums cost more than the traffic that they save."""
BYTES_PER_MS = 20
"""Bytes per millisecond that one node may receive: the operators' limit for control
traffic is 20 KB/s."""
ROW_BYTES = 20
"""Approximate encoded size of a row of an engine or an account, in bytes."""


def interval_for(size: int) -> Millis:
    """Return the time until the next message.

    Args:
        size: Size of the last message in bytes.
    """
    return min(max(size // BYTES_PER_MS, MIN_INTERVAL), MAX_INTERVAL)


def report_size(report: LoadReport) -> int:
    """Return the approximate encoded size of a report in bytes."""
    return ROW_BYTES * (len(report.rows) + len(report.usage))
