"""Sums of load reports that replicas exchange, and their addition. No I/O.

Each replica adds up the reports of the entries that report to it, sends these sums to
the other replicas, and adds the sums that it has received to its own.

No report is counted twice, as sums name their entries, and no replica uses two sums
that name the same entry:

- An entry's reports are added at one replica. When it chooses another one, it withdraws
  its report from the former with a probe. If that does not arrive, the report expires
  there after `load_aggregator.MAX_REPORT_AGE`.
- A report of an entry that another replica's sums still name is held back. The entry
  counts with its last report to the former replica until the former's next sums arrive
  without it, or until those sums expire.
- Sums that name an entry of own reports or of another replica's sums are rejected. The
  sender's previous sums stay in use until they expire.

Entries and replicas don't switch to aggregation by domain, or to another aggregator, at
the same moment. While an entry's report is held back, its last report to the former
replica counts in its place: for an interval of the former replica if that runs, and for
`MAX_SUMS_AGE` after its last sums otherwise. Between its withdrawal and the next sums
of the new replica, the entry is missing in other domains, for an interval of each
replica involved at most. A replica that is cut off from another one lacks the entries
of that one from `MAX_SUMS_AGE` after the cut until the link is open again.

Entries of earlier versions state no domain and are not named. They report to the first
replica by name of all, whose sums contain them. After that replica has stopped
answering, they may be counted twice until its sums expire.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
import xxhash

from leadseam.errors import WireError
from leadseam.wire.codec import decode
from leadseam.wire.feed import LoadSums

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from leadseam.clock import Millis
    from leadseam.wire.feed import DomainRoom, DomainSums, LoadRow, UsageRow

MAX_SUMS_AGE: Millis = 1_000
"""Age beyond which another replica's sums are discarded: five of their longest
intervals, and the age beyond which an entry ignores totals."""
ENTRY_DIGEST_BYTES = 6
"""Bytes of an entry's digest. With 390 entries, two have the same digest in one of 3.7
billion fleets; one of the two would then not be counted."""

_Row = TypeVar("_Row", "LoadRow", "UsageRow", "DomainRoom")


def entry_digest(node: str, incarnation: int) -> bytes:
    """Return the digest that identifies a run of an entry in `DomainSums.entries`."""
    digest = xxhash.xxh3_64_digest(f"{node}/{incarnation}".encode())
    return digest[:ENTRY_DIGEST_BYTES]


def merge_sums(parts: Collection[LoadSums]) -> LoadSums:
    """Add sums of disjoint sets of entries."""
    if len(parts) == 1:
        return next(iter(parts))
    return LoadSums(
        _add_rows(row for part in parts for row in part.rows),
        _add_rows(row for part in parts for row in part.usage),
        _add_rows(row for part in parts for row in part.rooms),
    )


def _add_rows(rows: Iterable[_Row]) -> tuple[_Row, ...]:
    """Add rows with the same first field; all other fields are counts."""
    sums: dict[Any, _Row] = {}
    for row in rows:
        key, *counts = msgspec.structs.astuple(row)
        known = sums.get(key)
        if known is None:
            sums[key] = row
            continue
        _, *earlier = msgspec.structs.astuple(known)
        added = map(sum, zip(earlier, counts, strict=True))
        sums[key] = type(row)(key, *added)
    return tuple(sums.values())


@dataclass(slots=True)
class _Kept:
    """The newest sums of one replica; `sums` is None once they are discarded.

    `ended` is the run before this one, whose late messages are ignored. `fresh` tells
    whether the sums came in the present interval, and `lost` whether the link on which
    they came has ended since.
    """

    run: int
    sequence: int
    ended: int | None = None
    sums: LoadSums | None = None
    entries: frozenset[bytes] = frozenset()
    at: Millis = 0
    requested: bool = False
    fresh: bool = False
    lost: bool = False


class DomainSumsTable:
    """Holds the newest sums of each other replica."""

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}

    def __repr__(self) -> str:
        return f"DomainSumsTable({list(self._kept)})"

    def receive(
        self, message: DomainSums, own: Collection[bytes], now: Millis
    ) -> str | None:
        """Keep the sums of another replica unless they are late or overlap.

        Args:
            message: The message.
            own: Digests of the entries whose reports count at this replica.
            now: Current time.

        Returns:
            Why the sums are rejected, or None if they are kept.
        """
        kept = self._kept.get(message.replica)
        if kept is not None and not _is_newer(message, kept):
            return "late"
        entries = _split(message.entries)
        if not entries.isdisjoint(own) or self._overlaps(message, entries, now):
            return "overlap"
        try:
            sums = decode(message.data, LoadSums)
        except WireError:
            return "unreadable"
        ended = kept.ended if kept is not None else None
        if kept is not None and kept.run != message.run:
            ended = kept.run
        self._kept[message.replica] = _Kept(
            message.run,
            message.sequence,
            ended,
            sums,
            entries,
            now,
            requested=message.by_domain,
            fresh=True,
        )
        return None

    def disconnected(self, replica: str) -> None:
        """Record that the link from a replica has ended.

        If one of its entries reports elsewhere, the replica has probably ended too, and
        its sums are discarded before they expire.
        """
        if (kept := self._kept.get(replica)) is not None:
            kept.lost = True

    def retain_only(self, replicas: Collection[str]) -> None:
        """Remove replicas that are no longer members of the control group."""
        for name in self._kept.keys() - set(replicas):
            del self._kept[name]

    def entries_elsewhere(self, own: Collection[bytes], now: Millis) -> set[bytes]:
        """Return the entries in kept sums, whose reports here are to be held back.

        Args:
            own: Digests of the entries that report to this replica.
            now: Current time.
        """
        elsewhere: set[bytes] = set()
        for kept in self._current(now).values():
            if kept.lost and not kept.entries.isdisjoint(own):
                _discard(kept)
            elsewhere |= kept.entries
        return elsewhere

    def sums(self, now: Millis) -> list[LoadSums]:
        """Return the sums of the other replicas that are not too old."""
        return [
            kept.sums for kept in self._current(now).values() if kept.sums is not None
        ]

    def senders(self, now: Millis, *, requesting: bool = False) -> set[str]:
        """Return the replicas with entries that have sent sums.

        Args:
            now: Current time.
            requesting: Whether to return only those that request sums in return.
        """
        return {
            name
            for name, kept in self._current(now).items()
            if kept.entries and (kept.requested or not requesting)
        }

    def is_complete(self, now: Millis) -> bool:
        """Return whether all replicas with entries have sent sums in this interval."""
        return all(
            kept.fresh or not kept.entries for kept in self._current(now).values()
        )

    def begin_interval(self) -> None:
        """Record that an interval begins, in which new sums are expected."""
        for kept in self._kept.values():
            kept.fresh = False

    def ages(self, now: Millis) -> dict[str, Millis | None]:
        """Return the age of each replica's sums, or None if there are none."""
        current = self._current(now)
        return {
            name: now - current[name].at if name in current else None
            for name in self._kept
        }

    def requests_at(self, upstreams: Collection[int], now: Millis) -> int | None:
        """Return the requests in progress at upstreams, or None if there are no sums.

        Args:
            upstreams: Digests of the upstreams' incarnations.
            now: Current time.
        """
        parts = self.sums(now)
        if not parts:
            return None
        rows = (row for part in parts for row in part.rows)
        return sum(row.requests for row in rows if row.upstream in upstreams)

    def _current(self, now: Millis) -> dict[str, _Kept]:
        for kept in self._kept.values():
            if kept.sums is not None and now - kept.at > MAX_SUMS_AGE:
                _discard(kept)
        return {
            name: kept for name, kept in self._kept.items() if kept.sums is not None
        }

    def _overlaps(
        self, message: DomainSums, entries: frozenset[bytes], now: Millis
    ) -> bool:
        overlapping = [
            kept
            for name, kept in self._current(now).items()
            if name != message.replica and not kept.entries.isdisjoint(entries)
        ]
        for kept in overlapping:
            if kept.lost:
                _discard(kept)
        return any(kept.sums is not None for kept in overlapping)


def _is_newer(message: DomainSums, kept: _Kept) -> bool:
    if message.run != kept.run:
        return message.run != kept.ended
    return message.sequence > kept.sequence


def _discard(kept: _Kept) -> None:
    kept.sums = None
    kept.entries = frozenset()
    kept.requested = False


def _split(digests: bytes) -> frozenset[bytes]:
    size = ENTRY_DIGEST_BYTES
    return frozenset(
        digests[at : at + size] for at in range(0, len(digests) - size + 1, size)
    )
