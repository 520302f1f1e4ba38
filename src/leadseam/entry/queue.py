"""Queue of an entry's waiting requests, limited in count and size. No I/O."""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from leadseam.outcome import NotRun, Reason

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.entry.request import WaitingRequest

MIN_RETRY_AFTER: Millis = 1_000
MAX_RETRY_AFTER: Millis = 60_000
RATE_WINDOW: Millis = 10_000


class QueueKey(NamedTuple):
    """Identifies the queue for the requests of one account to one pool."""

    pool: str
    account: str


@dataclass(slots=True)
class _DrainRate:
    """How fast a queue drains, as a count that decays over `RATE_WINDOW`."""

    count_taken: float = 0.0
    updated: Millis = 0

    def record(self, now: Millis) -> None:
        self.count_taken = self._decayed(now) + 1
        self.updated = now

    def estimate_time(self, count: int, now: Millis) -> Millis:
        """Estimate how many milliseconds the queue takes to drain `count` requests."""
        count_taken = self._decayed(now)
        if count_taken < 1:
            return MAX_RETRY_AFTER
        return round(count * RATE_WINDOW / count_taken)

    def _decayed(self, now: Millis) -> float:
        left = max(0.0, 1 - (now - self.updated) / RATE_WINDOW)
        return self.count_taken * left


class WaitingQueue:
    """All waiting requests of an entry, ordered within each account and pool.

    Args:
        max_bytes: Limit on the total size of all waiting bodies.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._queues: dict[QueueKey, list[WaitingRequest]] = defaultdict(list)
        self._rates: dict[QueueKey, _DrainRate] = defaultdict(_DrainRate)

    def __repr__(self) -> str:
        return f"WaitingQueue({len(self)} requests, {self._bytes} bytes)"

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def offer(
        self, item: WaitingRequest, *, max_waiting: int, now: Millis
    ) -> NotRun | None:
        """Add a request, or refuse it immediately.

        Args:
            item: The request.
            max_waiting: Limit on the account's waiting requests at this entry.
            now: Current time.

        Returns:
            None if the request was queued, else the refusal.
        """
        key = QueueKey(item.req.pool, item.req.account)
        waiting = self.account_waiting(key.account)
        if waiting >= max_waiting:
            return NotRun(Reason.ACCOUNT_QUEUE_FULL, self._retry_after(key, now))
        if self._bytes + item.size > self._max_bytes:
            return NotRun(Reason.MEMORY_FULL, self._retry_after(key, now))
        self.enqueue(item)
        return None

    def enqueue(self, item: WaitingRequest) -> None:
        """Add a request without checking the limits, for example for a retry."""
        key = QueueKey(item.req.pool, item.req.account)
        bisect.insort(self._queues[key], item, key=lambda other: other.order)
        self._bytes += item.size
        item.queued = True

    def take(
        self, key: QueueKey, *, upstream: str, now: Millis
    ) -> WaitingRequest | None:
        """Remove and return the first request that may go to an upstream, or None."""
        queue = self._queues.get(key)
        if not queue:
            return None
        fitting = (item for item in queue if upstream not in item.avoid)
        item = next(fitting, None)
        if item is None:
            return None
        self.remove(item)
        self._rates[key].record(now)
        return item

    def remove(self, item: WaitingRequest) -> None:
        """Remove a waiting request."""
        key = QueueKey(item.req.pool, item.req.account)
        queue = self._queues[key]
        position = bisect.bisect_left(queue, item.order, key=lambda other: other.order)
        assert queue[position] is item
        del queue[position]
        self._bytes -= item.size
        item.queued = False
        if not queue:
            del self._queues[key]

    def count(self, key: QueueKey) -> int:
        """Return the number of waiting requests in a queue."""
        return len(self._queues.get(key, ()))

    def count_allowed(self, key: QueueKey, upstream: str) -> int:
        """Return how many waiting requests in a queue may go to an upstream."""
        queue = self._queues.get(key, ())
        return sum(upstream not in item.avoid for item in queue)

    def clear_avoided(self, pool: str, usable: set[str]) -> None:
        """Let requests of a pool that avoid all usable upstreams go to any of them."""
        for key in self.keys(pool):
            for item in self._queues[key]:
                if item.avoid and usable <= item.avoid:
                    item.avoid.clear()

    def account_waiting(self, account: str) -> int:
        """Return the number of an account's waiting requests over all pools."""
        return sum(
            len(queue) for key, queue in self._queues.items() if key.account == account
        )

    def oldest_arrival(self, key: QueueKey) -> Millis:
        """Return the arrival time of the oldest request in a non-empty queue."""
        return min(item.req.arrived for item in self._queues[key])

    def keys(self, pool: str) -> list[QueueKey]:
        """Return the keys of a pool's non-empty queues."""
        return [key for key in self._queues if key.pool == pool]

    def _retry_after(self, key: QueueKey, now: Millis) -> Millis:
        estimate = self._rates[key].estimate_time(self.count(key), now)
        return min(max(estimate, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
