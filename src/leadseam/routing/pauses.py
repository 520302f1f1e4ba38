"""Pauses that upstreams have asked this entry for, and how they are taken up again.

No I/O. An upstream that turns a request away may say for how long it wants nothing more
from this entry. It runs nothing then, so by its load it looks like the best choice.

Load that this answers: some engines of a pool turn all requests away for seconds, under
traffic that the others can serve. After its pause an upstream gets one request, and
more only as it answers, so that it does not get at once what it has just turned away.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

TRIAL_INTERVAL: Millis = 500
"""Time after which an upstream gets one more request although it has not answered the
last one: its caller may have gone, or it may take long."""
GROWTH = 2
"""Requests that an upstream may get for each that it has answered after a pause."""
FORGOTTEN: Millis = 60_000
"""Time after a pause from which an upstream counts as any other, whatever it got."""


@dataclass(slots=True)
class _Row:
    """An upstream that has asked for a pause, until it serves as before.

    Args:
        until: When its pause is over.
        credit: Requests that it may get after that.
        answered: Requests that it has answered after that.
        sent_at: When the last one was sent.
    """

    until: Millis
    credit: int = 1
    answered: int = 0
    sent_at: Millis = 0


class PauseTable:
    """Pauses by incarnation: an address says nothing of who asked."""

    def __init__(self) -> None:
        self._rows: dict[Incarnation, _Row] = {}
        self._last_until: Millis = 0

    def __repr__(self) -> str:
        return f"PauseTable(rows={len(self._rows)})"

    def pause(self, incarnation: Incarnation, until: Millis) -> None:
        """Note that an upstream wants nothing until a time; a shorter one is void."""
        row = self._rows.get(incarnation)
        if row is not None:
            until = max(until, row.until)
        self._rows[incarnation] = _Row(until)
        self._last_until = max(self._last_until, until)

    def any_paused(self, now: Millis) -> bool:
        """Tell whether any upstream is paused: so it is rarely."""
        return now < self._last_until

    def count(self, now: Millis) -> int:
        """Return the number of paused upstreams."""
        return sum(now < row.until for row in self._rows.values())

    def until(self, incarnation: Incarnation) -> Millis:
        """Return until when an upstream is paused; 0 if it never was."""
        row = self._rows.get(incarnation)
        return row.until if row is not None else 0

    def is_paused(self, incarnation: Incarnation, now: Millis) -> bool:
        """Tell whether an upstream wants nothing now."""
        return now < self.until(incarnation)

    def allows(self, incarnation: Incarnation, now: Millis) -> bool:
        """Tell whether an upstream may get one more request now."""
        row = self._rows.get(incarnation)
        if row is None:
            return True
        if now < row.until:
            return False
        return row.credit > 0 or now - row.sent_at >= TRIAL_INTERVAL

    def sent(self, incarnation: Incarnation, now: Millis) -> None:
        """Note that a request is sent to an upstream."""
        row = self._rows.get(incarnation)
        if row is not None:
            row.credit = max(row.credit - 1, 0)
            row.sent_at = now

    def answered(self, upstream: Registration, now: Millis) -> bool:
        """Note a good answer; during a pause it is one to an earlier request.

        Returns:
            Whether the upstream may get more than before.
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
        """Forget upstreams whose pause was over long ago."""
        over = [one for one, row in self._rows.items() if now > row.until + FORGOTTEN]
        for incarnation in over:
            del self._rows[incarnation]
