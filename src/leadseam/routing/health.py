"""Which upstreams to leave alone for a while, judged from their answers. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

FIRST_PAUSE: Millis = 500
"""Pause after the first failure in a row that counts; a restart takes about as long."""
MAX_PAUSE: Millis = 4_000
"""Longest pause; a recovered upstream is tried again within it."""
TOLERATED_FAILURES = 2
"""Failures in a row that cost nothing: single lost answers are ordinary."""
MAX_ROWS = 10_000


@dataclass(slots=True)
class _Row:
    failures: int = 0
    pause: Millis = FIRST_PAUSE
    until: Millis = 0


class UpstreamHealth:
    """Failures in a row, by incarnation."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}

    def __repr__(self) -> str:
        return f"UpstreamHealth(rows={len(self._rows)})"

    def usable(self, instance: str, now: Millis) -> bool:
        """Tell whether new work may go there."""
        row = self._rows.get(instance)
        return row is None or now >= row.until

    def succeeded(self, instance: str) -> None:
        """Note a good answer."""
        self._rows.pop(instance, None)

    def failed(self, instance: str, now: Millis) -> bool:
        """Note a failed attempt.

        Returns:
            Whether the upstream is left alone from now on.
        """
        row = self._rows.setdefault(instance, _Row())
        row.failures += 1
        if row.failures <= TOLERATED_FAILURES:
            return False
        return self._leave_alone(row, now)

    def unreachable(self, instance: str, now: Millis) -> bool:
        """Note a connection that could not be opened; see `failed`."""
        row = self._rows.setdefault(instance, _Row())
        row.failures += 1
        return self._leave_alone(row, now)

    def _leave_alone(self, row: _Row, now: Millis) -> bool:
        if now < row.until:
            return False
        row.until = now + row.pause
        row.pause = min(row.pause * 2, MAX_PAUSE)
        self._bound()
        return True

    def _bound(self) -> None:
        while len(self._rows) > MAX_ROWS:
            del self._rows[next(iter(self._rows))]
