"""Compares the retries that reached servers with what the budget allows.

Each request may reach servers once; further arrivals are retries. The rule, with the
window and limits of `RetryLimits`, is the users': retries within any window may be at
most a ratio of the requests in that window, in the window before it or in the one half
a window before it, whichever holds the most, plus the slack.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from leadseam.routing.retry_budget import RetryLimits
    from tools.platform.pauses import Arrival


@dataclass(frozen=True, slots=True)
class RetryWindow:
    """Retries in one window.

    Args:
        start: Start of the window in seconds.
        retries: Retries within it.
        allowed: Retries allowed within it.
    """

    start: float
    retries: int
    allowed: float

    @property
    def excess(self) -> float:
        """Retries beyond the allowed ones; negative if there are fewer."""
        return self.retries - self.allowed


def retry_times(arrivals: Iterable[Arrival]) -> list[float]:
    """Return the times of all arrivals but the first of each request."""
    seen: set[str] = set()
    times = []
    for arrival in sorted(arrivals, key=lambda one: one.at):
        if arrival.request_id in seen:
            times.append(arrival.at)
        seen.add(arrival.request_id)
    return times


def worst_window(
    requests: Sequence[float], retries: Sequence[float], limits: RetryLimits
) -> RetryWindow:
    """Return the window with the largest excess.

    Args:
        requests: Times at which callers sent requests, in seconds.
        retries: Times at which retries arrived, in seconds.
        limits: Limits on retries.

    Raises:
        ValueError: If there are no retries.
    """
    requests, retries = sorted(requests), sorted(retries)
    length = limits.window / MILLIS_PER_SECOND
    starts = [*retries, *(at - length for at in retries)]
    windows = (
        RetryWindow(
            start,
            _count(retries, start, length),
            allowed_retries(requests, start, limits),
        )
        for start in starts
    )
    return max(windows, key=lambda window: window.excess)


def allowed_retries(
    requests: Sequence[float], start: float, limits: RetryLimits
) -> float:
    """Return the number of retries allowed in one window.

    Args:
        requests: Times at which callers sent requests, in seconds, in ascending order.
        start: Start of the window in seconds.
        limits: Limits on retries.
    """
    length = limits.window / MILLIS_PER_SECOND
    shifts = (0, length / 2, length)
    most = max(_count(requests, start - shift, length) for shift in shifts)
    return limits.ratio * most + limits.slack


def _count(times: Sequence[float], start: float, length: float) -> int:
    """Count times in a closed interval; `times` are in ascending order."""
    return bisect_right(times, start + length) - bisect_left(times, start)
