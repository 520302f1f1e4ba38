"""How often loads are reported and added up: as often as their size allows. No I/O.

What an entry and a replica send each other grows with the engines and the accounts in
use, so a fixed interval would cost a node more the larger the fleet is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.wire.feed import LoadReport

MIN_INTERVAL: Millis = 50
"""Least interval: short against latency objectives of 250 ms and more."""
MAX_INTERVAL: Millis = 200
"""Longest interval: staler sums cost more than the bytes that they save."""
BYTES_PER_MS = 20
"""Bytes that one node may get: the operators' limit for control is 20 KB/s."""
ROW_BYTES = 20
"""Encoded size of a row of an engine or an account."""


def interval_for(size: int) -> Millis:
    """Return the interval of messages of a size.

    Args:
        size: Bytes of the last one.
    """
    return min(max(size // BYTES_PER_MS, MIN_INTERVAL), MAX_INTERVAL)


def report_size(report: LoadReport) -> int:
    """Return about how many bytes a report takes."""
    return ROW_BYTES * (len(report.rows) + len(report.usage))
