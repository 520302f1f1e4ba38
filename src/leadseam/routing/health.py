"""Passive health checks: excludes upstreams by the failures of their answers. No I/O.

An upstream may fail part of its requests while its own health check succeeds, so the
share of failures among its last answers decides.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation

FIRST_PAUSE: Millis = 500
"""First exclusion after failures; a restart takes about as long."""
MAX_PAUSE: Millis = 4_000
"""Longest exclusion; a recovered upstream is tried again within this time."""
WEIGHT = 0.1
"""Weight of the newest answer in the moving average of failures: about the last twenty
answers count."""
FAILING_SHARE = 0.4
"""Share of failures from which an upstream is excluded. In normal operation up to one
request in seven may end with an error; five failures in a row reach the share."""
FORGOTTEN_SHARE = 0.02
"""Share of failures below which an upstream's row is dropped. Its next exclusion then
lasts `FIRST_PAUSE` again."""
MAX_ROWS = 10_000


@dataclass(slots=True)
class _Row:
    share: float = 0.0
    pause: Millis = FIRST_PAUSE
    until: Millis = 0


class UpstreamHealth:
    """Shares of failures and exclusions of upstreams, by incarnation."""

    def __init__(self) -> None:
        self._rows: dict[Incarnation, _Row] = {}
        self._last_until: Millis = 0

    def __repr__(self) -> str:
        return f"UpstreamHealth(rows={len(self._rows)})"

    def all_usable(self, now: Millis) -> bool:
        """Check whether no upstream is excluded; this is nearly always so."""
        return now >= self._last_until

    def usable(self, incarnation: Incarnation, now: Millis) -> bool:
        """Check whether new work may be sent to an upstream."""
        row = self._rows.get(incarnation)
        return row is None or now >= row.until

    def succeeded(self, incarnation: Incarnation) -> None:
        """Record a good answer."""
        row = self._rows.get(incarnation)
        if row is None:
            return
        row.share -= WEIGHT * row.share
        if row.share < FORGOTTEN_SHARE:
            del self._rows[incarnation]

    def failed(self, incarnation: Incarnation, now: Millis) -> bool:
        """Record a failed attempt.

        Returns:
            Whether the upstream is excluded from now on.
        """
        row = self._rows.setdefault(incarnation, _Row())
        row.share += WEIGHT * (1 - row.share)
        if row.share < FAILING_SHARE:
            return False
        return self._exclude(row, now)

    def unreachable(self, incarnation: Incarnation, now: Millis) -> bool:
        """Record that a connection could not be opened, which excludes the upstream.

        Returns:
            Whether the upstream is excluded from now on, and was not before.
        """
        row = self._rows.setdefault(incarnation, _Row())
        row.share = max(row.share, FAILING_SHARE)
        return self._exclude(row, now)

    def _exclude(self, row: _Row, now: Millis) -> bool:
        if now < row.until:
            return False
        row.until = now + row.pause
        self._last_until = max(self._last_until, row.until)
        row.pause = min(row.pause * 2, MAX_PAUSE)
        # After the pause, the next exclusion takes a few failures, not just one.
        row.share = FAILING_SHARE / 2
        self._evict()
        return True

    def _evict(self) -> None:
        while len(self._rows) > MAX_ROWS:
            del self._rows[next(iter(self._rows))]
