"""Which upstreams to leave alone for a while, judged from their answers. No I/O.

An upstream may fail part of its requests while its own health check is good, so the
share of failures among its last answers decides.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation

FIRST_PAUSE: Millis = 500
"""Pause after failures; a restart takes about as long."""
MAX_PAUSE: Millis = 4_000
"""Longest pause; a recovered upstream is tried again within it."""
WEIGHT = 0.1
"""Weight of the newest answer in the failing share: about the last twenty count."""
FAILING_SHARE = 0.4
"""Share of failures from which an upstream is left alone. One request in seven may end
with an error on an ordinary day; five failures in a row reach the share."""
FORGOTTEN_SHARE = 0.02
"""Share below which an upstream counts as new again, its pauses included."""
MAX_ROWS = 10_000


@dataclass(slots=True)
class _Row:
    share: float = 0.0
    pause: Millis = FIRST_PAUSE
    until: Millis = 0


class UpstreamHealth:
    """Share of failures, by incarnation."""

    def __init__(self) -> None:
        self._rows: dict[Incarnation, _Row] = {}
        self._last_until: Millis = 0

    def __repr__(self) -> str:
        return f"UpstreamHealth(rows={len(self._rows)})"

    def all_usable(self, now: Millis) -> bool:
        """Tell whether new work may go to any upstream: so it is nearly always."""
        return now >= self._last_until

    def usable(self, incarnation: Incarnation, now: Millis) -> bool:
        """Tell whether new work may go there."""
        row = self._rows.get(incarnation)
        return row is None or now >= row.until

    def succeeded(self, incarnation: Incarnation) -> None:
        """Note a good answer."""
        row = self._rows.get(incarnation)
        if row is None:
            return
        row.share -= WEIGHT * row.share
        if row.share < FORGOTTEN_SHARE:
            del self._rows[incarnation]

    def failed(self, incarnation: Incarnation, now: Millis) -> bool:
        """Note a failed attempt.

        Returns:
            Whether the upstream is left alone from now on.
        """
        row = self._rows.setdefault(incarnation, _Row())
        row.share += WEIGHT * (1 - row.share)
        if row.share < FAILING_SHARE:
            return False
        return self._exclude(row, now)

    def unreachable(self, incarnation: Incarnation, now: Millis) -> bool:
        """Note a connection that could not be opened; see `failed`."""
        row = self._rows.setdefault(incarnation, _Row())
        row.share = max(row.share, FAILING_SHARE)
        return self._exclude(row, now)

    def _exclude(self, row: _Row, now: Millis) -> bool:
        if now < row.until:
            return False
        row.until = now + row.pause
        self._last_until = max(self._last_until, row.until)
        row.pause = min(row.pause * 2, MAX_PAUSE)
        # After the pause a few failures are needed, not just one.
        row.share = FAILING_SHARE / 2
        self._evict()
        return True

    def _evict(self) -> None:
        while len(self._rows) > MAX_ROWS:
            del self._rows[next(iter(self._rows))]
