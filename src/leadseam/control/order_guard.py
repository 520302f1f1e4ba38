"""Detects orders that may be late copies of earlier ones. No I/O.

An order may be resent to any replica for a limited time after it was first sent, and
does not carry the time of its first send. If a domain was evacuated and restored within
that time, another evacuation may be a late copy of the first, which would stay in
effect if it were executed. New orders and copies can't be distinguished, so both are
rejected until the time is over. The caller of a new order is asked to retry; a late
copy has no caller that retries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis
    from leadseam.control.evacuations import EvacuationRow, EvacuationTable


class OrderGuard:
    """Records when this replica has seen each order on a failure domain take effect.

    Args:
        resend_limit: Milliseconds for which an order may be resent.
    """

    def __init__(self, resend_limit: Millis) -> None:
        self._resend_limit = resend_limit
        self._switches: dict[str, int] = {}
        self._seen_at: dict[tuple[str, bool], Millis] = {}

    def __repr__(self) -> str:
        return f"OrderGuard(domains={len(self._switches)})"

    def record_applied(self, rows: Iterable[EvacuationRow], now: Millis) -> None:
        """Record the switches since the last call.

        Where several were missed, orders in both directions count as seen now.
        """
        for row in rows:
            missed = row.switches - self._switches.get(row.domain, 0)
            if missed > 0:
                self._seen_at[row.domain, row.evacuated] = now
            if missed > 1:
                self._seen_at[row.domain, not row.evacuated] = now
            self._switches[row.domain] = row.switches

    def may_be_late(
        self, table: EvacuationTable, domain: str, evacuated: bool, now: Millis
    ) -> bool:
        """Return whether an order may be a late copy of one that was reverted since."""
        if table.row(domain).evacuated is evacuated:
            return False
        seen = self._seen_at.get((domain, evacuated))
        return seen is not None and now - seen <= self._resend_limit
