"""Upstreams that ended under each fingerprint, merged from all reports. No I/O.

Entries, replicas and the replicated state each hold such a table. Its rows only grow,
so tables that have merged the same rows agree, whatever the order.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

import msgspec

from leadseam.clock import Millis
from leadseam.crashes import evidence
from leadseam.crashes.fingerprint import is_part

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.incarnation import Incarnation
    from leadseam.wire.crashes import CrashRow

MAX_ENDED = 8
"""Incarnations kept in a row; more of them add no information."""
MAX_ROWS_OF_ACCOUNT = 256
"""Most rows of one client account for requests, and as many for prompt parts: several
ends of an engine that ran only requests of this account. A row of three incarnations
takes some 0.5 KB."""
MAX_ACCOUNTS = 1_000
"""Most client accounts with rows: today's largest deployment has 60, so it may grow."""
SUSPECT_TTL: Millis = 600_000
"""Time after which a suspect without a further end is removed: callers abandon a
request after seconds, and send it again within minutes."""

_Rows = OrderedDict["Fingerprint", "CrashRow"]
_Bucket = tuple[str, bool]
"""A client account, and whether the rows are of prompt parts."""


class CrashTable:
    """Rows by fingerprint, bounded for each client account.

    The rows of one account never evict those of another.

    Args:
        rows: Rows to begin with.

    Attributes:
        changes: Number of rows merged so far.
    """

    def __init__(self, rows: Iterable[CrashRow] = ()) -> None:
        self._buckets: OrderedDict[_Bucket, _Rows] = OrderedDict()
        self._changed_at: dict[Fingerprint, Millis] = {}
        self._bucket_of: dict[Fingerprint, _Bucket] = {}
        self._convicted: dict[Fingerprint, CrashRow] = {}
        self._sizes: Counter[tuple[str, int]] = Counter()
        self.changes = 0
        for row in rows:
            self.merge(row)

    def __repr__(self) -> str:
        return f"CrashTable(rows={len(self)})"

    def __len__(self) -> int:
        return len(self._bucket_of)

    def rows(self) -> tuple[CrashRow, ...]:
        """Return all rows."""
        return tuple(row for rows in self._buckets.values() for row in rows.values())

    def get(self, fingerprint: Fingerprint) -> CrashRow | None:
        """Return the row of a fingerprint, or None."""
        bucket = self._bucket_of.get(fingerprint)
        return None if bucket is None else self._buckets[bucket][fingerprint]

    def count(self, fingerprint: Fingerprint) -> int:
        """Return how many ended upstreams count against a fingerprint."""
        row = self.get(fingerprint)
        return len(row.counted) if row is not None else 0

    def convicts(self, fingerprint: Fingerprint) -> bool:
        """Return whether there is enough evidence against a fingerprint."""
        return fingerprint in self._convicted

    def refuses(self, fingerprints: Collection[Fingerprint]) -> Fingerprint | None:
        """Return the fingerprint for which a request is to be refused, or None.

        Requests that crash an upstream convict all fingerprints that they share, of
        which one is the cause. A request is refused if it certainly has a cause: if it
        has a convicted fingerprint with an end that no other, which it does not have,
        explains. Otherwise it is sent, as its answer acquits its fingerprints and
        another end convicts them alone.

        Args:
            fingerprints: All fingerprints of the request.
        """
        if not self._convicted:
            return None
        for fingerprint in fingerprints:
            row = self._convicted.get(fingerprint)
            if row is not None and not self._is_explained(row, fingerprints):
                return fingerprint
        return None

    def _is_explained(
        self, row: CrashRow, fingerprints: Collection[Fingerprint]
    ) -> bool:
        """Return whether convicted fingerprints that a request lacks explain a row.

        Of two requests none explains the ends of the other: a request that has ended
        three upstreams is refused though another one ran there each time.
        """
        unexplained = set(row.counted)
        for other, known in self._convicted.items():
            comparable = is_part(other) or is_part(row.fingerprint)
            if comparable and other not in fingerprints:
                unexplained -= known.counted
        return not unexplained

    def weight(self, fingerprint: Fingerprint) -> int:
        """Return the weight of the evidence against a fingerprint."""
        row = self.get(fingerprint)
        return evidence.weight_of(row) if row is not None else 0

    def may_match(self, account: str, size: int) -> bool:
        """Return whether a request may have a row, before its body is hashed."""
        return (account, size) in self._sizes

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._bucket_of

    def merge(self, row: CrashRow, now: Millis = 0) -> CrashRow | None:
        """Merge a row; return the merged row if it changed, else None.

        Args:
            row: Ends of upstreams that some process has recorded.
            now: Current time, from which the lifetime of a suspect counts.
        """
        known = self.get(row.fingerprint)
        merged = _union(row, row) if known is None else _union(known, row)
        if merged == known:
            return None
        # The account of the first row is kept. A request has only one; a prompt part is
        # charged to the account that was first reported with it.
        account = row.account if known is None else known.account
        bucket = (account, is_part(row.fingerprint))
        rows = self._buckets.setdefault(bucket, OrderedDict())
        rows[row.fingerprint] = merged
        rows.move_to_end(row.fingerprint)
        if known is None and not is_part(row.fingerprint):
            self._sizes[account, row.size] += 1
        self.changes += 1
        self._bucket_of[row.fingerprint] = bucket
        self._changed_at[row.fingerprint] = now
        self._convicted.pop(row.fingerprint, None)
        if evidence.convicts(merged):
            self._convicted[row.fingerprint] = merged
        self._evict(rows)
        return merged

    def void(self, fingerprint: Fingerprint, now: Millis = 0) -> CrashRow | None:
        """Void all recorded ends of a request; return its row if it changed.

        Ends that are recorded later count again.
        """
        row = self.get(fingerprint)
        if row is None:
            return None
        return self.merge(msgspec.structs.replace(row, void=row.ended), now)

    def expire_suspects(self, now: Millis) -> None:
        """Remove suspects older than `SUSPECT_TTL`; convicted requests stay."""
        expired = [
            fingerprint
            for fingerprint, at in self._changed_at.items()
            if now - at > SUSPECT_TTL and not self.convicts(fingerprint)
        ]
        for fingerprint in expired:
            self._remove(fingerprint)

    def _evict(self, rows: _Rows) -> None:
        while len(rows) > MAX_ROWS_OF_ACCOUNT:
            weakest = min(rows.values(), key=evidence.weight_of)
            self._remove(weakest.fingerprint)
        while len(self._buckets) > 2 * MAX_ACCOUNTS:
            for fingerprint in list(next(iter(self._buckets.values()))):
                self._remove(fingerprint)

    def _remove(self, fingerprint: Fingerprint) -> None:
        bucket = self._bucket_of.pop(fingerprint)
        del self._changed_at[fingerprint]
        self._convicted.pop(fingerprint, None)
        rows = self._buckets[bucket]
        row = rows.pop(fingerprint)
        if not is_part(fingerprint):
            self._sizes[row.account, row.size] -= 1
            if not self._sizes[row.account, row.size]:
                del self._sizes[row.account, row.size]
        if not rows:
            del self._buckets[bucket]


def _union(known: CrashRow, row: CrashRow) -> CrashRow:
    """Return the union of two rows, cut to the latest `MAX_ENDED` incarnations.

    Which are kept depends only on the incarnations and their stamps, so rows that are
    cut agree whatever the order of merges. Otherwise a cut incarnation that returns
    with another row would be news each time, and be reported without an end.
    """
    # A void end may arrive before the end itself.
    stamps: dict[Incarnation, int] = dict.fromkeys([*known.void, *row.void], 0)
    for one in (known, row):
        for position, incarnation in enumerate(one.ended):
            stamp = one.stamps[position] if position < len(one.stamps) else 0
            stamps[incarnation] = max(stamp, stamps.get(incarnation, 0))
    latest = sorted(stamps, key=lambda ended: (stamps[ended], ended))[-MAX_ENDED:]
    void = {*known.void, *row.void}
    early = {*known.early, *row.early}
    kept_stamps = tuple(stamps[ended] for ended in latest)
    return msgspec.structs.replace(
        known,
        ended=tuple(latest),
        void=tuple(ended for ended in latest if ended in void),
        early=tuple(ended for ended in latest if ended in early),
        stamps=kept_stamps if any(kept_stamps) else (),
    )
