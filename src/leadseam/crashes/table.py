"""Which requests have ended how many upstreams, merged from all who saw it. No I/O.

Entries, replicas and the replicated state each hold such a book. Its rows only grow, so
books that have heard the same rows agree, in whatever order they came.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

import msgspec

from leadseam.clock import Millis
from leadseam.crashes import evidence

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.wire.crashes import CrashRow

MAX_ENDED = 8
"""Incarnations kept in a row; more say nothing new."""
MAX_ROWS_OF_ACCOUNT = 256
"""Rows of one client account: several ends of an engine that ran its work alone. A row
of three incarnations takes some 0.5 KB."""
MAX_ACCOUNTS = 1_000
"""Client accounts with rows: 60 of today's largest deployment, and room to grow."""
SUSPECT_TTL: Millis = 600_000
"""Time after which a suspect without a further end is forgotten: callers give a request
up after seconds, and send it again within minutes."""

_Rows = OrderedDict["Fingerprint", "CrashRow"]


class CrashTable:
    """Rows by fingerprint; one client account cannot push out another's.

    Args:
        rows: Rows to begin with.

    Attributes:
        changes: Number of rows merged so far.
    """

    def __init__(self, rows: Iterable[CrashRow] = ()) -> None:
        self._accounts: OrderedDict[str, _Rows] = OrderedDict()
        self._changed_at: dict[Fingerprint, Millis] = {}
        self._account_of: dict[Fingerprint, str] = {}
        self._sizes: Counter[tuple[str, int]] = Counter()
        self.changes = 0
        for row in rows:
            self.merge(row)

    def __repr__(self) -> str:
        return f"CrashTable(rows={len(self)})"

    def __len__(self) -> int:
        return len(self._account_of)

    def rows(self) -> tuple[CrashRow, ...]:
        """Return all rows."""
        return tuple(row for rows in self._accounts.values() for row in rows.values())

    def get(self, fingerprint: Fingerprint) -> CrashRow | None:
        """Return the row of a request, or None."""
        account = self._account_of.get(fingerprint)
        return None if account is None else self._accounts[account][fingerprint]

    def count(self, fingerprint: Fingerprint) -> int:
        """Return how many upstreams a request has ended, as far as it counts."""
        row = self.get(fingerprint)
        return len(row.counted) if row is not None else 0

    def convicts(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request is to be refused."""
        row = self.get(fingerprint)
        return row is not None and evidence.convicts(row)

    def weight(self, fingerprint: Fingerprint) -> int:
        """Return how much is known against a request."""
        row = self.get(fingerprint)
        return evidence.weight_of(row) if row is not None else 0

    def may_hold(self, account: str, size: int) -> bool:
        """Tell whether a request may have a row, before its body is digested."""
        return (account, size) in self._sizes

    def merge(self, row: CrashRow, now: Millis = 0) -> CrashRow | None:
        """Take a row; return what is known now if that is news, else None.

        Args:
            row: What somebody has seen.
            now: Current time, for rows that fade.
        """
        known = self.get(row.fingerprint)
        merged = row if known is None else _union(known, row)
        if merged == known:
            return None
        # The account of the first row counts: a digest has only one.
        account = row.account if known is None else known.account
        rows = self._accounts.setdefault(account, OrderedDict())
        rows[row.fingerprint] = merged
        rows.move_to_end(row.fingerprint)
        if known is None:
            self._sizes[account, row.size] += 1
        self.changes += 1
        self._account_of[row.fingerprint] = account
        self._changed_at[row.fingerprint] = now
        self._bound(rows)
        return merged

    def void(self, fingerprint: Fingerprint, now: Millis = 0) -> CrashRow | None:
        """Let nothing that is known count against a request; return the news, if any.

        A further end counts anew.
        """
        row = self.get(fingerprint)
        if row is None:
            return None
        return self.merge(msgspec.structs.replace(row, void=row.ended), now)

    def expire_suspects(self, now: Millis) -> None:
        """Forget suspects of long ago; who is convicted stays."""
        old = [
            fingerprint
            for fingerprint, at in self._changed_at.items()
            if now - at > SUSPECT_TTL and not self.convicts(fingerprint)
        ]
        for fingerprint in old:
            self._forget(fingerprint)

    def _bound(self, rows: _Rows) -> None:
        while len(rows) > MAX_ROWS_OF_ACCOUNT:
            least = min(rows.values(), key=evidence.weight_of)
            self._forget(least.fingerprint)
        while len(self._accounts) > MAX_ACCOUNTS:
            for fingerprint in list(next(iter(self._accounts.values()))):
                self._forget(fingerprint)

    def _forget(self, fingerprint: Fingerprint) -> None:
        account = self._account_of.pop(fingerprint)
        del self._changed_at[fingerprint]
        rows = self._accounts[account]
        row = rows.pop(fingerprint)
        self._sizes[account, row.size] -= 1
        if not self._sizes[account, row.size]:
            del self._sizes[account, row.size]
        if not rows:
            del self._accounts[account]


def _union(known: CrashRow, row: CrashRow) -> CrashRow:
    """Return both rows in one; the newest ends are kept beyond `MAX_ENDED`."""
    ended = tuple(dict.fromkeys([*known.ended, *row.ended]))
    void = tuple(dict.fromkeys([*known.void, *row.void]))
    early = tuple(dict.fromkeys([*known.early, *row.early]))
    return msgspec.structs.replace(
        known,
        ended=ended[-MAX_ENDED:],
        void=void[-MAX_ENDED:],
        early=early[-MAX_ENDED:],
    )
