"""A sidecar's record of the service that each account received in the whole pool."""

from __future__ import annotations

from dataclasses import dataclass

from leadseam.wire.dispatch import ServiceRow


@dataclass(slots=True)
class _OwnService:
    """Service that this sidecar has given to one account."""

    served: int = 0
    reserved: int = 0


class Ledger:
    """Own counters, service reported by others, and offsets of accounts that were idle.

    All values are normalised service. `served` only grows. Of two reports on the
    service of others the higher one counts, and likewise of two offsets, so reports may
    arrive late, twice and by several paths.
    """

    def __init__(self) -> None:
        self._own: dict[str, _OwnService] = {}
        self._others: dict[str, tuple[int, int]] = {}
        self._offsets: dict[str, int] = {}
        self._changed: set[str] = set()

    def __repr__(self) -> str:
        return f"Ledger(accounts={len(self._own)}, others={len(self._others)})"

    def level(self, account: str) -> int:
        """Return the service by which accounts are ordered."""
        own = self._own.get(account)
        own_level = own.served + own.reserved if own is not None else 0
        others = sum(self._others.get(account, (0, 0)))
        return own_level + others + self._offsets.get(account, 0)

    def charge(self, account: str, amount: int) -> None:
        """Add measured service of an account."""
        self._own_row(account).served += amount

    def reserve(self, account: str, amount: int) -> None:
        """Add expected service of a request in flight; negative to release it."""
        row = self._own_row(account)
        row.reserved = max(row.reserved + amount, 0)

    def raise_level(self, account: str, level: int) -> None:
        """Raise an account that was idle to a level, so that it keeps no old credit.

        This has no effect until the service of other sidecars is known: the account may
        have been served there, and an offset is never reduced.
        """
        if account not in self._others:
            return
        missing = level - self.level(account)
        if missing > 0:
            self._offsets[account] = self._offsets.get(account, 0) + missing
            self._changed.add(account)

    def merge_others(self, rows: tuple[ServiceRow, ...]) -> None:
        """Merge a report on the service given by the other sidecars."""
        for row in rows:
            known = self._others.get(row.account, (-1, 0))
            if row.served >= known[0]:
                self._others[row.account] = (row.served, row.reserved)
            if row.offset > self._offsets.get(row.account, 0):
                self._offsets[row.account] = row.offset

    def take_changed(self) -> tuple[ServiceRow, ...]:
        """Return the rows that changed since the last call."""
        changed, self._changed = self._changed, set()
        return tuple(self._row(account) for account in sorted(changed))

    def all_rows(self) -> tuple[ServiceRow, ...]:
        """Return all own rows, for an entry that connects."""
        accounts = set(self._own) | set(self._offsets)
        return tuple(self._row(account) for account in sorted(accounts))

    def _own_row(self, account: str) -> _OwnService:
        self._changed.add(account)
        return self._own.setdefault(account, _OwnService())

    def _row(self, account: str) -> ServiceRow:
        own = self._own.get(account, _OwnService())
        offset = self._offsets.get(account, 0)
        return ServiceRow(account, own.served, own.reserved, offset)
