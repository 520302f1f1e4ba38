"""An entry's merge of the service rows of all sidecars of a pool."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.wire.dispatch import ServiceRow

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(slots=True)
class _Source:
    incarnation: int
    rows: dict[str, ServiceRow] = field(default_factory=dict)
    earlier: dict[str, int] = field(default_factory=dict)


class ServiceMerge:
    """Rows by sidecar; what earlier incarnations of a sidecar served is kept."""

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}
        self._offsets: dict[str, int] = {}
        self._sent: dict[str, dict[str, ServiceRow]] = {}

    def __repr__(self) -> str:
        return f"ServiceMerge(sidecars={len(self._sources)})"

    def connect(self, sidecar: str, incarnation: int) -> None:
        """Note a new connection; a new incarnation counts from zero again."""
        self._sent.pop(sidecar, None)
        source = self._sources.get(sidecar)
        if source is None:
            self._sources[sidecar] = _Source(incarnation)
        elif source.incarnation != incarnation:
            self._fold(source)
            source.incarnation = incarnation

    def update(self, sidecar: str, rows: Iterable[ServiceRow]) -> None:
        """Take changed rows of a connected sidecar."""
        source = self._sources[sidecar]
        for row in rows:
            source.rows[row.account] = row
            known = self._offsets.get(row.account, 0)
            self._offsets[row.account] = max(known, row.offset)

    def report(self, sidecar: str, accounts: Iterable[str]) -> tuple[ServiceRow, ...]:
        """Return rows on the others' service that a sidecar does not have yet."""
        sent = self._sent.setdefault(sidecar, {})
        changed = []
        for account in accounts:
            row = self._others(sidecar, account)
            if sent.get(account) != row:
                sent[account] = row
                changed.append(row)
        return tuple(changed)

    def report_unsent(
        self, sidecar: str, accounts: Iterable[str]
    ) -> tuple[ServiceRow, ...]:
        """Return rows of accounts that a connected sidecar has not heard of."""
        sent = self._sent.setdefault(sidecar, {})
        return self.report(sidecar, [name for name in accounts if name not in sent])

    def _others(self, sidecar: str, account: str) -> ServiceRow:
        served = 0
        reserved = 0
        for name, source in self._sources.items():
            served += source.earlier.get(account, 0)
            row = source.rows.get(account)
            if name != sidecar and row is not None:
                served += row.served
                reserved += row.reserved
        return ServiceRow(account, served, reserved, self._offsets.get(account, 0))

    def _fold(self, source: _Source) -> None:
        for account, row in source.rows.items():
            source.earlier[account] = source.earlier.get(account, 0) + row.served
        source.rows = {}
