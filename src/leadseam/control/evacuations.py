"""The replicated table of evacuated failure domains. No I/O.

Operators' orders carry no version, and a resent order may reach any replica late. So a
replica that receives an order adds the number of switches of the domain that it has
applied; if the number differs when the order is applied, the order changes nothing.
That covers every delay inside the group. `leadseam.control.order_guard` covers copies
that arrive late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from leadseam.wire.record import Record

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_DOMAINS = 1_000
"""Maximum number of failure domains in the table, evacuated or restored. It is far
above the number in a fleet."""


class EvacuationRow(Record, frozen=True, array_like=True):
    """A failure domain that is or was evacuated.

    Args:
        domain: Name of the failure domain.
        evacuated: Whether it is evacuated now.
        switches: How often it was evacuated or restored.
        revision: Revision of the whole table at its last switch.
        at: Wall time of its last switch, stamped by the leader.
    """

    domain: str
    evacuated: bool
    switches: int
    revision: int
    at: int = 0


class EvacuationTable:
    """The table of failure domains, which is the same on every replica.

    Args:
        rows: Rows of a snapshot to start from.
    """

    def __init__(self, rows: Iterable[EvacuationRow] = ()) -> None:
        self._rows = {row.domain: row for row in rows}

    def __repr__(self) -> str:
        return f"EvacuationTable(revision={self.revision}, evacuated={self.evacuated})"

    @property
    def revision(self) -> int:
        """Revision of the table: 0 at first, and one more with each switch."""
        return max((row.revision for row in self._rows.values()), default=0)

    @property
    def evacuated(self) -> tuple[str, ...]:
        """Sorted names of the failure domains that are evacuated."""
        return tuple(sorted(row.domain for row in self._rows.values() if row.evacuated))

    def rows(self) -> tuple[EvacuationRow, ...]:
        """Return all rows."""
        return tuple(self._rows.values())

    def row(self, domain: str) -> EvacuationRow:
        """Return the row of a failure domain; an initial row if there is none."""
        return self._rows.get(domain) or EvacuationRow(domain, False, 0, 0)

    def is_full_for(self, domain: str) -> bool:
        """Return whether a failure domain can't be added as the table is full."""
        return domain not in self._rows and len(self._rows) >= MAX_DOMAINS

    def switch(self, domain: str, evacuated: bool, *, expected: int, at: int) -> bool:
        """Evacuate a failure domain or restore it.

        Args:
            domain: Name of the failure domain.
            evacuated: Whether it is to be evacuated (True) or restored (False).
            expected: Number of switches of the domain that the order is based on.
            at: Wall time of the order.

        Returns:
            Whether the domain is in the ordered state, by this order or an earlier one.
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
