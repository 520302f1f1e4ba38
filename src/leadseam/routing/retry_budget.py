"""Limits the retries of all entries together to a ratio of requests plus a slack.

Within any window, the retries that reach a pool's upstreams may be at most a ratio of
the pool's requests plus a slack, summed over all entries. No I/O.

Each entry keeps its retries of any window below the ratio of its own requests, as the
mean of that window so far and the one before it, plus a share of the slack. All of
these are sums over entries, so the fleet keeps the bound whatever happens to single
entries: what a process has counted is not missed when it ends. The control group leases
the shares of the slack; see `feed.slack_ledger`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from leadseam.clock import Millis

BUCKET: Millis = 50
"""Resolution at which requests and retries are counted."""
SEND_DELAY: Millis = 600
"""Longest time from a permit to the arrival of the retry: the timeout of opening a
connection and the way to the upstream."""
ARRIVAL_DELAY: Millis = 200
"""Longest time from a caller's sending a request until it is counted as arrived."""
DENIED_FOR: Millis = 1_000
"""Time for which a denied retry counts as needed: two feed heartbeats."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits on retries.

    Args:
        ratio: Retries allowed per request.
        slack: Additional retries allowed in each window, fleet-wide.
        window: Length of the window in milliseconds.
    """

    ratio: float = 0.1
    slack: int = 10
    window: Millis = 10_000


@dataclass(frozen=True, slots=True)
class SlackUse:
    """What an entry needs and has of the slack of one pool.

    Args:
        needed: Retries of the current window beyond the ratio, made or lately denied.
        held: Share of the slack that may be used now.
    """

    needed: int
    held: int


@dataclass(frozen=True, slots=True)
class RetryActivity:
    """Decisions on retries at one pool since the last report, and their basis.

    Args:
        pool: The pool.
        taken: Retries that were allowed.
        denied: Retries that were not.
        requests: Requests counted in the window that ends now.
        retries: Retries counted in that window.
        slack: This entry's share of the slack.
        returned: Retries of those allowed, now or earlier, that were not sent.
    """

    pool: str
    taken: int
    denied: int
    requests: int
    retries: int
    slack: int
    returned: int = 0


class _Buckets:
    """Counts of recent events by `BUCKET`, the newest last.

    Args:
        length: Number of buckets.
    """

    def __init__(self, length: int) -> None:
        self.counts = [0] * length
        self.newest = 0

    def advance(self, bucket: int) -> None:
        """Make a bucket the newest, and drop those that are too old."""
        steps = bucket - self.newest
        if steps <= 0:
            return
        self.newest = bucket
        kept = self.counts[steps:]
        self.counts = kept + [0] * (len(self.counts) - len(kept))

    def add(self, bucket: int, count: int) -> None:
        """Add to a bucket, unless it has been dropped."""
        index = len(self.counts) - 1 - (self.newest - bucket)
        if 0 <= index < len(self.counts):
            self.counts[index] += count

    def total(self) -> int:
        """Return the number of events."""
        return sum(self.counts)

    def last(self, length: int) -> int:
        """Return the number of events in the newest buckets."""
        return sum(self.counts[-length:])


