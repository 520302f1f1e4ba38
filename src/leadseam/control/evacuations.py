"""Failure domains that operators have evacuated, as the log decides it. No I/O.

Operators' orders carry no version, and a resent order may reach any replica late. So a
replica that takes an order states the last switch of the domain that it knew of then;
an order that meets another switch in the log changes nothing. That covers every delay
inside the group. `leadseam.control.order_guard` covers copies that arrive late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from leadseam.wire.record import Record

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_DOMAINS = 1_000
"""Failure domains remembered, evacuated or not: far more than a fleet has."""


class EvacuationRow(Record, frozen=True, array_like=True):
    """One failure domain that was evacuated at some time.

    Args:
        domain: Its name.
        evacuated: Whether it is evacuated now.
        switches: How often that has changed.
        revision: Revision of the whole table at the last change.
        at: Wall time of the last change, stamped by the leader.
    """

    domain: str
    evacuated: bool
    switches: int
    revision: int
    at: int = 0


class EvacuationTable:
    """The table of evacuated failure domains; equal on every replica.

    Args:
        rows: Rows of a snapshot.
    """

    def __init__(self, rows: Iterable[EvacuationRow] = ()) -> None:
        self._rows = {row.domain: row for row in rows}

    def __repr__(self) -> str:
        return f"EvacuationTable(revision={self.revision}, evacuated={self.evacuated})"

    @property
    def revision(self) -> int:
        """Revision of the table; grows with each change, 0 before the first."""
        return max((row.revision for row in self._rows.values()), default=0)

    @property
    def evacuated(self) -> tuple[str, ...]:
        """Names of the failure domains that are evacuated, in order."""
        return tuple(sorted(row.domain for row in self._rows.values() if row.evacuated))

    def rows(self) -> tuple[EvacuationRow, ...]:
        """Return all rows, for a snapshot or a list."""
        return tuple(self._rows.values())

    def row(self, domain: str) -> EvacuationRow:
        """Return the row of a failure domain, also of one never evacuated."""
        return self._rows.get(domain) or EvacuationRow(domain, False, 0, 0)

    def is_full_for(self, domain: str) -> bool:
        """Tell whether there is no room for a further failure domain."""
        return domain not in self._rows and len(self._rows) >= MAX_DOMAINS

    def switch(self, domain: str, evacuated: bool, *, expected: int, at: int) -> bool:
        """Evacuate a failure domain or take it back.

        Args:
            domain: Its name.
            evacuated: What it is to be.
            expected: Switches of the domain that the order is based on.
            at: Wall time of the order.

        Returns:
            Whether the domain is now as ordered, by this order or an earlier one.
        """
        row = self.row(domain)
        if row.evacuated is evacuated:
            return True
        if row.switches != expected or self.is_full_for(domain):
            return False
        self._rows[domain] = msgspec.structs.replace(
            row,
            evacuated=evacuated,
            switches=row.switches + 1,
            revision=self.revision + 1,
            at=at,
        )
        return True
