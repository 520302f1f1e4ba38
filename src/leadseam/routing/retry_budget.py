"""This entry's part of the retry budget that all entries share. No I/O.

Sends beyond the first of each request may be at most a ratio of a pool's requests plus
a fixed slack within a sliding window, summed over all entries. Each entry keeps to the
ratio of its own requests plus its part of the slack.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

SAFETY = 0.8
"""Part of the budget that is used. Entries count windows of their own, whose ends do
not coincide, and the number of entries is known with a delay."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Bounds on repeated sends.

    Args:
        ratio: Repeats allowed for each request.
        slack: Repeats allowed besides, fleet-wide, in each window.
        window: Milliseconds of the window.
    """

    ratio: float = 0.1
    slack: int = 10
    window: Millis = 10_000


@dataclass(slots=True)
class _Window:
    requests: deque[Millis] = field(default_factory=deque)
    repeats: deque[Millis] = field(default_factory=deque)


class PoolRetryBudget:
    """Counts requests and repeated sends by pool.

    Args:
        limits: The bounds.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._windows: dict[str, _Window] = {}

    def __repr__(self) -> str:
        return f"PoolRetryBudget({self._limits})"

    def note_request(self, pool: str, now: Millis) -> None:
        """Count a request whose first send is to come."""
        self._window(pool, now).requests.append(now)

    def take(self, pool: str, now: Millis, entries: int) -> bool:
        """Use one repeat if one is left.

        Args:
            pool: Pool that would be sent to once more.
            now: Current time.
            entries: Entries that share the slack.
        """
        window = self._window(pool, now)
        slack = self._limits.slack / max(entries, 1)
        allowed = SAFETY * (self._limits.ratio * len(window.requests) + slack)
        if len(window.repeats) + 1 > allowed:
            return False
        window.repeats.append(now)
        return True

    def _window(self, pool: str, now: Millis) -> _Window:
        window = self._windows.setdefault(pool, _Window())
        for times in (window.requests, window.repeats):
            while times and now - times[0] > self._limits.window:
                times.popleft()
        return window
