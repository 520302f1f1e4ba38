"""An entry's merge of the service rows of all sidecars of a pool."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.wire.dispatch import ServiceRow

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(slots=True)
class _Sidecar:
    """Rows of one sidecar.

    Args:
        incarnation: Its current incarnation.
        rows: Latest row of each account in this incarnation.
        earlier: Service of each account in earlier incarnations.
    """

    incarnation: int
    rows: dict[str, ServiceRow] = field(default_factory=dict)
    earlier: dict[str, int] = field(default_factory=dict)


class ServiceMerge:
    """Rows by sidecar, including the service of earlier incarnations of a sidecar."""

    def __init__(self) -> None:
        self._sidecars: dict[str, _Sidecar] = {}
        self._offsets: dict[str, int] = {}
        self._sent: dict[str, dict[str, ServiceRow]] = {}

    def __repr__(self) -> str:
        return f"ServiceMerge(sidecars={len(self._sidecars)})"

    def connect(self, sidecar: str, incarnation: int) -> None:
        """Record a new connection; a new incarnation counts from zero again."""
        self._sent.pop(sidecar, None)
        state = self._sidecars.get(sidecar)
        if state is None:
            self._sidecars[sidecar] = _Sidecar(incarnation)
        elif state.incarnation != incarnation:
            self._keep_served(state)
            state.incarnation = incarnation

    def update(self, sidecar: str, rows: Iterable[ServiceRow]) -> None:
        """Merge changed rows of a connected sidecar."""
        state = self._sidecars[sidecar]
        for row in rows:
            state.rows[row.account] = row
            known = self._offsets.get(row.account, 0)
            self._offsets[row.account] = max(known, row.offset)

    def report(self, sidecar: str, accounts: Iterable[str]) -> tuple[ServiceRow, ...]:
        """Return rows on the service of others that a sidecar has not received yet."""
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
        """Return rows of accounts that were never sent to a connected sidecar."""
        sent = self._sent.setdefault(sidecar, {})
        return self.report(sidecar, [name for name in accounts if name not in sent])

    def _others(self, sidecar: str, account: str) -> ServiceRow:
        served = 0
        reserved = 0
        for name, state in self._sidecars.items():
            served += state.earlier.get(account, 0)
            row = state.rows.get(account)
            if name != sidecar and row is not None:
                served += row.served
                reserved += row.reserved
        return ServiceRow(account, served, reserved, self._offsets.get(account, 0))

    def _keep_served(self, state: _Sidecar) -> None:
        for account, row in state.rows.items():
            state.earlier[account] = state.earlier.get(account, 0) + row.served
        state.rows = {}
