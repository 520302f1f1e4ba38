"""Tells an operator's new order from a late copy of an earlier one. No I/O.

An order may be sent again, to any replica, for a limited time after it was first sent,
and says nothing of when that was. If a domain was evacuated and taken back within that
time, one more evacuation may be a copy of the first, and a copy that is carried out
would hold for good. Nobody can tell, so neither is carried out until the time is over.
The caller is told to ask again; a copy is not asked for again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis
    from leadseam.control.evacuations import EvacuationRow, EvacuationTable


class OrderGuard:
    """When this replica has seen each order on a failure domain take effect.

    Args:
        resend_limit: Milliseconds for which an order may be sent again.
    """

    def __init__(self, resend_limit: Millis) -> None:
        self._resend_limit = resend_limit
        self._switches: dict[str, int] = {}
        self._seen_at: dict[tuple[str, bool], Millis] = {}

    def __repr__(self) -> str:
        return f"OrderGuard(domains={len(self._switches)})"

    def record_applied(self, rows: Iterable[EvacuationRow], now: Millis) -> None:
        """Note the table as it is; what was missed counts as seen now."""
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
        """Tell whether an order may be a copy of one that was undone since."""
        if table.row(domain).evacuated is evacuated:
            return False
        seen = self._seen_at.get((domain, evacuated))
        return seen is not None and now - seen <= self._resend_limit
