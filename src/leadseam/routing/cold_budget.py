"""Limits the requests that all entries together send to a cold upstream. No I/O.

An upstream is cold for some seconds after a start, or whenever it reports so, and then
fails above a certain rate of requests. Entries do not coordinate: each keeps to its
part of the rate, and the parts add up to the rate whatever the others do. If there are
more entries than requests per second, a few entries are selected for each upstream by a
hash of both, and the others send it nothing until it is warm.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

WINDOW: Millis = 1_250
"""Window in which an entry keeps to its part. The upstream counts its rate over 1,000
ms; the remaining 250 ms allow for requests that are delayed on their way."""
MAX_ENTRIES_PER_RATE = 1.25
"""Ratio of entries to the rate in requests per second above which only selected entries
may send."""
SELECTED_PART = 0.6
"""Mean number of selected entries, as a fraction of the rate. The number is binomial:
at a rate of 21, more than 36 of 347 entries are selected with a probability below one
in a million."""
HASH_RANGE = 2**64


class ColdBudget:
    """This entry's part of the rate of requests that cold upstreams can serve.

    Args:
        entry: Name of this entry.
        rate_of: Returns the requests per second that a cold upstream of a pool can
            serve, or 0 if no rate is stated.
        cold_until: Returns the time until which an upstream is considered cold.
        entries: Returns the number of entries, or 0 if it is unknown.
    """

    def __init__(
        self,
        entry: str,
        *,
        rate_of: Callable[[str], float],
        cold_until: Callable[[Registration], Millis],
        entries: Callable[[Millis], int],
    ) -> None:
        self._entry = entry
        self._rate_of = rate_of
        self._cold_until = cold_until
        self._entries = entries
        self._sent: dict[Incarnation, deque[Millis]] = {}

    def __repr__(self) -> str:
        return f"ColdBudget(cold={len(self._sent)})"

    def allows(self, row: Registration, now: Millis) -> bool:
        """Return whether an upstream may get one more request from this entry now."""
        if now >= self._cold_until(row):
            return True
        rate = self._rate_of(row.pool)
        if rate <= 0:
            return True
        allowance = self._allowance(row, rate, now)
        if not allowance:
            return False
        sent = self._sent.get(row.incarnation)
        return sent is None or _count_since(sent, now - WINDOW) < allowance

    def begin(self, row: Registration, now: Millis) -> None:
        """Count a request sent to a cold upstream; drop the counts of a warm one."""
        if now >= self._cold_until(row):
            self._sent.pop(row.incarnation, None)
            return
        sent = self._sent.setdefault(row.incarnation, deque())
        while sent and sent[0] <= now - WINDOW:
            sent.popleft()
        sent.append(now)

    def _allowance(self, row: Registration, rate: float, now: Millis) -> int:
        """Return the number of requests that this entry may send in one window."""
        entries = self._entries(now)
        if not entries:
            return 0
        if entries <= MAX_ENTRIES_PER_RATE * rate:
            return max(int(rate / entries), 1)
        return int(self._is_selected(row, SELECTED_PART * rate / entries))

    def _is_selected(self, row: Registration, probability: float) -> bool:
        key = f"{self._entry}/{row.incarnation}".encode()
        return xxhash.xxh3_64_intdigest(key) < probability * HASH_RANGE


def _count_since(sent: deque[Millis], since: Millis) -> int:
    return sum(at > since for at in sent)
