"""Pauses that upstreams request from this entry, and the slow start after them. No I/O.

An upstream that refuses a request may state how long it wants no more work from this
entry. Without this table it would seem the best choice, as it has no load meanwhile.

The case served is a pool where some engines refuse all requests for seconds, under
traffic that the others can handle. After its pause an upstream gets one request, and
more only as it answers, so that the load it has just refused does not return at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

TRIAL_INTERVAL: Millis = 500
"""Time after which an upstream gets one more request although the last one is not
answered: its caller may have left, or it may take long."""
GROWTH = 2
"""Further requests that an upstream may get for each one answered after a pause."""
RETENTION: Millis = 60_000
"""Time after the end of a pause at which its row is dropped, and the slow start ends in
any case."""


@dataclass(slots=True)
class _Row:
    """An upstream during a pause and the slow start after it.

    Args:
        until: End of the pause.
        credit: Requests that may still be sent after the pause.
        answered: Requests answered after the pause.
        sent_at: Time of the last send.
    """

    until: Millis
    credit: int = 1
    answered: int = 0
    sent_at: Millis = 0


class PauseTable:
    """Pauses by incarnation, as an address may pass to another upstream."""

    def __init__(self) -> None:
        self._rows: dict[Incarnation, _Row] = {}
        self._last_until: Millis = 0

    def __repr__(self) -> str:
        return f"PauseTable(rows={len(self._rows)})"

    def pause(self, incarnation: Incarnation, until: Millis) -> None:
        """Pause an upstream until a time, unless its pause already ends later."""
        row = self._rows.get(incarnation)
        if row is not None:
            until = max(until, row.until)
        self._rows[incarnation] = _Row(until)
        self._last_until = max(self._last_until, until)

    def any_paused(self, now: Millis) -> bool:
        """Check whether any upstream is paused; this is rarely so."""
        return now < self._last_until

    def count(self, now: Millis) -> int:
        """Return the number of paused upstreams."""
        return sum(now < row.until for row in self._rows.values())

    def until(self, incarnation: Incarnation) -> Millis:
        """Return the end of an upstream's pause; 0 if it has no row."""
        row = self._rows.get(incarnation)
        return row.until if row is not None else 0

    def is_paused(self, incarnation: Incarnation, now: Millis) -> bool:
        """Check whether an upstream is paused now."""
        return now < self.until(incarnation)

    def allows(self, incarnation: Incarnation, now: Millis) -> bool:
        """Check whether an upstream may get one more request now."""
        row = self._rows.get(incarnation)
        if row is None:
            return True
        if now < row.until:
            return False
        return row.credit > 0 or now - row.sent_at >= TRIAL_INTERVAL

    def sent(self, incarnation: Incarnation, now: Millis) -> None:
        """Record that a request is sent to an upstream."""
        row = self._rows.get(incarnation)
        if row is not None:
            row.credit = max(row.credit - 1, 0)
            row.sent_at = now

    def answered(self, upstream: Registration, now: Millis) -> bool:
        """Record a good answer; during a pause it belongs to an earlier request.

        Returns:
            Whether the upstream may get more requests than before.
        """
        row = self._rows.get(upstream.incarnation)
        if row is None or now < row.until:
            return False
        row.answered += 1
        row.credit += GROWTH
        if row.answered >= upstream.slots:
            del self._rows[upstream.incarnation]
        return True

    def sweep(self, now: Millis) -> None:
        """Drop the rows of upstreams whose pause ended long ago."""
        over = [one for one, row in self._rows.items() if now > row.until + RETENTION]
        for incarnation in over:
            del self._rows[incarnation]