class _Window:
    """Requests and retries of one pool.

    Args:
        limits: Limits on retries.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._ratio = limits.ratio
        self._length = math.ceil(limits.window / BUCKET)
        # Any window of the rule begins within some bucket. Retries are counted from
        # the start of that bucket on, requests from the start of the next one on.
        self._span = math.ceil((limits.window + SEND_DELAY) / BUCKET) + 1
        first = 1 + math.ceil((SEND_DELAY + ARRIVAL_DELAY - limits.window) / BUCKET)
        last = (SEND_DELAY + limits.window) // BUCKET - 1
        self._backing_length = last - first + 1
        self.requests = _Buckets(self._span - first)
        self.retries = _Buckets(self._span)
        self.denials = _Buckets(DENIED_FOR // BUCKET)
        self.taken = 0
        self.denied = 0
        self.returned = 0
        self.share = 0
        self.share_until: Millis = 0

    def advance(self, now: Millis) -> None:
        """Drop what is too old to count."""
        bucket = now // BUCKET
        self.requests.advance(bucket)
        self.retries.advance(bucket)
        self.denials.advance(bucket)

    def excess(self) -> float:
        """Return the most retries of a window beyond the ratio of its requests.

        Only windows that contain the present are considered: the others were when they
        did. It is negative while the ratio allows more.
        """
        # Index 0 is the window that begins in the oldest bucket.
        total = self.retries.total()
        earlier = accumulate(self.retries.counts, initial=0)
        windows = zip(earlier, self._backing(), strict=False)
        return max(total - before - backing for before, backing in windows)

    def _backing(self) -> Sequence[float]:
        """Return the retries that the ratio allows, by the start of the window.

        Each window counts half of its own requests so far and of those before it.
        """
        sums = list(accumulate(self.requests.counts, initial=0))
        ends = sums[self._backing_length :]
        ends += [sums[-1]] * (self._span - len(ends))
        ratio = self._ratio / 2
        return [ratio * (end - start) for start, end in zip(sums, ends, strict=False)]

    def slack(self, now: Millis) -> int:
        """Return the share of the slack that may be used now."""
        return self.share if now < self.share_until else 0

    def activity(self, pool: str, now: Millis) -> RetryActivity:
        """Return the decisions since the last call, and reset their counts."""
        row = RetryActivity(
            pool,
            self.taken,
            self.denied,
            self.requests.last(self._length),
            self.retries.last(self._length),
            self.slack(now),
            self.returned,
        )
        self.taken = self.denied = self.returned = 0
        return row

    def is_empty(self) -> bool:
        """Return whether nothing counts any more."""
        return not any(self.requests.counts) and not any(self.retries.counts)


class PoolRetryBudget:
    """Counts requests and retries by pool.

    Args:
        limits: Limits on retries.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._windows: dict[str, _Window] = {}

    def __repr__(self) -> str:
        return f"PoolRetryBudget({self._limits})"

    def note_request(self, pool: str, arrived: Millis, now: Millis) -> None:
        """Count a request before it is sent for the first time.

        Args:
            pool: Pool that it is sent to.
            arrived: When it arrived.
            now: Current time.
        """
        self._window(pool, now).requests.add(arrived // BUCKET, 1)

    def take(self, pool: str, now: Millis) -> bool:
        """Take a permit for one retry, which is sent at once.

        Args:
            pool: Pool of the retry.
            now: Current time.

        Returns:
            Whether the budget allowed the retry.
        """
        window = self._window(pool, now)
        if window.excess() + 1 > window.slack(now):
            window.denied += 1
            window.denials.add(now // BUCKET, 1)
            return False
        window.taken += 1
        window.retries.add(now // BUCKET, 1)
        return True

    def put_back(self, pool: str, taken: Millis, now: Millis) -> None:
        """Return a permit that was taken at some time, as nothing was sent."""
        window = self._window(pool, now)
        window.retries.add(taken // BUCKET, -1)
        window.returned += 1

    def slack_use(self, now: Millis) -> dict[str, SlackUse]:
        """Return the slack that this entry needs and has, by pool.

        Pools without recent requests are left out.
        """
        use = {}
        for pool in list(self._windows):
            window = self._window(pool, now)
            if window.is_empty():
                del self._windows[pool]
                continue
            needed = max(math.ceil(window.excess()), 0) + window.denials.total()
            use[pool] = SlackUse(needed, window.slack(now))
        return use

    def set_share(self, pool: str, share: int, until: Millis, now: Millis) -> None:
        """Set this entry's share of a pool's slack.

        Args:
            pool: The pool.
            share: Retries beyond the ratio that each window may hold.
            until: Time until which the share may be used.
            now: Current time.
        """
        window = self._window(pool, now)
        window.share, window.share_until = share, until

    def activity(self, now: Millis) -> list[RetryActivity]:
        """Return the pools with decisions since the last call, and reset the counts."""
        rows = [self._window(pool, now).activity(pool, now) for pool in self._windows]
        return [row for row in rows if row.taken or row.denied or row.returned]

    def _window(self, pool: str, now: Millis) -> _Window:
        window = self._windows.get(pool)
        if window is None:
            window = self._windows[pool] = _Window(self._limits)
        window.advance(now)
        return window
