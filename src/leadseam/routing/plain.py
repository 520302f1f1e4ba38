"""Who may queue at the upstreams of a plain pool. No I/O.

A plain upstream works on some requests, queues a few more and turns the rest away, so
whoever sends most fills its queue. Load that this answers: one account sends several
times what a pool bears, steadily, and another one a burst now and then. While places
are free everybody gets one; once requests queue, an account that is ahead of its share
of what was served of late leaves the rest of the queue to others.

Shares are those that this entry has seen itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.routing.usage import UsageBook
from leadseam.wire.feed import LoadReport, LoadSums

if TYPE_CHECKING:
    from leadseam.routing.load import Load
    from leadseam.wire.feed import Registration

REFRESHED: Millis = 50
"""Age of shares up to which they are used: small against the time in which service
fades."""
QUEUED_PART = 2.0
"""Multiple of an upstream's slots up to which accounts ahead of their share may queue
there. It keeps the slots busy while answers and requests are on their way."""
ONE_REQUEST = 1
"""Service of a request: nothing tells one from another beforehand."""


class PlainShares:
    """Requests that accounts got of late at this entry, by pool."""

    def __init__(self) -> None:
        self._books: dict[str, UsageBook] = {}

    def __repr__(self) -> str:
        return f"PlainShares(pools={len(self._books)})"

    def asked(self, pool: str, account: str, now: Millis) -> None:
        """Count a request that arrived."""
        self._book(pool).asked(account, ONE_REQUEST, now)

    def served(self, pool: str, account: str, now: Millis) -> None:
        """Count a request that was sent to an upstream."""
        self._book(pool).served(account, ONE_REQUEST, now)

    def may_send(
        self, upstream: Registration, account: str, load: Load, now: Millis
    ) -> bool:
        """Tell whether an account may send an upstream one more request.

        Args:
            upstream: The upstream of the pool with the least in flight.
            account: The account.
            load: What is in flight there, of all entries.
            now: Current time.
        """
        if load.requests < QUEUED_PART * upstream.slots:
            return True
        return not self._is_ahead(upstream.pool, account, now)

    def _is_ahead(self, pool: str, account: str, now: Millis) -> bool:
        book = self._book(pool)
        if not 0 <= book.sums_age(now) < REFRESHED:
            rows = book.rows(now)
            report = LoadReport(0, (), rows)
            book.take_sums(LoadSums((), rows), report, capacity=0, now=now)
        return book.level(account, now) > book.shares.stated

    def _book(self, pool: str) -> UsageBook:
        return self._books.setdefault(pool, UsageBook())
