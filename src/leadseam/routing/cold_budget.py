"""How much work cold upstreams get, over all entries together. No I/O.

An upstream is cold for some seconds after a start, or whenever it says so, and fails
under more requests a second than it bears then. Entries do not ask each other: each
keeps to a part of the rate that adds up to it whatever the others do. Where there are
more entries than requests a second, a few of them are drawn for each upstream by a hash
of both, and the others send it nothing until it is warm.
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
"""Span in which an entry keeps to its part. The rate is counted over 1,000 ms where
requests arrive; the rest is for those that are held up on their way."""
CROWDED = 1.25
"""Entries for each request a second of the rate, beyond which not all may send one."""
DRAWN_PART = 0.6
"""Mean number of drawn entries, as a part of the rate. The number is binomial: with a
rate of 21 more than 36 of 347 entries are drawn less than once in a million times."""
DRAW_RANGE = 2**64


class ColdBudget:
    """This entry's part of what cold upstreams bear.

    Args:
        entry: Name of this entry.
        rate_of: Returns the requests a second that a cold upstream of a pool bears, 0
            if that is not stated.
        cold_until: Returns until when an upstream is taken to be cold.
        entries: Returns the number of entries, 0 if it is not known.
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
        """Tell whether an upstream may get one more request from this entry now."""
        if now >= self._cold_until(row):
            return True
        rate = self._rate_of(row.pool)
        if rate <= 0:
            return True
        part = self._part(row, rate, now)
        if not part:
            return False
        sent = self._sent.get(row.incarnation)
        return sent is None or _count_since(sent, now - WINDOW) < part

    def begin(self, row: Registration, now: Millis) -> None:
        """Count a request that is sent to an upstream, cold or not."""
        if now >= self._cold_until(row):
            self._sent.pop(row.incarnation, None)
            return
        sent = self._sent.setdefault(row.incarnation, deque())
        while sent and sent[0] <= now - WINDOW:
            sent.popleft()
        sent.append(now)

    def _part(self, row: Registration, rate: float, now: Millis) -> int:
        """Return the requests that this entry may send in one window."""
        entries = self._entries(now)
        if not entries:
            return 0
        if entries <= CROWDED * rate:
            return max(int(rate / entries), 1)
        return int(self._is_drawn(row, DRAWN_PART * rate / entries))

    def _is_drawn(self, row: Registration, probability: float) -> bool:
        key = f"{self._entry}/{row.incarnation}".encode()
        return xxhash.xxh3_64_intdigest(key) < probability * DRAW_RANGE


def _count_since(sent: deque[Millis], since: Millis) -> int:
    return sum(at > since for at in sent)
